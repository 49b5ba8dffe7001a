//! How much is asked for, in slots: arrivals a second times the time that a
//! request runs, whether they are admitted or not.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Span over which arrivals are smoothed.
const SMOOTH_SPAN: ClockSpan = ClockSpan::from_millis(5_000);
/// Fixed-point scale of the rate.
const SCALE: u64 = 1_024;
/// Milliseconds in a second.
const SECOND: u64 = 1_000;

/// The smoothed rate of arrivals.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandRate {
    /// Arrivals since the last review.
    arrived: u64,
    /// Arrivals a second, times [`SCALE`].
    rate: u64,
    reviewed: ClockTime,
}

impl DemandRate {
    /// A request asks to run.
    pub(super) fn note(&mut self) {
        self.arrived += 1;
    }

    /// Time has passed; call it on a timer.
    pub(super) fn review(&mut self, now: ClockTime) {
        let whole = SMOOTH_SPAN.as_millis();
        let part = now.since(self.reviewed).as_millis().min(whole);
        if part == 0 {
            return;
        }
        self.reviewed = now;
        let arrived = std::mem::take(&mut self.arrived).saturating_mul(SCALE * SECOND);
        self.rate = (self.rate.saturating_mul(whole - part)).saturating_add(arrived) / whole;
    }

    /// Slots that all of it would take, each for `hold`.
    pub(super) fn slots(&self, hold: ClockSpan) -> u64 {
        self.rate.saturating_mul(hold.as_millis()) / SCALE / SECOND
    }
}
