//! Records of one slot on their way to the object store.

use super::record::BillingRecord;
use super::segment::JournalSegment;
use super::segment::SegmentName;
use crate::budget::InstanceIncarnation;
use crate::budget::SlotId;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// When a segment is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JournalPolicy {
    /// Most records of a segment.
    pub most_records: usize,
    /// Longest time that a record waits for its segment to fill.
    pub longest_wait: ClockSpan,
}

impl Default for JournalPolicy {
    fn default() -> Self {
        Self {
            most_records: 1_000,
            longest_wait: ClockSpan::from_millis(5_000),
        }
    }
}

/// The records of one slot that are not known to be durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalBuffer {
    policy: JournalPolicy,
    slot: SlotId,
    router: InstanceIncarnation,
    sequence: u64,
    open: Vec<BillingRecord>,
    open_since: ClockTime,
    closed: Vec<JournalSegment>,
}

impl JournalBuffer {
    /// An empty buffer of `slot` at `router`.
    #[must_use]
    pub const fn new(policy: JournalPolicy, slot: SlotId, router: InstanceIncarnation) -> Self {
        Self {
            policy,
            slot,
            router,
            sequence: 0,
            open: Vec::new(),
            open_since: ClockTime::from_millis(0),
            closed: Vec::new(),
        }
    }

    /// The slot.
    #[must_use]
    pub const fn slot(&self) -> &SlotId {
        &self.slot
    }

    /// Another longest wait, also for the records that wait now.
    pub const fn set_longest_wait(&mut self, wait: ClockSpan) {
        self.policy.longest_wait = wait;
    }

    /// Adds a record.
    pub fn add(&mut self, record: BillingRecord, now: ClockTime) {
        if self.open.is_empty() {
            self.open_since = now;
        }
        self.open.push(record);
        if self.open.len() >= self.policy.most_records {
            self.close();
        }
    }

    /// The segment to write next, closing the open one if it is due. It stays
    /// the next until [`JournalBuffer::written`] says that it is durable.
    pub fn next(&mut self, now: ClockTime) -> Option<&JournalSegment> {
        if self.due_in(now) == Some(ClockSpan::default()) {
            self.close();
        }
        self.closed.first()
    }

    /// When [`JournalBuffer::next`] is worth asking again: zero if a segment
    /// waits, `None` if there is nothing to write.
    #[must_use]
    pub fn due_in(&self, now: ClockTime) -> Option<ClockSpan> {
        if !self.closed.is_empty() {
            return Some(ClockSpan::default());
        }
        if self.open.is_empty() {
            return None;
        }
        Some((self.open_since + self.policy.longest_wait).since(now))
    }

    /// Closes the open segment, full or not; for a shutdown.
    pub fn close(&mut self) {
        if self.open.is_empty() {
            return;
        }
        let records = std::mem::take(&mut self.open);
        let name = self.next_name();
        self.closed.push(JournalSegment { name, records });
    }

    /// The segment is durable: its records are given back, to be forgotten.
    pub fn written(&mut self, name: &SegmentName) -> Vec<BillingRecord> {
        let place = self.closed.iter().position(|segment| segment.name == *name);
        place.map_or_else(Vec::new, |place| self.closed.remove(place).records)
    }

    /// Another object lies under the segment's name: it takes a new one.
    pub fn rename(&mut self, name: &SegmentName) {
        let fresh = self.next_name();
        if let Some(segment) = self.closed.iter_mut().find(|segment| segment.name == *name) {
            segment.name = fresh;
        }
    }

    /// Records that are not known to be durable.
    #[must_use]
    pub fn backlog(&self) -> usize {
        let closed: usize = self
            .closed
            .iter()
            .map(|segment| segment.records.len())
            .sum();
        self.open.len() + closed
    }

    fn next_name(&mut self) -> SegmentName {
        let sequence = self.sequence;
        self.sequence += 1;
        SegmentName {
            slot: self.slot.clone(),
            router: self.router.clone(),
            sequence,
        }
    }
}
