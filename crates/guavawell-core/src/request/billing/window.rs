//! A window of recent charges, which finds repeated charges as segments are
//! read.

use super::record::BillingRecord;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::request::identity::RequestIdentity;

/// Limits of a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowPolicy {
    /// How long a charge is kept after it was read. A repeated charge that is
    /// read later is only found by an audit.
    pub retention: ClockSpan,
    /// Largest number of charges. Charges that were read first are evicted
    /// first, and charges of one segment together.
    pub max_charges: usize,
}

impl Default for WindowPolicy {
    fn default() -> Self {
        Self {
            retention: ClockSpan::from_millis(6 * 3_600_000),
            max_charges: 200_000,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct WindowCharge {
    read_at: ClockTime,
    /// When a conflict with this charge is returned next.
    due_at: ClockTime,
    record: BillingRecord,
}

/// Recently read charges, sorted by identity.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChargeWindow {
    policy: WindowPolicy,
    seen: Vec<WindowCharge>,
}

impl ChargeWindow {
    /// An empty window.
    #[must_use]
    pub const fn new(policy: WindowPolicy) -> Self {
        Self {
            policy,
            seen: Vec::new(),
        }
    }

    /// Adds the records of a segment. A charge with several records is kept
    /// once.
    pub fn add(&mut self, records: Vec<BillingRecord>, now: ClockTime) {
        let added = records.into_iter().map(|record| WindowCharge {
            read_at: now,
            due_at: now,
            record,
        });
        self.seen.extend(added);
        // The sort is stable, so that the record that was read first is kept.
        self.seen
            .sort_by(|left, right| charge_key(&left.record).cmp(&charge_key(&right.record)));
        self.seen
            .dedup_by(|later, first| later.record.is_same_charge(&first.record));
        self.evict(now);
    }

    /// Requests with several charges of which at least one is due. Returns all
    /// charges of each.
    pub fn conflicts(&self, now: ClockTime) -> impl Iterator<Item = Vec<BillingRecord>> {
        let same = |left: &WindowCharge, right: &WindowCharge| {
            left.record.identity == right.record.identity
        };
        let is_due = move |group: &&[WindowCharge]| {
            group.len() > 1 && group.iter().any(|seen| seen.due_at <= now)
        };
        let groups = self.seen.chunk_by(same).filter(is_due);
        groups.map(|group| group.iter().map(|seen| seen.record.clone()).collect())
    }

    /// Whether the range of another charge overlaps that of `record`. One of
    /// the two charges is then forged, and the budget's row does not show which.
    #[must_use]
    pub fn is_overlapped(&self, record: &BillingRecord) -> bool {
        let others = self.seen.iter().map(|seen| &seen.record);
        let mut others = others.filter(|other| !other.is_same_charge(record));
        others.any(|other| other.overlaps(record))
    }

    /// Hides the conflict of a request until `due_at`, or until another of its
    /// charges is added.
    pub fn postpone(&mut self, identity: &RequestIdentity, due_at: ClockTime) {
        let start = self
            .seen
            .partition_point(|seen| seen.record.identity < *identity);
        let group = self.seen[start..].iter_mut();
        for seen in group.take_while(|seen| seen.record.identity == *identity) {
            seen.due_at = due_at;
        }
    }

    /// Number of charges in the window.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.seen.len()
    }

    /// Whether the window is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    fn evict(&mut self, now: ClockTime) {
        let retention = self.policy.retention;
        self.seen.retain(|seen| now.since(seen.read_at) < retention);
        let excess = self.seen.len().saturating_sub(self.policy.max_charges);
        if excess == 0 {
            return;
        }
        let mut times: Vec<ClockTime> = self.seen.iter().map(|seen| seen.read_at).collect();
        times.sort();
        let newest_evicted = times[excess - 1];
        self.seen.retain(|seen| seen.read_at > newest_evicted);
    }
}

fn charge_key(
    record: &BillingRecord,
) -> (
    &RequestIdentity,
    crate::id::AttemptId,
    &crate::budget::SlotId,
) {
    (&record.identity, record.attempt, &record.slot)
}
