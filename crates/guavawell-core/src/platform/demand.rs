//! How much of the platform a router could use, measured from what it asked.

use super::rate::PlatformRate;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

const MILLI: u64 = 1_000;

/// Least time over which a rate is measured.
const WINDOW: ClockSpan = ClockSpan::from_millis(1_000);

/// What a share that ran short asks for, as a multiple of what it has; it
/// doubles with each window in a row, so that few lead from the smallest share
/// to the largest, while a short bunch asks for nothing more.
const SHORT_FACTOR: u64 = 1;

/// The largest multiple.
const MOST_FACTOR: u64 = 16;

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
    since: ClockTime,
    /// What was sent, over some windows.
    used: PlatformRate,
    /// What a share that ran short asks for; it fades.
    missed: PlatformRate,
}

impl ShareDemand {
    /// No demand yet.
    #[must_use]
    pub const fn new(now: ClockTime) -> Self {
        Self {
            granted: 0,
            waited: false,
            factor: SHORT_FACTOR,
            since: now,
            used: PlatformRate::ZERO,
            missed: PlatformRate::ZERO,
        }
    }

    /// An operation was sent.
    pub const fn granted(&mut self) {
        self.granted += 1;
    }

    /// An operation that may borrow had to wait.
    pub const fn waited(&mut self) {
        self.waited = true;
    }

    /// Whether the share ran short in this window or the one before.
    #[must_use]
    pub const fn is_short(&self) -> bool {
        self.waited || self.factor > SHORT_FACTOR
    }

    /// The demand, measured anew once a window has passed; `rate` is what the
    /// share gives now.
    pub fn review(&mut self, rate: PlatformRate, now: ClockTime) -> PlatformRate {
        let passed = now.since(self.since);
        if passed >= WINDOW {
            self.measure(rate, passed);
            self.since = now;
        }
        // Room for what comes in bunches.
        self.used.part(2, 1).max(self.missed)
    }

    fn measure(&mut self, rate: PlatformRate, passed: ClockSpan) {
        let used = self.granted.saturating_mul(MILLI * MILLI) / passed.as_millis();
        let used = PlatformRate::from_milli(used);
        self.used = self.used.part(7, 8).plus(used.part(1, 8));
        self.missed = self.missed.part(7, 8);
        if self.waited {
            self.missed = self.missed.max(rate.part(self.factor, 1));
            self.factor = (2 * self.factor).min(MOST_FACTOR);
        } else {
            self.factor = SHORT_FACTOR;
        }
        self.granted = 0;
        self.waited = false;
    }
}
