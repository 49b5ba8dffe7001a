//! Permits that limit the rate of model loads from the weight store for the
//! whole fleet.
//!
//! One table row lists the permits and is changed by compare-and-swap only. A
//! permit counts until its load has ended, and for at least `min_hold`, so at
//! most `max_loads` loads start within `min_hold`. A permit that was never
//! released stops counting after `expiry`, since its issuer may have crashed.
//! More loads than allowed are then possible; they slow the store down but
//! affect no budget.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::id::BackendId;

/// Limits on loads from the weight store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitSettings {
    /// Maximum number of permits at a time.
    pub max_loads: usize,
    /// Minimum time for which a permit counts, even if its load ends earlier.
    pub min_hold: ClockSpan,
    /// Time after which a permit that was not released stops counting.
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

/// A permit for one load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadPermit {
    /// The backend server that loads the model.
    pub backend: BackendId,
    /// When the permit was acquired, by the issuer's clock.
    pub since: ClockTime,
    /// Whether the load has ended.
    pub ended: bool,
}

/// The row `order-permits`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRow {
    /// All permits; expired ones are removed by the next [`PermitRow::acquire`].
    pub permits: Vec<LoadPermit>,
}

impl PermitRow {
    /// Returns the row with a permit for `backend`, to be written by
    /// compare-and-swap. If `backend` holds a permit already, no second one is
    /// added: the response to the write of the first may have been lost.
    ///
    /// # Errors
    ///
    /// Returns the time of the next attempt if all permits are taken.
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

    /// Returns the row with the permits of `backend` marked as ended.
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
    /// The time until which the permit counts against the limit.
    fn counted_until(&self, settings: &PermitSettings) -> ClockTime {
        self.since
            + if self.ended {
                settings.min_hold
            } else {
                settings.expiry
            }
    }
}
