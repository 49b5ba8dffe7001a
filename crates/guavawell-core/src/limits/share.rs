//! Weighted shares of the organisations in a target's concurrency limit.

use super::ticket::FairWeight;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::id::OrganisationId;

/// How long an organisation stays active after its last request arrived or ended.
const ACTIVE_SPAN: ClockSpan = ClockSpan::from_millis(10_000);

/// Averaging window of an organisation's running requests.
const AVERAGING_WINDOW: ClockSpan = ClockSpan::from_millis(5_000);
/// An organisation is a light user while it uses at most one in this many slots
/// of its share.
const LIGHT_USE_DIVISOR: u64 = 2;
/// Fixed-point scale of smoothed numbers.
const SCALE: u64 = 1_024;

/// An active organisation and its running requests.
#[derive(Clone, Debug)]
struct ActiveShare {
    organisation: OrganisationId,
    weight: FairWeight,
    running: u32,
    /// Moving average of `running`, times [`SCALE`].
    average_running: u64,
    last_active: ClockTime,
}

/// The active organisations of one target and their running requests.
#[derive(Clone, Debug, Default)]
pub(super) struct RunningShares {
    /// Sorted by organisation.
    active: Vec<ActiveShare>,
    /// Sum of the weights of the active organisations.
    weights: u64,
    /// Running requests of all organisations.
    running: u32,
    updated_at: ClockTime,
}

impl RunningShares {
    /// Running requests of all organisations.
    pub(super) fn running(&self) -> u32 {
        self.running
    }

    /// Whether an organisation may run one more request: any organisation while
    /// fewer than `open_limit` requests run, and one within its share while fewer
    /// than `limit` run.
    pub(super) fn may_run(
        &self,
        organisation: &OrganisationId,
        open_limit: u32,
        limit: u32,
    ) -> bool {
        self.running < open_limit
            || (self.running < limit && self.is_within(organisation, 1, open_limit))
    }

    /// Marks an organisation as active, with its current weight.
    pub(super) fn mark_active(
        &mut self,
        organisation: &OrganisationId,
        weight: FairWeight,
        now: ClockTime,
    ) {
        let index = match self.find(organisation) {
            Ok(index) => index,
            Err(index) => {
                let share = ActiveShare {
                    organisation: organisation.clone(),
                    weight,
                    running: 0,
                    average_running: 0,
                    last_active: now,
                };
                self.weights += u64::from(weight.get());
                self.active.insert(index, share);
                index
            }
        };
        let share = &mut self.active[index];
        self.weights -= u64::from(share.weight.get());
        self.weights += u64::from(weight.get());
        share.weight = weight;
        share.last_active = now;
    }

    /// Records that a request of an active organisation starts.
    pub(super) fn begin(&mut self, organisation: &OrganisationId) {
        self.running += 1;
        if let Ok(index) = self.find(organisation) {
            self.active[index].running += 1;
        }
    }

    /// Records that a request of an organisation ended.
    pub(super) fn finish(&mut self, organisation: &OrganisationId, now: ClockTime) {
        self.running = self.running.saturating_sub(1);
        if let Ok(index) = self.find(organisation) {
            let share = &mut self.active[index];
            share.running = share.running.saturating_sub(1);
            share.last_active = now;
        }
    }

    /// Updates the moving averages and removes inactive organisations. Visits all
    /// active organisations, so call this periodically, not for each request.
    pub(super) fn update(&mut self, now: ClockTime) {
        let window = AVERAGING_WINDOW.as_millis();
        let elapsed = now.since(self.updated_at).as_millis().min(window);
        self.updated_at = now;
        self.active
            .retain(|share| share.running > 0 || now.since(share.last_active) < ACTIVE_SPAN);
        for share in &mut self.active {
            let running = u64::from(share.running) * SCALE;
            share.average_running =
                (share.average_running * (window - elapsed) + running * elapsed) / window;
        }
        let weights = self.active.iter().map(|share| share.weight.get());
        self.weights = weights.map(u64::from).sum();
    }

    /// Slots that the light users leave unused of their shares of `slots`.
    pub(super) fn unused(&self, slots: u32) -> u32 {
        let scaled_slots = u64::from(slots) * SCALE;
        let unused = |share: &ActiveShare| {
            let allowed = scaled_slots * u64::from(share.weight.get()) / self.weights.max(1);
            // Running requests count at once, before the average follows, so that
            // organisations that start together can fill all slots.
            let used = share.average_running.max(u64::from(share.running) * SCALE);
            let light_use = used * LIGHT_USE_DIVISOR <= allowed;
            if light_use { allowed - used } else { 0 }
        };
        let sum: u64 = self.active.iter().map(unused).sum();
        u32::try_from(sum / SCALE).unwrap_or(u32::MAX)
    }

    /// Whether an organisation stays within its share of `limit` with `more`
    /// running requests. A single request always does, and so does the only
    /// active organisation.
    pub(super) fn is_within(&self, organisation: &OrganisationId, more: u32, limit: u32) -> bool {
        let Ok(index) = self.find(organisation) else {
            return true;
        };
        let share = &self.active[index];
        let running = share.running + more;
        let allowed = u64::from(limit) * u64::from(share.weight.get());
        running <= 1 || self.active.len() == 1 || u64::from(running) * self.weights <= allowed
    }

    fn find(&self, organisation: &OrganisationId) -> Result<usize, usize> {
        self.active
            .binary_search_by(|share| share.organisation.cmp(organisation))
    }
}
