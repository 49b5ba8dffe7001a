//! When a request is turned away before anything is sent.

use crate::clock::ClockSpan;
use crate::forward::ForwardRefusal;

/// Bounds of admission at one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Bytes of request bodies that may be held at once. Bodies are kept until
    /// the answer begins, so that a request can be repeated.
    pub body_bytes: usize,
    /// Requests that may be held at once.
    pub requests: usize,
    /// A request with less time left is refused: an answer cannot arrive.
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

/// Decides whether a request may be taken.
///
/// # Errors
///
/// The refusal, if it may not.
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
