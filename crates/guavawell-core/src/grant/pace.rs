//! How often a row is written whose writes the store turns down for its rate.
//!
//! Load pattern: a hundred instances start at one moment and write the same
//! rows. The store carries out two hundred transactions of a row a second and
//! turns the rest down; writers that come back after a fixed pause keep it at
//! its limit with writes in vain. Each writer's rate is halved when the store
//! turns it down and rises by steps when a write is carried out.

use crate::clock::ClockSpan;

/// Bounds of a writer's rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceSettings {
    /// Writes a second that are never held back.
    pub most: u32,
    /// Writes in ten seconds that are always tried, so that a writer finds out
    /// when there is room again.
    pub least_in_ten: u32,
    /// Writes a second more after each one that was carried out.
    pub step: u32,
}

impl Default for PaceSettings {
    fn default() -> Self {
        Self {
            most: 10,
            least_in_ten: 3,
            step: 1,
        }
    }
}

/// A writer's rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WritePace {
    settings: PaceSettings,
    /// Writes in ten seconds.
    rate: u32,
}

impl WritePace {
    /// The full rate.
    #[must_use]
    pub const fn new(settings: PaceSettings) -> Self {
        Self {
            rate: settings.most * 10,
            settings,
        }
    }

    /// The store turned a write down for its rate.
    pub fn turned_down(&mut self) {
        self.rate = (self.rate / 2).max(self.settings.least_in_ten);
    }

    /// A write was carried out.
    pub fn carried_out(&mut self) {
        let next = self.rate + self.settings.step * 10;
        self.rate = next.min(self.settings.most * 10);
    }

    /// The pause before a write that was turned down is tried again. `spread`
    /// is random, 0 to 1: writers that were turned down together come back
    /// apart.
    #[must_use]
    pub fn pause(&self, spread: f64) -> ClockSpan {
        let whole = 10_000.0 / f64::from(self.rate);
        ClockSpan::from_millis(crate::number::whole(whole * (0.5 + spread)))
    }
}
