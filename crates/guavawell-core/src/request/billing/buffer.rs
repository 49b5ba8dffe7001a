//! Buffers the billing records of one slot until the object store has them.

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
    /// Largest number of records in a segment.
    pub max_records: usize,
    /// Longest time that a record waits for its segment to fill.
    pub max_wait: ClockSpan,
}

impl Default for JournalPolicy {
    fn default() -> Self {
        Self {
            max_records: 1_000,
            max_wait: ClockSpan::from_millis(5_000),
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

    /// Changes the longest wait, also for records that already wait.
    pub const fn set_max_wait(&mut self, wait: ClockSpan) {
        self.policy.max_wait = wait;
    }

    /// Adds a record.
    pub fn add(&mut self, record: BillingRecord, now: ClockTime) {
        if self.open.is_empty() {
            self.open_since = now;
        }
        self.open.push(record);
        if self.open.len() >= self.policy.max_records {
            self.close();
        }
    }

    /// Returns the segment to write next, and closes the open one if it is due.
    /// The segment stays first in line until [`JournalBuffer::take_written`]
    /// removes it.
    pub fn next(&mut self, now: ClockTime) -> Option<&JournalSegment> {
        if self.due_in(now) == Some(ClockSpan::default()) {
            self.close();
        }
        self.closed.first()
    }

    /// Time until [`JournalBuffer::next`] returns a segment: zero if one is
    /// ready, `None` if there are no records to write.
    #[must_use]
    pub fn due_in(&self, now: ClockTime) -> Option<ClockSpan> {
        if !self.closed.is_empty() {
            return Some(ClockSpan::default());
        }
        if self.open.is_empty() {
            return None;
        }
        Some((self.open_since + self.policy.max_wait).since(now))
    }

    /// Closes the open segment even if it is not full, for example at shutdown.
    pub fn close(&mut self) {
        if self.open.is_empty() {
            return;
        }
        let records = std::mem::take(&mut self.open);
        let name = self.next_name();
        self.closed.push(JournalSegment { name, records });
    }

    /// Removes a segment that is durable now, and returns its records.
    pub fn take_written(&mut self, name: &SegmentName) -> Vec<BillingRecord> {
        let index = self.closed.iter().position(|segment| segment.name == *name);
        index.map_or_else(Vec::new, |index| self.closed.remove(index).records)
    }

    /// Gives a segment a new name, because another object has its name.
    pub fn rename(&mut self, name: &SegmentName) {
        let new_name = self.next_name();
        if let Some(segment) = self.closed.iter_mut().find(|segment| segment.name == *name) {
            segment.name = new_name;
        }
    }

    /// The number of records that are not known to be durable.
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
