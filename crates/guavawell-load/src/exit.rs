//! Exit codes.

use std::process;

/// What the process's end says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// The run was carried out, and no answer was wrong.
    Success = 0,
    /// A file, an address or a thread failed.
    Failure = 1,
    /// The command line or the plan is wrong.
    Usage = 2,
    /// At least one whole answer was wrong.
    WrongAnswer = 3,
    /// Nothing was answered whole.
    NothingAnswered = 4,
    /// Callers received more of a budget than was left in it.
    Overspent = 5,
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
