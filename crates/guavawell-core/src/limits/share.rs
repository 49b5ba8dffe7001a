//! Who runs how much: the organisations' weighted shares of a target's limit.

use super::ticket::FairWeight;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::id::OrganisationId;

/// An organisation counts as active this long after it last asked or ended.
const ACTIVE_SPAN: ClockSpan = ClockSpan::from_millis(10_000);

/// What one active organisation runs.
#[derive(Clone, Debug)]
struct ActiveShare {
    organisation: OrganisationId,
    weight: FairWeight,
    running: u32,
    last: ClockTime,
}

/// The active organisations of one target, each with what it runs.
#[derive(Clone, Debug, Default)]
pub(super) struct RunningShares {
    /// Sorted by organisation.
    active: Vec<ActiveShare>,
    /// Sum of the active organisations' weights.
    weights: u64,
}

impl RunningShares {
    /// An organisation asks; it is active from now on.
    pub(super) fn note(
        &mut self,
        organisation: &OrganisationId,
        weight: FairWeight,
        now: ClockTime,
    ) {
        let place = match self.find(organisation) {
            Ok(place) => place,
            Err(place) => {
                let share = ActiveShare {
                    organisation: organisation.clone(),
                    weight,
                    running: 0,
                    last: now,
                };
                self.weights += u64::from(weight.get());
                self.active.insert(place, share);
                place
            }
        };
        let share = &mut self.active[place];
        self.weights -= u64::from(share.weight.get());
        self.weights += u64::from(weight.get());
        share.weight = weight;
        share.last = now;
    }

    /// One more request of an organisation that was noted runs.
    pub(super) fn begin(&mut self, organisation: &OrganisationId) {
        if let Ok(place) = self.find(organisation) {
            self.active[place].running += 1;
        }
    }

    /// One of an organisation's requests ended.
    pub(super) fn finish(&mut self, organisation: &OrganisationId, now: ClockTime) {
        if let Ok(place) = self.find(organisation) {
            let share = &mut self.active[place];
            share.running = share.running.saturating_sub(1);
            share.last = now;
        }
    }

    /// Forgets the organisations that have not been active for a while. Walks
    /// the active ones, so call it on a timer.
    pub(super) fn forget_idle(&mut self, now: ClockTime) {
        self.active
            .retain(|share| share.running > 0 || now.since(share.last) < ACTIVE_SPAN);
        let weights = self.active.iter().map(|share| share.weight.get());
        self.weights = weights.map(u64::from).sum();
    }

    /// Whether an organisation that would run `more` stays within its share
    /// of `limit`. One request always is, and so is who is active alone.
    pub(super) fn is_within(&self, organisation: &OrganisationId, more: u32, limit: u32) -> bool {
        let Ok(place) = self.find(organisation) else {
            return true;
        };
        let share = &self.active[place];
        let running = share.running + more;
        let allowed = u64::from(limit) * u64::from(share.weight.get());
        running <= 1 || self.active.len() == 1 || u64::from(running) * self.weights <= allowed
    }

    fn find(&self, organisation: &OrganisationId) -> Result<usize, usize> {
        self.active
            .binary_search_by(|share| share.organisation.cmp(organisation))
    }
}
