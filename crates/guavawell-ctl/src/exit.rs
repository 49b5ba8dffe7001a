//! Exit codes.

use std::process;

/// What the process's end says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// It is done.
    Success,
    /// A file or a row could not be used.
    Failure,
    /// The command line is wrong.
    Usage,
    /// The manifest has findings.
    Findings,
    /// Another operator's change came first.
    Conflict,
    /// The platform or an instance cannot be reached; nothing was changed.
    Unreachable,
    /// The change may have taken effect; look before trying again.
    InDoubt,
    /// There is no such thing.
    NotFound,
    /// The audit found a gap or a second charge.
    AuditGap,
}

impl ExitCode {
    /// The code as the shell sees it.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failure => 1,
            Self::Usage => 2,
            Self::Findings => 3,
            Self::Conflict => 4,
            Self::Unreachable => 5,
            Self::InDoubt => 6,
            Self::NotFound => 7,
            Self::AuditGap => 8,
        }
    }
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code.code())
    }
}
