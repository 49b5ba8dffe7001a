//! Attempts, whose types tell whether any byte may have been sent.

use crate::id::AttemptId;

/// An attempt of which no byte has been sent to a backend server.
///
/// Each attempt has a single value, which cannot be cloned or copied. Both
/// [`UnsentAttempt::send`] and a refusal consume the value, so that an attempt
/// that was refused as not run can no longer be sent.
#[derive(Debug, PartialEq, Eq)]
pub struct UnsentAttempt(AttemptId);

/// An attempt whose first byte has been sent, or is about to be.
#[derive(Debug, PartialEq, Eq)]
pub struct SentAttempt(AttemptId);

impl UnsentAttempt {
    /// A new attempt. Call this only once for each attempt id.
    #[must_use]
    pub const fn new(id: AttemptId) -> Self {
        Self(id)
    }

    /// The attempt's id.
    #[must_use]
    pub const fn id(&self) -> AttemptId {
        self.0
    }

    /// Marks the attempt as sent. Call this before sending the first byte.
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

    /// Turns the attempt back into an unsent one. Call this only if the
    /// exchange proves that the attempt did not run.
    ///
    /// It does so if no connection was made, if the backend server rejected the
    /// attempt before running anything, or if the attempt was cancelled there
    /// before it arrived. A timeout or a connection reset proves nothing.
    #[must_use]
    pub const fn certainly_not_run(self) -> UnsentAttempt {
        UnsentAttempt(self.0)
    }
}
