//! Availability zones that the operator evacuates: their servers get no new
//! requests until the evacuation ends.
//!
//! Polls of the store overlap, so an older response may arrive after a newer
//! one. Each zone's state therefore has the revision at which the store held
//! it. An instance that the store does not answer learns the evacuated zones
//! from another instance; the store replaces them with a response that is as new, or
//! that was asked for later.

use crate::clock::ClockTime;
use crate::forward::ReturnSource;
use crate::forward::ZoneReturn;
use crate::forward::ZoneReturns;
use crate::id::ZoneId;

/// The evacuated zones as of one revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationList {
    /// Revision of the store at which the list was complete.
    pub revision: u64,
    /// The evacuated zones, sorted.
    pub zones: Vec<ZoneId>,
}

/// Zones whose evacuation began or ended with an update.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Zones that are evacuated now and were not before.
    pub began: Vec<ZoneId>,
    /// Zones that were evacuated before and are not now, and zones whose whole
    /// evacuation went by unnoticed.
    pub ended: Vec<ZoneId>,
}

/// The state of one zone in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneState {
    /// The zone.
    pub zone: ZoneId,
    /// Whether the operator evacuates it.
    pub evacuated: bool,
    /// Revision of the row or of its removal.
    pub revision: u64,
}

/// What is known of evacuated zones.
#[derive(Clone, Debug, Default)]
pub struct ZoneEvacuations {
    /// States read from the store, sorted by zone.
    stored: Vec<ZoneState>,
    /// Newest revision of a response of the store.
    revision: u64,
    /// The list of another instance, and when it was learned. Replaces `stored` while it
    /// is newer.
    learned: Option<(EvacuationList, ClockTime)>,
    /// The evacuated zones, sorted.
    current: Vec<ZoneId>,
    /// The ends of evacuations.
    returns: ZoneReturns,
}

impl ZoneEvacuations {
    /// Whether a zone is evacuated.
    #[must_use]
    pub fn contains(&self, zone: &ZoneId) -> bool {
        self.current.binary_search(zone).is_ok()
    }

    /// The evacuated zones, sorted.
    #[must_use]
    pub fn zones(&self) -> &[ZoneId] {
        &self.current
    }

    /// Newest revision of a response of the store; 0 before the first one.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Revision as of which the evacuated zones are known, from the store or from
    /// another instance.
    #[must_use]
    pub fn known_revision(&self) -> u64 {
        let learned = self.learned.as_ref().map_or(0, |(list, _)| list.revision);
        self.revision.max(learned)
    }

    /// Revision of a zone's state, as read from the store.
    #[must_use]
    pub fn state_revision(&self, zone: &ZoneId) -> Option<u64> {
        let mut states = self.stored.iter();
        let state = states.find(|state| state.zone == *zone);
        state.map(|state| state.revision)
    }

    /// The list that may be sent to other instances: only what was read from the
    /// store, so that a false one does not spread.
    #[must_use]
    pub fn stored_list(&self) -> EvacuationList {
        let evacuated = self.stored.iter().filter(|state| state.evacuated);
        EvacuationList {
            revision: self.revision,
            zones: evacuated.map(|state| state.zone.clone()).collect(),
        }
    }

    /// The ends of evacuations.
    #[must_use]
    pub const fn returns(&self) -> &ZoneReturns {
        &self.returns
    }

    /// Mutable access to [`returns`](Self::returns).
    pub const fn returns_mut(&mut self) -> &mut ZoneReturns {
        &mut self.returns
    }

    /// Records the end of a zone's evacuation, read from the store. Returns whether
    /// it says more than what was known.
    pub fn note_return(&mut self, zone_return: ZoneReturn) -> bool {
        self.returns.add(zone_return, ReturnSource::Store)
    }

    /// Records the end of a zone's evacuation that another instance told. Returns
    /// whether it says more than what was known.
    pub fn learn_return(&mut self, zone_return: ZoneReturn) -> bool {
        self.returns.add(zone_return, ReturnSource::Instance)
    }

