//! How long requests run, by Little's law.
//!
//! The mean is the time that running requests spent, divided by the number of
//! ends. Unlike an interval between two ends it does not depend on how many ran
//! when it was measured, so that it holds after a change of the limit.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Fixed-point scale of the mean.
const SCALE: u64 = 64;
/// The latest this many ends count, or as many as twice what runs.
const WINDOW_ENDS: u64 = 16;

/// The smoothed time that a request runs.
#[derive(Clone, Debug, Default)]
pub(super) struct HoldTime {
    /// Milliseconds times [`SCALE`].
    mean: u64,
    /// Ends measured, at most [`WINDOW_ENDS`].
    samples: u64,
    /// Milliseconds that requests ran since the last end, of all together.
    busy_time: u64,
    /// Up to when `busy_time` counts.
    counted_until: ClockTime,
    /// Last begin or end.
    last_change: ClockTime,
}

impl HoldTime {
    /// One more request begins; `running` ran before.
    pub(super) fn began(&mut self, running: u32, now: ClockTime) {
        self.accumulate(running, now);
        self.last_change = now;
    }

    /// One of `running` requests ends.
    pub(super) fn ended(&mut self, running: u32, now: ClockTime) {
        self.accumulate(running, now);
        self.last_change = now;
        let sample = std::mem::take(&mut self.busy_time).saturating_mul(SCALE);
        self.samples = (self.samples + 1).min(WINDOW_ENDS);
        // What began together ends together: one long sample, then short ones,
        // which have to be taken as one.
        let batch = (2 * u64::from(running)).saturating_sub(1);
        let weight = self.samples.max(batch);
        self.mean = (self.mean.saturating_mul(weight - 1)).saturating_add(sample) / weight;
    }

    /// Time that one of `running` requests runs: `initial` before any end was
    /// measured, and no less than all of them have run already.
    pub(super) fn mean(&self, running: u32, initial: ClockSpan, now: ClockTime) -> ClockSpan {
        let measured = ClockSpan::from_millis(self.mean / SCALE);
        let mean = if self.samples == 0 { initial } else { measured };
        let since_change = now.since(self.last_change);
        if running > 0 {
            mean.max(since_change)
        } else {
            mean
        }
    }

    fn accumulate(&mut self, running: u32, now: ClockTime) {
        let span = now.since(self.counted_until).as_millis();
        let busy_time = span.saturating_mul(u64::from(running));
        self.busy_time = self.busy_time.saturating_add(busy_time);
        self.counted_until = self.counted_until.max(now);
    }
}
