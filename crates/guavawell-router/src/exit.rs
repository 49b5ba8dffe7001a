//! How the process ends.

use std::process::ExitCode;

/// The exit codes and their meanings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Left gracefully: every answer finished, every slot handed over.
    Done = 0,
    /// Left, but some answers or slots remained when time was up.
    Unfinished = 1,
    /// The settings cannot be used; nothing was started.
    Settings = 2,
    /// A port, a certificate or a thread was not to be had.
    Start = 3,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