    /// The last known end of a zone's evacuation.
    #[must_use]
    pub fn last_return(&self, zone: &ZoneId) -> Option<&ZoneReturn> {
        self.returns.last(zone)
    }

    /// The ends of evacuations that may be sent to other instances, as for
    /// [`stored_list`](Self::stored_list).
    #[must_use]
    pub fn stored_returns(&self) -> Vec<ZoneReturn> {
        self.returns.stored()
    }

    /// Applies the store's complete list as of a revision. Zones missing from it
    /// are no longer evacuated, unless their state is newer than the list.
    pub fn replace(&mut self, rows: &[ZoneState], revision: u64) -> EvacuationChange {
        let is_missing = |state: &&mut ZoneState| rows.iter().all(|row| row.zone != state.zone);
        let older = self
            .stored
            .iter_mut()
            .filter(|state| state.revision < revision);
        for state in older.filter(is_missing) {
            state.evacuated = false;
            state.revision = revision;
        }
        for row in rows {
            self.set_state(row);
        }
        self.store_answered(revision)
    }

    /// Applies changed rows; `revision` is that of the store's response.
    pub fn apply_changes(&mut self, rows: &[ZoneState], revision: u64) -> EvacuationChange {
        let mut unnoticed = Vec::new();
        for row in rows {
            let is_news = self.set_state(row);
            if is_news && !row.evacuated && !self.contains(&row.zone) {
                unnoticed.push(row.zone.clone());
            }
        }
        let mut change = self.store_answered(revision);
        change.ended.extend(unnoticed);
        change
    }

    /// Applies the list of another instance that came at this time, if it is newer
    /// than the store's last response.
    pub fn learn(&mut self, list: EvacuationList, at: ClockTime) -> EvacuationChange {
        if list.revision > self.known_revision() {
            self.learned = Some((list, at));
        }
        self.update_current()
    }

    /// Drops what other instances told if a response of the store refutes it: it was
    /// asked for later, and its revision is earlier.
    pub fn refute_told(&mut self, asked_at: ClockTime, revision: u64) -> EvacuationChange {
        self.returns.refute_told(asked_at, revision);
        self.learned = self
            .learned
            .take()
            .filter(|(list, at)| list.revision <= revision || asked_at < *at);
        self.update_current()
    }

    /// Sets a zone's state; returns false if a newer one is known.
    fn set_state(&mut self, state: &ZoneState) -> bool {
        let found = self
            .stored
            .binary_search_by(|known| known.zone.cmp(&state.zone));
        match found {
            Ok(index) if self.stored[index].revision >= state.revision => return false,
            Ok(index) => self.stored[index] = state.clone(),
            Err(index) => self.stored.insert(index, state.clone()),
        }
        true
    }

    fn store_answered(&mut self, revision: u64) -> EvacuationChange {
        self.revision = self.revision.max(revision);
        // A response may be older than what another instance told.
        self.learned = self
            .learned
            .take()
            .filter(|(list, _)| list.revision > self.revision);
        self.returns.set_aside_later_told(self.revision);
        self.update_current()
    }

    fn update_current(&mut self) -> EvacuationChange {
        let mut zones = match &self.learned {
            Some((learned, _)) => learned.zones.clone(),
            None => self.stored_list().zones,
        };
        zones.sort();
        zones.dedup();
        let before = std::mem::replace(&mut self.current, zones);
        let after = &self.current;
        let missing_in = |zones: &[ZoneId], zone: &ZoneId| zones.binary_search(zone).is_err();
        EvacuationChange {
            began: after
                .iter()
                .filter(|zone| missing_in(&before, zone))
                .cloned()
                .collect(),
            ended: before
                .iter()
                .filter(|zone| missing_in(after, zone))
                .cloned()
                .collect(),
        }
    }
}
