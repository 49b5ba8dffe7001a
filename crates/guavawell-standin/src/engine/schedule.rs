//! Continuous batching: slots, and a bounded queue by priority.

use std::cmp::Reverse;
use std::sync::Arc;

use guavawell_core::id::AttemptId;

use crate::attempt::AttemptEntry;

/// What became of an attempt that asked for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SlotAnswer {
    Granted,
    Queued,
    Full,
}

/// The slots and the queue; the fields are counts of attempts.
#[derive(Debug)]
pub(super) struct SlotSchedule {
    slots: usize,
    queue_limit: usize,
    running: usize,
    arrivals: u64,
    /// Sorted: higher priority first, then in order of arrival.
    queue: Vec<QueuedAttempt>,
}

#[derive(Debug)]
struct QueuedAttempt {
    priority: u8,
    arrival: u64,
    entry: Arc<AttemptEntry>,
}

impl SlotSchedule {
    pub(super) fn new(slots: usize, queue_limit: usize) -> Self {
        Self {
            slots,
            queue_limit,
            running: 0,
            arrivals: 0,
            queue: Vec::new(),
        }
    }

    pub(super) fn running(&self) -> usize {
        self.running
    }

    pub(super) fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Asks for a slot.
    pub(super) fn admit(&mut self, entry: &Arc<AttemptEntry>, priority: u8) -> SlotAnswer {
        if self.running < self.slots {
            self.running += 1;
            return SlotAnswer::Granted;
        }
        if self.queue.len() >= self.queue_limit {
            return SlotAnswer::Full;
        }
        self.arrivals += 1;
        let queued = QueuedAttempt {
            priority,
            arrival: self.arrivals,
            entry: Arc::clone(entry),
        };
        let rank = (Reverse(priority), self.arrivals);
        let index = self
            .queue
            .partition_point(|other| (Reverse(other.priority), other.arrival) < rank);
        self.queue.insert(index, queued);
        SlotAnswer::Queued
    }

    /// Gives a slot back; the answer is the attempt that takes it over.
    pub(super) fn release(&mut self) -> Option<Arc<AttemptEntry>> {
        if self.queue.is_empty() {
            self.running -= 1;
            return None;
        }
        Some(self.queue.remove(0).entry)
    }

    /// Takes an attempt out of the queue.
    pub(super) fn withdraw(&mut self, attempt: AttemptId) {
        self.queue
            .retain(|queued| queued.entry.source.attempt != attempt);
    }
}
