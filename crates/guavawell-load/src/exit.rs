//! Exit codes.

use std::process;

/// What the process's end says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// The run was carried out, and no answer was wrong.
    Success,
    /// A file, an address or a thread failed.
    Failure,
    /// The command line or the plan is wrong.
    Usage,
    /// At least one whole answer was wrong.
    WrongAnswer,
    /// Nothing was answered whole.
    NothingAnswered,
    /// Callers received more of a budget than was left in it.
    Overspent,
}

impl ExitCode {
    /// The code as the shell sees it.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failure => 1,
            Self::Usage => 2,
            Self::WrongAnswer => 3,
            Self::NothingAnswered => 4,
            Self::Overspent => 5,
        }
    }
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code.code())
    }
}
