//! When a slot gives up a witness of the less preferred class of zones.
//!
//! Such a witness is named while none of the preferred class is reachable. It
//! answers, so that nothing else would ever end it.

use guavawell_core::budget::SlotId;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;

/// Longest wait before another move of the same slot.
const MAX_WAIT: ClockSpan = ClockSpan::from_millis(60_000);

/// Time without an offer after which a slot's earlier moves count no more.
const FORGET_AFTER: ClockSpan = ClockSpan::from_millis(120_000);

/// Held slots whose witness is a stopgap or was one lately, sorted by slot.
///
/// A slot's witness moves once a preferred one has been offered for a first wait
/// without a break. The wait doubles with each move, so that a zone that comes
/// and goes, or that gossip alone reaches, does not move it every time.
#[derive(Debug)]
pub(super) struct StopgapWatch {
    first_wait: ClockSpan,
    slots: Vec<StopgapSlot>,
}

#[derive(Debug)]
struct StopgapSlot {
    slot: SlotId,
    /// Since when a preferred witness has been offered.
    since: Option<ClockTime>,
    last_offer: ClockTime,
    wait: ClockSpan,
}

impl StopgapWatch {
    pub(super) const fn new(first_wait: ClockSpan) -> Self {
        Self {
            first_wait,
            slots: Vec::new(),
        }
    }

    /// Told at each review that a preferred witness could replace the slot's
    /// stopgap; `true` if it should now, which counts as a move.
    pub(super) fn offer(&mut self, slot: &SlotId, now: ClockTime) -> bool {
        let place = match self.find(slot) {
            Ok(place) => place,
            Err(place) => {
                let stopgap = StopgapSlot::new(slot, self.first_wait, now);
                self.slots.insert(place, stopgap);
                place
            }
        };
        self.slots[place].offer(now)
    }

    /// Told at each review of a held slot that its witness is no stopgap, or
    /// that nobody better is offered.
    pub(super) fn pass(&mut self, slot: &SlotId, now: ClockTime) {
        let Ok(place) = self.find(slot) else {
            return;
        };
        let stopgap = &mut self.slots[place];
        stopgap.since = None;
        if now.since(stopgap.last_offer) >= FORGET_AFTER {
            self.slots.remove(place);
        }
    }

    /// Forgets a slot that is not held here.
    pub(super) fn clear(&mut self, slot: &SlotId) {
        if let Ok(place) = self.find(slot) {
            self.slots.remove(place);
        }
    }

    fn find(&self, slot: &SlotId) -> Result<usize, usize> {
        self.slots
            .binary_search_by(|stopgap| stopgap.slot.cmp(slot))
    }
}

impl StopgapSlot {
    fn new(slot: &SlotId, wait: ClockSpan, now: ClockTime) -> Self {
        Self {
            slot: slot.clone(),
            since: None,
            last_offer: now,
            wait,
        }
    }

    fn offer(&mut self, now: ClockTime) -> bool {
        self.last_offer = now;
        let since = *self.since.get_or_insert(now);
        if now.since(since) < self.wait {
            return false;
        }
        self.since = None;
        self.wait = MAX_WAIT.min(self.wait + self.wait);
        true
    }
}
