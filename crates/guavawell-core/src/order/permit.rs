//! Permits of the weight store: one fleet-wide rate for loads.
//!
//! One row of the table lists the loads under way; it is changed by
//! compare-and-swap only. A permit is held for the load and for a shortest time,
//! so the rate is at most `max_loads` loads in `min_hold`. A permit whose issuer died
//! lapses: the rate is a courtesy to the store and guards no money.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::id::BackendId;

/// Bounds of the weight store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitSettings {
    /// Loads at a time.
    pub max_loads: usize,
    /// Shortest time that a permit counts.
    pub min_hold: ClockSpan,
    /// Time after which a permit lapses.
    pub expiry: ClockSpan,
}

impl Default for PermitSettings {
    fn default() -> Self {
        Self {
            max_loads: 4,
            min_hold: ClockSpan::from_millis(10_000),
            expiry: ClockSpan::from_millis(600_000),
        }
    }
}

/// One load under way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadPermit {
    /// The server that loads.
    pub backend: BackendId,
    /// Since when, by the issuer's clock.
    pub since: ClockTime,
    /// Whether the load has ended.
    pub ended: bool,
}

/// The row `order-permits`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRow {
    /// The permits that count.
    pub permits: Vec<LoadPermit>,
}

impl PermitRow {
    /// The row with a permit for `backend`, to be written by compare-and-swap.
    /// A permit that it holds already is kept: its answer may have been lost.
    ///
    /// # Errors
    ///
    /// The earliest time at which a permit may be free.
    pub fn acquire(
        &self,
        backend: &BackendId,
        settings: &PermitSettings,
        now: ClockTime,
    ) -> Result<Self, ClockTime> {
        let mut row = self.clone();
        row.permits
            .retain(|permit| permit.counted_until(settings) > now);
        let has_open_load = |permit: &LoadPermit| permit.backend == *backend && !permit.ended;
        if row.permits.iter().any(has_open_load) {
            return Ok(row);
        }
        if row.permits.len() >= settings.max_loads {
            let earliest = row
                .permits
                .iter()
                .map(|permit| permit.counted_until(settings));
            let next_check = now + settings.min_hold;
            return Err(earliest
                .min()
                .map_or(next_check, |free| free.min(next_check)));
        }
        row.permits.push(LoadPermit {
            backend: backend.clone(),
            since: now,
            ended: false,
        });
        Ok(row)
    }

    /// The row after the load of `backend` has ended.
    #[must_use]
    pub fn release(&self, backend: &BackendId) -> Self {
        let mut row = self.clone();
        for permit in &mut row.permits {
            permit.ended |= permit.backend == *backend;
        }
        row
    }
}

impl LoadPermit {
    fn counted_until(&self, settings: &PermitSettings) -> ClockTime {
        self.since
            + if self.ended {
                settings.min_hold
            } else {
                settings.expiry
            }
    }
}
