//! How fast tokens are asked for.

use crate::clock::ClockTime;
use crate::number::fraction;
use crate::number::whole;

/// Time constant of the quick average, in milliseconds: follows a burst.
const QUICK_MS: f64 = 3_000.0;
/// Time constant of the slow average, in milliseconds: bridges the gaps between
/// large requests, so that an instance with few of them does not seem idle.
const SLOW_MS: f64 = 12_000.0;
/// Least time that the slow average is taken over, in milliseconds.
const LEAST_MS: f64 = 2_000.0;

/// Weight of the newest request in the usual one.
const USUAL_WEIGHT: f64 = 0.1;

/// Decaying averages of tokens a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateMeter {
    began: Option<ClockTime>,
    quick: f64,
    slow: f64,
    at: ClockTime,
    usual: f64,
}

impl RateMeter {
    /// Counts tokens.
    pub fn add(&mut self, tokens: u64, now: ClockTime) {
        self.began.get_or_insert(now);
        self.quick = self.decayed(self.quick, QUICK_MS, now) + fraction(tokens);
        self.slow = self.decayed(self.slow, SLOW_MS, now) + fraction(tokens);
        self.at = now;
        let weight = if self.usual == 0.0 { 1.0 } else { USUAL_WEIGHT };
        self.usual += weight * (fraction(tokens) - self.usual);
    }

    /// Tokens of a usual request.
    #[must_use]
    pub const fn usual(&self) -> f64 {
        self.usual
    }

    /// Tokens a second: the larger of both averages.
    #[must_use]
    pub fn per_second(&self, now: ClockTime) -> u64 {
        let Some(began) = self.began else {
            return 0;
        };
        let age = fraction(now.since(began).as_millis()).max(LEAST_MS);
        // An average that began lately has not seen a whole time constant.
        let seen = |constant: f64| constant * (1.0 - (-age / constant).exp());
        let quick = self.decayed(self.quick, QUICK_MS, now) / seen(QUICK_MS);
        let slow = self.decayed(self.slow, SLOW_MS, now) / seen(SLOW_MS);
        whole(quick.max(slow) * 1_000.0)
    }

    fn decayed(&self, sum: f64, constant: f64, now: ClockTime) -> f64 {
        let age = fraction(now.since(self.at).as_millis());
        sum * (-age / constant).exp()
    }
}
