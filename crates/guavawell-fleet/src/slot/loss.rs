//! Failed asks of slots' holders: when a takeover is asked for ahead of gossip.
//!
//! A takeover needs no clock to be safe, so it may be tried on a mere
//! suspicion. What a wrong one costs is a frozen float, so that it takes a few
//! failures over a short span.

use std::sync::Mutex;
use std::sync::PoisonError;

use guavawell_core::budget::SlotId;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;

/// Failures before a takeover is asked for.
const MIN_FAILURES: u32 = 3;

/// Span over which the failures came.
const MIN_SPAN: ClockSpan = ClockSpan::from_millis(250);

/// Span after which earlier failures count no more.
const MAX_SPAN: ClockSpan = ClockSpan::from_millis(5_000);

/// Time between two takeovers asked for.
const ASK_EVERY: ClockSpan = ClockSpan::from_millis(500);

/// Failed asks by slot.
#[derive(Debug, Default)]
pub(super) struct FailedAsks {
    slots: Mutex<Vec<FailingSlot>>,
}

#[derive(Debug)]
struct FailingSlot {
    slot: SlotId,
    first: ClockTime,
    failures: u32,
    asked: Option<ClockTime>,
}

impl FailedAsks {
    /// Counts a failure; `true` if a takeover should be asked for now.
    pub(super) fn failed(&self, slot: &SlotId, now: ClockTime) -> bool {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        let place = match slots.binary_search_by(|failing| failing.slot.cmp(slot)) {
            Ok(place) => place,
            Err(place) => {
                slots.insert(place, FailingSlot::new(slot, now));
                place
            }
        };
        slots[place].count(now)
    }

    /// The holder answered: earlier failures count no more.
    pub(super) fn answered(&self, slot: &SlotId) {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        if let Ok(place) = slots.binary_search_by(|failing| failing.slot.cmp(slot)) {
            slots.remove(place);
        }
    }
}

impl FailingSlot {
    fn new(slot: &SlotId, now: ClockTime) -> Self {
        Self {
            slot: slot.clone(),
            first: now,
            failures: 0,
            asked: None,
        }
    }

    fn count(&mut self, now: ClockTime) -> bool {
        if now.since(self.first) > MAX_SPAN {
            *self = Self::new(&self.slot, now);
        }
        self.failures += 1;
        let is_due = self.failures >= MIN_FAILURES
            && now.since(self.first) >= MIN_SPAN
            && self.asked.is_none_or(|asked| now.since(asked) >= ASK_EVERY);
        if is_due {
            self.asked = Some(now);
        }
        is_due
    }
}
