//! Demand for tokens over time.

use crate::clock::ClockTime;
use crate::number::fraction;
use crate::number::whole;

/// Time constant of the fast average, in milliseconds. It follows bursts.
const FAST_TIME_CONSTANT_MS: f64 = 3_000.0;
/// Time constant of the slow average, in milliseconds. It bridges the gaps
/// between large requests, so that an instance with few of them does not seem
/// idle.
const SLOW_TIME_CONSTANT_MS: f64 = 12_000.0;
/// Minimum time over which an average is taken, in milliseconds.
const MIN_AGE_MS: f64 = 2_000.0;

/// Weight of the newest request in the size of a typical request.
const TYPICAL_WEIGHT: f64 = 0.1;

/// Decaying averages of tokens per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateMeter {
    began: Option<ClockTime>,
    fast: f64,
    slow: f64,
    at: ClockTime,
    typical_request: f64,
}

impl RateMeter {
    /// Counts the tokens of one request.
    pub fn add(&mut self, tokens: u64, now: ClockTime) {
        self.began.get_or_insert(now);
        self.fast = self.decayed(self.fast, FAST_TIME_CONSTANT_MS, now) + fraction(tokens);
        self.slow = self.decayed(self.slow, SLOW_TIME_CONSTANT_MS, now) + fraction(tokens);
        self.at = now;
        let weight = if self.typical_request == 0.0 {
            1.0
        } else {
            TYPICAL_WEIGHT
        };
        self.typical_request += weight * (fraction(tokens) - self.typical_request);
    }

    /// The size of a typical request, in tokens.
    #[must_use]
    pub const fn typical_request(&self) -> f64 {
        self.typical_request
    }

    /// Tokens per second: the larger of the two averages.
    #[must_use]
    pub fn per_second(&self, now: ClockTime) -> u64 {
        let Some(began) = self.began else {
            return 0;
        };
        let age = fraction(now.since(began).as_millis()).max(MIN_AGE_MS);
        // A new average covers less than its whole time constant.
        let seen = |constant: f64| constant * (1.0 - (-age / constant).exp());
        let fast =
            self.decayed(self.fast, FAST_TIME_CONSTANT_MS, now) / seen(FAST_TIME_CONSTANT_MS);
        let slow =
            self.decayed(self.slow, SLOW_TIME_CONSTANT_MS, now) / seen(SLOW_TIME_CONSTANT_MS);
        whole(fast.max(slow) * 1_000.0)
    }

    fn decayed(&self, sum: f64, constant: f64, now: ClockTime) -> f64 {
        let age = fraction(now.since(self.at).as_millis());
        sum * (-age / constant).exp()
    }
}
