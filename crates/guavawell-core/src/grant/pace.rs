//! Backoff for writes of a row that the store throttles.
//!
//! Load pattern: a hundred instances start at the same moment and write the
//! same rows. The store applies two hundred transactions per second to a row
//! and rejects the rest. If writers retry after a fixed delay, their rejected
//! writes keep the store at its limit. So each writer halves its rate when a
//! write is throttled, and raises it by a fixed step when a write succeeds.

use crate::clock::ClockSpan;

/// Bounds of a writer's rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceSettings {
    /// Highest rate, in writes per second.
    pub max_per_second: u32,
    /// Lowest rate, in writes per ten seconds. It lets a writer notice that the
    /// store has capacity again.
    pub min_per_ten_seconds: u32,
    /// Increase of the rate after a successful write, in writes per second.
    pub increase_per_second: u32,
}

impl Default for PaceSettings {
    fn default() -> Self {
        Self {
            max_per_second: 10,
            min_per_ten_seconds: 3,
            increase_per_second: 1,
        }
    }
}

/// The rate of one writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WritePace {
    settings: PaceSettings,
    /// Writes per ten seconds.
    rate: u32,
}

impl WritePace {
    /// Starts at the highest rate.
    #[must_use]
    pub const fn new(settings: PaceSettings) -> Self {
        Self {
            rate: settings.max_per_second * 10,
            settings,
        }
    }

    /// Records that the store rejected a write because of its rate.
    pub fn write_throttled(&mut self) {
        self.rate = (self.rate / 2).max(self.settings.min_per_ten_seconds);
    }

    /// Records that a write was applied.
    pub fn write_succeeded(&mut self) {
        let next = self.rate + self.settings.increase_per_second * 10;
        self.rate = next.min(self.settings.max_per_second * 10);
    }

    /// The delay before a throttled write is retried. `jitter` is a random
    /// number from 0 to 1; it spreads out writers that were throttled together.
    #[must_use]
    pub fn pause(&self, jitter: f64) -> ClockSpan {
        let interval = 10_000.0 / f64::from(self.rate);
        ClockSpan::from_millis(crate::number::whole(interval * (0.5 + jitter)))
    }
}
