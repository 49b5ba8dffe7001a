//! Waits between tries: doubling, capped, spread by jitter.

use crate::clock::ClockSpan;

/// The largest exponent, so that the shift never overflows.
const MAX_BACKOFF_DOUBLINGS: u32 = 20;

/// A random part of a whole, drawn by the caller: 0 for none, `u16::MAX` for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Jitter(pub u16);

/// How waits grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffPolicy {
    /// The first wait at full jitter.
    pub first: ClockSpan,
    /// The longest wait.
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
    /// The wait after `failures` in a row (from 1): between half of the
    /// doubled wait and all of it.
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
