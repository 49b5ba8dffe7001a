//! Measures how many operations per second a router needs from the platform.

use super::rate::PlatformRate;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

const MILLI: u64 = 1_000;

/// Minimum time over which a rate is measured.
const MEASURE_WINDOW: ClockSpan = ClockSpan::from_millis(1_000);

/// The demand after the first window with a shortage, as a multiple of the current
/// share. It doubles with each consecutive window with a shortage, so a small share
/// grows to a large one within a few windows, while a short burst does not ask for
/// more than the current share.
const MIN_FACTOR: u64 = 1;

/// Upper bound of that multiple.
const MAX_FACTOR: u64 = 16;

/// Demand of one router for writes or reads.
///
/// The operations that were sent do not show the whole demand, since a router that
/// waits for its share sends less than it would. Demand therefore also grows while
/// operations have to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareDemand {
    granted: u64,
    waited: bool,
    /// The multiple for the next window with a shortage.
    factor: u64,
    window_start: ClockTime,
    /// Moving average of the operations sent.
    sent_rate: PlatformRate,
    /// Demand due to a shortage; it decays once nothing waits.
    shortage_rate: PlatformRate,
}

impl ShareDemand {
    /// Starts without any demand.
    #[must_use]
    pub const fn new(now: ClockTime) -> Self {
        Self {
            granted: 0,
            waited: false,
            factor: MIN_FACTOR,
            window_start: now,
            sent_rate: PlatformRate::ZERO,
            shortage_rate: PlatformRate::ZERO,
        }
    }

    /// Records an operation that was sent.
    pub const fn record_grant(&mut self) {
        self.granted += 1;
    }

    /// Records that an operation had to wait which may raise the demand.
    pub const fn record_wait(&mut self) {
        self.waited = true;
    }

    /// Whether operations had to wait in this window or the one before.
    #[must_use]
    pub const fn is_short(&self) -> bool {
        self.waited || self.factor > MIN_FACTOR
    }

    /// Returns the demand, measured again once a window has passed. `rate` is the
    /// current rate of the share.
    pub fn update(&mut self, rate: PlatformRate, now: ClockTime) -> PlatformRate {
        let elapsed = now.since(self.window_start);
        if elapsed >= MEASURE_WINDOW {
            self.measure(rate, elapsed);
            self.window_start = now;
        }
        // Twice the mean leaves room for bursts.
        self.sent_rate.fraction(2, 1).max(self.shortage_rate)
    }

    fn measure(&mut self, rate: PlatformRate, elapsed: ClockSpan) {
        let sent_rate = self.granted.saturating_mul(MILLI * MILLI) / elapsed.as_millis();
        let sent_rate = PlatformRate::from_milli(sent_rate);
        self.sent_rate = self
            .sent_rate
            .fraction(7, 8)
            .saturating_add(sent_rate.fraction(1, 8));
        self.shortage_rate = self.shortage_rate.fraction(7, 8);
        if self.waited {
            self.shortage_rate = self.shortage_rate.max(rate.fraction(self.factor, 1));
            self.factor = (2 * self.factor).min(MAX_FACTOR);
        } else {
            self.factor = MIN_FACTOR;
        }
        self.granted = 0;
        self.waited = false;
    }
}
