//! Exit codes.

use std::process;

/// What the process's end says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// It is done.
    Success = 0,
    /// A file or a row could not be used.
    Failure = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The manifest has findings.
    Findings = 3,
    /// Another operator's change came first.
    Conflict = 4,
    /// The platform or an instance cannot be reached; nothing was changed.
    Unreachable = 5,
    /// The change may have taken effect; look before trying again.
    InDoubt = 6,
    /// There is no such thing.
    NotFound = 7,
    /// The audit found a gap or a second charge.
    AuditGap = 8,
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
