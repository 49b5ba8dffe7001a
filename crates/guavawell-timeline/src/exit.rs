//! Exit codes.

use std::process;

/// What the process's end says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// Everything was read and no check failed.
    Success = 0,
    /// A log could not be opened, or the output failed.
    Failure = 1,
    /// The command line is wrong.
    Usage = 2,
    /// A history check found a broken promise.
    Breach = 3,
    /// A log was out of order beyond the window, so the order is in doubt.
    Disordered = 4,
}

impl ExitCode {
    /// The code as the shell sees it.
    #[must_use]
    pub const fn code(self) -> u8 {
        self as u8
    }
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code.code())
    }
}
