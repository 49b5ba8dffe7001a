//! Admission control: refuses a request before anything is sent to a backend
//! server.

use crate::clock::ClockSpan;
use crate::forward::ForwardRefusal;

/// Limits of admission at one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Maximum bytes of request bodies in memory. A body is kept until the
    /// response begins, so that the request can be retried.
    pub body_bytes: usize,
    /// Maximum number of requests in progress.
    pub requests: usize,
    /// A request with less time left is refused, because no response could
    /// arrive in time.
    pub min_time_left: ClockSpan,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            body_bytes: 24 * 1024 * 1024,
            requests: 1_500,
            min_time_left: ClockSpan::from_millis(5),
        }
    }
}

/// Part of the requests and of their bytes up to which new connections are taken, in
/// percent. Connections that are open already bring requests as well.
const CONNECTION_PERCENT: usize = 75;

/// Whether a new connection is taken: its request would probably be admitted.
#[must_use]
pub const fn admits_connection(
    settings: &AdmissionSettings,
    held_requests: usize,
    held_bytes: usize,
) -> bool {
    let max_requests = settings.requests * CONNECTION_PERCENT / 100;
    let max_bytes = settings.body_bytes * CONNECTION_PERCENT / 100;
    held_requests < max_requests && held_bytes < max_bytes
}

/// Length of a body up to which it may take all of the memory for bodies, in bytes.
const SHORT_BODY_BYTES: usize = 64 * 1024;
/// Part of that memory that longer bodies may take, in percent, so that a few of them do
/// not have the others refused.
const LONG_BODY_PERCENT: usize = 75;

/// A request body for which memory is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyBytes {
    /// Length of the body, as far as it is known.
    pub length: usize,
    /// Bytes of it that are not counted yet.
    pub more: usize,
}

/// Bytes that must become free before a body may be received, or received further; zero if
/// it may. `taken_bytes` are those of all bodies that were received or for which memory is
/// reserved.
#[must_use]
pub const fn bytes_to_free(
    settings: &AdmissionSettings,
    taken_bytes: usize,
    body: BodyBytes,
) -> usize {
    if body.more == 0 {
        return 0;
    }
    let limit = if body.length <= SHORT_BODY_BYTES {
        settings.body_bytes
    } else {
        settings.body_bytes * LONG_BODY_PERCENT / 100
    };
    taken_bytes.saturating_add(body.more).saturating_sub(limit)
}

/// Decides whether a request is admitted.
///
/// # Errors
///
/// The refusal, if it is not admitted.
pub fn admit(
    settings: &AdmissionSettings,
    held_requests: usize,
    held_bytes: usize,
    time_left: ClockSpan,
) -> Result<(), ForwardRefusal> {
    if time_left < settings.min_time_left {
        return Err(ForwardRefusal::TooLate);
    }
    if held_requests >= settings.requests || held_bytes >= settings.body_bytes {
        return Err(ForwardRefusal::NoMemory);
    }
    Ok(())
}
