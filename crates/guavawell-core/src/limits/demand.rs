//! Demand in slots, by Little's law: the arrival rate times the running time of
//! a request. Refused requests count as well.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Averaging window of the arrival rate.
const AVERAGING_WINDOW: ClockSpan = ClockSpan::from_millis(5_000);
/// Fixed-point scale of the rate.
const SCALE: u64 = 1_024;
/// Milliseconds per second.
const MILLIS_PER_SECOND: u64 = 1_000;

/// The smoothed arrival rate.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandRate {
    /// Arrivals since the last update.
    arrived: u64,
    /// Arrivals per second, times [`SCALE`].
    rate: u64,
    updated_at: ClockTime,
}

impl DemandRate {
    /// Counts one arrival, admitted or not.
    pub(super) fn record_arrival(&mut self) {
        self.arrived += 1;
    }

    /// Updates the rate. Call this periodically.
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

    /// Slots that the arriving requests need if each runs for `hold`.
    pub(super) fn slots_needed(&self, hold: ClockSpan) -> u64 {
        self.rate.saturating_mul(hold.as_millis()) / SCALE / MILLIS_PER_SECOND
    }
}
