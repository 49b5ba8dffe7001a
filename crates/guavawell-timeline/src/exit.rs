//! Exit codes.

use std::process;

/// What the process's end says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// Everything was read and no check failed.
    Success,
    /// A log could not be opened, or the output failed.
    Failure,
    /// The command line is wrong.
    Usage,
    /// A history check found a broken promise.
    Breach,
    /// A log was out of order beyond the window, so the order is in doubt.
    Disordered,
}

impl ExitCode {
    /// The code as the shell sees it.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failure => 1,
            Self::Usage => 2,
            Self::Breach => 3,
            Self::Disordered => 4,
        }
    }
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code.code())
    }
}
