//! Who runs how much: the organisations' weighted shares of a target's limit.

use super::ticket::FairWeight;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::id::OrganisationId;

/// An organisation counts as active this long after it last asked or ended.
const ACTIVE_SPAN: ClockSpan = ClockSpan::from_millis(10_000);

/// Span over which what an organisation runs is smoothed.
const SMOOTH_SPAN: ClockSpan = ClockSpan::from_millis(5_000);
/// An organisation is quiet while it usually takes at most one in this many of
/// the slots of its share.
const QUIET_PART: u64 = 2;
/// Fixed-point scale of smoothed numbers.
const SCALE: u64 = 1_024;

/// What one active organisation runs.
#[derive(Clone, Debug)]
struct ActiveShare {
    organisation: OrganisationId,
    weight: FairWeight,
    running: u32,
    /// Smoothed `running`, times [`SCALE`].
    usual: u64,
    last: ClockTime,
}

/// The active organisations of one target, each with what it runs.
#[derive(Clone, Debug, Default)]
pub(super) struct RunningShares {
    /// Sorted by organisation.
    active: Vec<ActiveShare>,
    /// Sum of the active organisations' weights.
    weights: u64,
    /// Requests running, of all organisations.
    running: u32,
    reviewed: ClockTime,
}

impl RunningShares {
    /// Requests running, of all organisations.
    pub(super) fn running(&self) -> u32 {
        self.running
    }

    /// Whether one more request of an organisation may run: any while fewer
    /// than `open` run, one within its share while fewer than `limit` run.
    pub(super) fn may_run(&self, organisation: &OrganisationId, open: u32, limit: u32) -> bool {
        self.running < open || (self.running < limit && self.is_within(organisation, 1, open))
    }

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
                    usual: 0,
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
        self.running += 1;
        if let Ok(place) = self.find(organisation) {
            self.active[place].running += 1;
        }
    }

    /// One of an organisation's requests ended.
    pub(super) fn finish(&mut self, organisation: &OrganisationId, now: ClockTime) {
        self.running = self.running.saturating_sub(1);
        if let Ok(place) = self.find(organisation) {
            let share = &mut self.active[place];
            share.running = share.running.saturating_sub(1);
            share.last = now;
        }
    }

    /// Time has passed: smooths what each organisation runs and forgets those
    /// that have not been active for a while. Walks the active organisations,
    /// so call it on a timer.
    pub(super) fn review(&mut self, now: ClockTime) {
        let whole = SMOOTH_SPAN.as_millis();
        let part = now.since(self.reviewed).as_millis().min(whole);
        self.reviewed = now;
        self.active
            .retain(|share| share.running > 0 || now.since(share.last) < ACTIVE_SPAN);
        for share in &mut self.active {
            let running = u64::from(share.running) * SCALE;
            share.usual = (share.usual * (whole - part) + running * part) / whole;
        }
        let weights = self.active.iter().map(|share| share.weight.get());
        self.weights = weights.map(u64::from).sum();
    }

    /// What the organisations that usually take a small part of their shares
    /// of `slots` leave unused of them.
    pub(super) fn unused(&self, slots: u32) -> u32 {
        let whole = u64::from(slots) * SCALE;
        let unused = |share: &ActiveShare| {
            let allowed = whole * u64::from(share.weight.get()) / self.weights.max(1);
            // What it runs now counts at once, so that several that begin
            // together leave no slot of theirs empty.
            let used = share.usual.max(u64::from(share.running) * SCALE);
            let quiet = used * QUIET_PART <= allowed;
            if quiet { allowed - used } else { 0 }
        };
        let sum: u64 = self.active.iter().map(unused).sum();
        u32::try_from(sum / SCALE).unwrap_or(u32::MAX)
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
