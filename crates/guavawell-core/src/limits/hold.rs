//! Estimate of the running time of a request, by Little's law.
//!
//! The mean is the total running time of all requests divided by the number of
//! requests that ended. Unlike the interval between two ends, it does not depend
//! on the number of running requests, so it stays valid when the limit changes.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Fixed-point scale of the mean.
const SCALE: u64 = 64;
/// Window of the moving average, in ended requests. It grows to twice the number
/// of running requests if that is more.
const WINDOW_ENDS: u64 = 16;

/// The smoothed running time of a request.
#[derive(Clone, Debug, Default)]
pub(super) struct HoldTime {
    /// Milliseconds times [`SCALE`].
    mean: u64,
    /// Number of ended requests, counted up to [`WINDOW_ENDS`].
    samples: u64,
    /// Total running time of all requests since the last end, in milliseconds.
    busy_time: u64,
    /// The time up to which `busy_time` is counted.
    counted_until: ClockTime,
    /// When a request last started or ended.
    last_change: ClockTime,
}

impl HoldTime {
    /// Records that a request starts while `running` others run.
    pub(super) fn began(&mut self, running: u32, now: ClockTime) {
        self.accumulate(running, now);
        self.last_change = now;
    }

    /// Records that one of `running` requests ends.
    pub(super) fn ended(&mut self, running: u32, now: ClockTime) {
        self.accumulate(running, now);
        self.last_change = now;
        let sample = std::mem::take(&mut self.busy_time).saturating_mul(SCALE);
        self.samples = (self.samples + 1).min(WINDOW_ENDS);
        // Requests that started together end together: one long sample, then
        // short ones. The window must cover all of them.
        let batch = (2 * u64::from(running)).saturating_sub(1);
        let weight = self.samples.max(batch);
        self.mean = (self.mean.saturating_mul(weight - 1)).saturating_add(sample) / weight;
    }

    /// Expected running time of one of `running` requests: `initial` before any
    /// request ended, and no less than the time since the last start or end,
    /// which all of them have been running.
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
