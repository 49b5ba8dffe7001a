//! What follows when an attempt at a backend server ends.

use crate::forward::ForwardRefusal;

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// May run any number of times.
    Idempotent,
    /// May run once at most.
    Once,
    /// A stream that another backend server can continue after its last event.
    Resumable,
}

/// How an attempt ended without a complete answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte of the request left this instance.
    NotSent,
    /// The backend server said that it did not run the request.
    Rejected,
    /// The backend server answered with a failure of its own.
    Failed,
    /// The answer was lost, cut short or not an answer.
    Lost,
    /// The time for this attempt ran out.
    Silent,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Choose another backend server and send again.
    Retry,
    /// Hand the backend server's own failure to the caller.
    Relay,
    /// Answer with a refusal.
    Refuse(ForwardRefusal),
}

/// Decides what follows an attempt.
///
/// `may_retry` tells whether attempts, time and the allowance for repeats
/// leave room for one more. A request that may run once goes on only after
/// proof that it did not run.
#[must_use]
pub fn next_step(retry_safety: RetrySafety, end: AttemptEnd, may_retry: bool) -> NextStep {
    let is_repeatable = retry_safety != RetrySafety::Once;
    match end {
        AttemptEnd::NotSent | AttemptEnd::Rejected if may_retry => NextStep::Retry,
        AttemptEnd::NotSent => NextStep::Refuse(ForwardRefusal::NoServer),
        AttemptEnd::Rejected => NextStep::Refuse(ForwardRefusal::ServersFull),
        _ if may_retry && is_repeatable => NextStep::Retry,
        AttemptEnd::Failed => NextStep::Relay,
        AttemptEnd::Lost => NextStep::Refuse(ForwardRefusal::AnswerLost),
        AttemptEnd::Silent => NextStep::Refuse(ForwardRefusal::TimedOut),
    }
}
