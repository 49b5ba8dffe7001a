//! Decides what follows when an attempt at a backend server ends.

use crate::forward::ForwardRefusal;

/// Whether a request may be sent again although it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// May run any number of times.
    Idempotent,
    /// May run at most once.
    Once,
    /// A stream that another backend server can continue after its last event.
    Resumable,
}

/// How an attempt ended without a complete response for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte of the request was sent.
    NotSent,
    /// The backend server stated that it did not run the request.
    Rejected,
    /// The backend server responded with an error.
    Failed,
    /// The response was lost, cut short or malformed.
    Lost,
    /// The attempt timed out.
    Silent,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Choose another backend server and send the request again.
    Retry,
    /// Send the backend server's error response to the caller.
    Relay,
    /// Answer with a refusal.
    Refuse(ForwardRefusal),
}

/// Decides what follows an attempt.
///
/// `may_retry` tells whether the limits of attempts, time and retries allow
/// another one. A request that may run at most once is sent again only if it is
/// known that it did not run.
#[must_use]
pub fn next_step(retry_safety: RetrySafety, end: AttemptEnd, may_retry: bool) -> NextStep {
    let is_retryable = retry_safety != RetrySafety::Once;
    match end {
        AttemptEnd::NotSent | AttemptEnd::Rejected if may_retry => NextStep::Retry,
        AttemptEnd::NotSent => NextStep::Refuse(ForwardRefusal::NoServer),
        AttemptEnd::Rejected => NextStep::Refuse(ForwardRefusal::ServersFull),
        _ if may_retry && is_retryable => NextStep::Retry,
        AttemptEnd::Failed => NextStep::Relay,
        AttemptEnd::Lost => NextStep::Refuse(ForwardRefusal::AnswerLost),
        AttemptEnd::Silent => NextStep::Refuse(ForwardRefusal::TimedOut),
    }
}
