//! How much of the platform a router could use, measured from what it asked.

use super::rate::PlatformRate;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

const MILLI: u64 = 1_000;

/// Least time over which a rate is measured.
const MEASURE_WINDOW: ClockSpan = ClockSpan::from_millis(1_000);

/// What a share that ran short asks for, as a multiple of what it has; it
/// doubles with each window in a row, so that few lead from the smallest share
/// to the largest, while a short bunch asks for nothing more.
const MIN_FACTOR: u64 = 1;

/// The largest multiple.
const MAX_FACTOR: u64 = 16;

/// Demand of one router for writes or reads.
///
/// Who waits for a share asks less often than it would: so demand is not
/// measured by what was granted alone, but grows while anything had to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareDemand {
    granted: u64,
    waited: bool,
    /// The next multiple, while windows in a row ran short.
    factor: u64,
    window_start: ClockTime,
    /// What was sent, over some windows.
    sent_rate: PlatformRate,
    /// What a share that ran short asks for; it fades.
    shortage_rate: PlatformRate,
}

impl ShareDemand {
    /// No demand yet.
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

    /// An operation was sent.
    pub const fn record_grant(&mut self) {
        self.granted += 1;
    }

    /// An operation that may borrow had to wait.
    pub const fn record_wait(&mut self) {
        self.waited = true;
    }

    /// Whether the share ran short in this window or the one before.
    #[must_use]
    pub const fn is_short(&self) -> bool {
        self.waited || self.factor > MIN_FACTOR
    }

    /// The demand, measured anew once a window has passed; `rate` is what the
    /// share gives now.
    pub fn update(&mut self, rate: PlatformRate, now: ClockTime) -> PlatformRate {
        let elapsed = now.since(self.window_start);
        if elapsed >= MEASURE_WINDOW {
            self.measure(rate, elapsed);
            self.window_start = now;
        }
        // Room for what comes in bunches.
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
