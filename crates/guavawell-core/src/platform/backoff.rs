//! Exponential backoff with an upper bound and jitter.

use crate::clock::ClockSpan;

/// Limits the exponent, so that the shift does not overflow.
const MAX_BACKOFF_DOUBLINGS: u32 = 20;

/// A random fraction chosen by the caller: 0 stands for 0, `u16::MAX` for 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Jitter(pub u16);

/// Bounds of an exponential backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffPolicy {
    /// The longest wait after the first failure.
    pub first: ClockSpan,
    /// The longest wait after any number of failures.
    pub longest: ClockSpan,
}

impl Default for BackoffPolicy {
    fn default() -> Self {
        Self {
            first: ClockSpan::from_millis(50),
            longest: ClockSpan::from_millis(5_000),
        }
    }
}

impl BackoffPolicy {
    /// The wait after `failures` consecutive failures (from 1). It is `first`,
    /// doubled for each further failure up to `longest`, and the jitter chooses
    /// a time between half of that and all of it.
    #[must_use]
    pub fn wait(&self, failures: u32, jitter: Jitter) -> ClockSpan {
        let doublings = failures.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        let doubled = self.first.as_millis().saturating_mul(1 << doublings);
        let capped = doubled.min(self.longest.as_millis());
        let half = capped / 2;
        let spread = (capped - half) * u64::from(jitter.0) / u64::from(u16::MAX);
        ClockSpan::from_millis(half + spread)
    }
}
