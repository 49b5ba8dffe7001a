//! The command line.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Entry instance of a guavawell fleet: serves callers within their prepaid budgets
///
/// Reads its settings once, joins the fleet by gossip, and serves callers once
/// a manifest is in force. `POST /drain` on the operators' port, or SIGTERM,
/// ends it gracefully.
///
/// Example: guavawell-router --settings router-1.toml
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct RouterCommand {
    /// Settings file, TOML
    ///
    /// docs/operators/SETTINGS.md lists every key. All findings are printed
    /// together, each with its file, line and key.
    #[bpaf(short, long, argument("FILE"))]
    pub settings: PathBuf,

    /// Threads that serve requests
    ///
    /// Peers are served by threads of their own (`peers.threads`).
    #[bpaf(long, argument("N"), fallback(4), display_fallback)]
    pub threads: usize,

    /// Check the settings and exit
    #[bpaf(long)]
    pub check: bool,
}

/// Reads the command line; prints help or the error and exits by itself.
#[must_use]
pub fn read() -> RouterCommand {
    router_command().run()
}
