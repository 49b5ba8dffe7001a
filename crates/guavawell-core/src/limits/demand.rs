//! How much is asked for, in slots: arrivals a second times the time that a
//! request runs, whether they are admitted or not.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Span over which arrivals are smoothed.
const AVERAGING_WINDOW: ClockSpan = ClockSpan::from_millis(5_000);
/// Fixed-point scale of the rate.
const SCALE: u64 = 1_024;
/// Milliseconds in a second.
const MILLIS_PER_SECOND: u64 = 1_000;

/// The smoothed rate of arrivals.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandRate {
    /// Arrivals since the last review.
    arrived: u64,
    /// Arrivals a second, times [`SCALE`].
    rate: u64,
    updated_at: ClockTime,
}

impl DemandRate {
    /// A request asks to run.
    pub(super) fn record_arrival(&mut self) {
        self.arrived += 1;
    }

    /// Time has passed; call it on a timer.
    pub(super) fn update(&mut self, now: ClockTime) {
        let window = AVERAGING_WINDOW.as_millis();
        let elapsed = now.since(self.updated_at).as_millis().min(window);
        if elapsed == 0 {
            return;
        }
        self.updated_at = now;
        let arrived = std::mem::take(&mut self.arrived).saturating_mul(SCALE * MILLIS_PER_SECOND);
        self.rate = (self.rate.saturating_mul(window - elapsed)).saturating_add(arrived) / window;
    }

    /// Slots that all of it would take, each for `hold`.
    pub(super) fn slots_needed(&self, hold: ClockSpan) -> u64 {
        self.rate.saturating_mul(hold.as_millis()) / SCALE / MILLIS_PER_SECOND
    }
}
