//! How fast tokens are asked for.

use crate::clock::ClockTime;

/// Time constant of the average, in milliseconds: long enough to bridge the
/// gaps between large requests, short enough to follow a burst of seconds.
const AVERAGE_MS: f64 = 4_000.0;

/// A decaying average of tokens a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateMeter {
    sum: f64,
    at: ClockTime,
}

impl RateMeter {
    /// Counts tokens.
    pub fn add(&mut self, tokens: u64, now: ClockTime) {
        self.sum = self.decayed(now) + tokens as f64;
        self.at = now;
    }

    /// Tokens a second.
    #[must_use]
    pub fn per_second(&self, now: ClockTime) -> u64 {
        (self.decayed(now) * 1_000.0 / AVERAGE_MS) as u64
    }

    fn decayed(&self, now: ClockTime) -> f64 {
        let age = now.since(self.at).as_millis() as f64;
        self.sum * (-age / AVERAGE_MS).exp()
    }
}
