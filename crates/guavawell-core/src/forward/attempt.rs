//! Decides what follows when an attempt at a backend server ends.

use crate::clock::ClockSpan;
use crate::forward::ForwardRefusal;

/// Shortest remaining time at which another attempt is started.
pub const MIN_ATTEMPT_TIME: ClockSpan = ClockSpan::from_millis(15);

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

impl AttemptEnd {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Rejected => "rejected",
            Self::Failed => "failed",
            Self::Lost => "lost",
            Self::Silent => "silent",
        }
    }
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

/// Why a request is not sent to another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDenial {
    /// Too little time is left.
    Time,
    /// Connections to too many servers could not be opened.
    Unsent,
    /// The request may run only once.
    Once,
    /// The route allows no more attempts.
    Attempts,
    /// The request, or a part of its prompt, may crash servers.
    Suspicion,
    /// This instance's share of the fleet's retries is used up.
    Allowance,
    /// The configuration that is in force does not allow it.
    Configuration,
    /// No other server can be expected to respond sooner.
    Server,
}

impl RetryDenial {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Time => "time",
            Self::Unsent => "unsent",
            Self::Once => "once",
            Self::Attempts => "attempts",
            Self::Suspicion => "suspicion",
            Self::Allowance => "allowance",
            Self::Configuration => "configuration",
            Self::Server => "server",
        }
    }
}

/// What decides whether a request may be sent to another server.
#[derive(Clone, Copy, Debug)]
pub struct RepeatView {
    /// Whether it may run again.
    pub retry_safety: RetrySafety,
    /// Whether it is certain that it did not run.
    pub has_not_run: bool,
    /// Attempts that were sent.
    pub sent: u32,
    /// Attempts that its route allows.
    pub attempts: u32,
    /// Time that it has left.
    pub left: ClockSpan,
    /// Whether it, or a part of its prompt, may crash servers.
    pub is_suspect: bool,
}

/// Checks whether a request may be sent to another server; the allowance for retries
/// is a limit of its own.
///
/// # Errors
///
/// Why not.
pub fn check_repeat(view: &RepeatView) -> Result<(), RetryDenial> {
    if view.left < MIN_ATTEMPT_TIME {
        return Err(RetryDenial::Time);
    }
    if view.retry_safety == RetrySafety::Once && !view.has_not_run {
        return Err(RetryDenial::Once);
    }
    if view.sent >= view.attempts {
        return Err(RetryDenial::Attempts);
    }
    if view.is_suspect {
        return Err(RetryDenial::Suspicion);
    }
    Ok(())
}
