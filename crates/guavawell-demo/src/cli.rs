//! The command line.

use std::path::PathBuf;

use bpaf::Bpaf;

/// A whole fleet in one process, proved by its report
///
/// Starts stand-ins of the platform and of backend servers, two availability
/// zones of routers and a sample manifest on free loopback ports, sends a load,
/// kills a router in the middle, and reports every promise with its count.
/// Exits with 1 if any promise broke.
///
/// Example: guavawell-demo --requests 5000 --rate 400
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct DemoCommand {
    /// Requests sent
    #[bpaf(long, argument("N"), fallback(2_000), display_fallback)]
    pub requests: u64,

    /// Requests a second
    #[bpaf(long, argument("N"), fallback(250.0), display_fallback)]
    pub rate: f64,

    /// Tokens that each of the four organisations paid
    ///
    /// The last organisation gets a twentieth of it, so that it runs dry.
    #[bpaf(long, argument("TOKENS"), fallback(400_000), display_fallback)]
    pub paid: u64,

    /// Kill no router
    #[bpaf(long)]
    pub keep_routers: bool,

    /// Folder for the routers' event logs, read by guavawell-timeline
    #[bpaf(long, argument("DIR"))]
    pub events: Option<PathBuf>,

    /// Print the report as JSON
    #[bpaf(long)]
    pub json: bool,
}

/// Reads the command line; prints help or the error and exits by itself.
#[must_use]
pub fn read() -> DemoCommand {
    demo_command().run()
}
