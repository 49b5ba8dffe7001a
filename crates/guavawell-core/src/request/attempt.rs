//! An attempt, with its type telling whether a byte of it may have left.

use crate::id::AttemptId;

/// An attempt of which no byte has been sent to a backend server.
///
/// There is one value for each attempt: it is neither cloned nor copied.
/// Whoever sends gives it up with [`UnsentAttempt::send`]; whoever refuses
/// gives it up to the refusal. So an attempt that was refused as not run can
/// no longer be sent.
#[derive(Debug, PartialEq, Eq)]
pub struct UnsentAttempt(AttemptId);

/// An attempt whose first byte has left, or is about to.
#[derive(Debug, PartialEq, Eq)]
pub struct SentAttempt(AttemptId);

impl UnsentAttempt {
    /// A new attempt; call it once for each id drawn.
    #[must_use]
    pub const fn new(id: AttemptId) -> Self {
        Self(id)
    }

    /// The attempt's id.
    #[must_use]
    pub const fn id(&self) -> AttemptId {
        self.0
    }

    /// Gives up the knowledge that nothing was sent; call it before the first byte.
    #[must_use]
    pub const fn send(self) -> SentAttempt {
        SentAttempt(self.0)
    }
}

impl SentAttempt {
    /// The attempt's id.
    #[must_use]
    pub const fn id(&self) -> AttemptId {
        self.0
    }

    /// The attempt as unsent again, where the exchange proves that it did not run.
    ///
    /// That is so if no connection was made, if the backend server refused it
    /// before running anything, or if it was cancelled there before it was
    /// ever seen. A timeout or a reset proves nothing.
    #[must_use]
    pub const fn certainly_not_run(self) -> UnsentAttempt {
        UnsentAttempt(self.0)
    }
}
