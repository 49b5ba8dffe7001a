//! How quickly running requests end while others wait.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Fixed-point scale of the interval.
const SCALE: u64 = 64;
/// A new sample counts one part in this many.
const SMOOTHING: u64 = 16;

/// The smoothed interval between two ends.
#[derive(Clone, Debug, Default)]
pub(super) struct DrainRate {
    /// Milliseconds times [`SCALE`]; zero while nothing was measured.
    interval: u64,
    last: Option<ClockTime>,
}

impl DrainRate {
    /// A request ended; `busy` says whether others waited.
    pub(super) fn ended(&mut self, busy: bool, now: ClockTime) {
        if let Some(last) = self.last.filter(|_| busy) {
            let sample = now.since(last).as_millis() * SCALE;
            self.interval = if self.interval == 0 {
                sample.max(1)
            } else {
                (self.interval * (SMOOTHING - 1) + sample) / SMOOTHING
            };
        }
        self.last = busy.then_some(now);
    }

    /// Expected time until `count` requests have ended. While none ends at
    /// all, the present silence counts as the interval.
    pub(super) fn wait_for(&self, count: u64, guess: ClockSpan, now: ClockTime) -> ClockSpan {
        let silence = self.last.map_or(0, |last| now.since(last).as_millis());
        let scaled = if self.interval == 0 {
            guess.as_millis() * SCALE
        } else {
            self.interval
        };
        let scaled = scaled.max(silence * SCALE);
        ClockSpan::from_millis(count.saturating_mul(scaled) / SCALE)
    }
}
