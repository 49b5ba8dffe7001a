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
const SAMPLES: u64 = 16;

/// The smoothed time that a request runs.
#[derive(Clone, Debug, Default)]
pub(super) struct HoldTime {
    /// Milliseconds times [`SCALE`].
    mean: u64,
    /// Ends measured, at most [`SAMPLES`].
    samples: u64,
    /// Milliseconds that requests ran since the last end, of all together.
    spent: u64,
    /// Up to when `spent` counts.
    counted: ClockTime,
    /// Last begin or end.
    changed: ClockTime,
}

impl HoldTime {
    /// One more request begins; `running` ran before.
    pub(super) fn began(&mut self, running: u32, now: ClockTime) {
        self.count(running, now);
        self.changed = now;
    }

    /// One of `running` requests ends.
    pub(super) fn ended(&mut self, running: u32, now: ClockTime) {
        self.count(running, now);
        self.changed = now;
        let sample = std::mem::take(&mut self.spent).saturating_mul(SCALE);
        self.samples = (self.samples + 1).min(SAMPLES);
        // What began together ends together: one long sample, then short ones,
        // which have to be taken as one.
        let batch = (2 * u64::from(running)).saturating_sub(1);
        let weight = self.samples.max(batch);
        self.mean = (self.mean.saturating_mul(weight - 1)).saturating_add(sample) / weight;
    }

    /// Time that one of `running` requests runs: `guess` before any end was
    /// measured, and no less than all of them have run already.
    pub(super) fn mean(&self, running: u32, guess: ClockSpan, now: ClockTime) -> ClockSpan {
        let measured = ClockSpan::from_millis(self.mean / SCALE);
        let mean = if self.samples == 0 { guess } else { measured };
        let silence = now.since(self.changed);
        if running > 0 { mean.max(silence) } else { mean }
    }

    fn count(&mut self, running: u32, now: ClockTime) {
        let span = now.since(self.counted).as_millis();
        let spent = span.saturating_mul(u64::from(running));
        self.spent = self.spent.saturating_add(spent);
        self.counted = self.counted.max(now);
    }
}
