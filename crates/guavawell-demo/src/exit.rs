//! How the process ends.

use std::process::ExitCode;

/// The exit codes and their meanings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Every promise was kept.
    Kept = 0,
    /// A promise broke; the report names it.
    Broken = 1,
    /// The fleet could not be started or measured.
    Failed = 2,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
