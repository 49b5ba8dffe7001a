//! Who holds the slots of this router's zone, as last read or told.

use std::sync::Arc;

use arc_swap::ArcSwap;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::SlotRow;

/// What is known of one slot's row.
#[derive(Clone, Debug)]
struct KnownSlot {
    slot: SlotId,
    row: SlotRow,
}

/// Slot rows by slot, read without a lock.
///
/// A stale entry costs a detour: only the holder itself decides, and the
/// table alone says who it is.
#[derive(Debug, Default)]
pub(super) struct SlotDirectory {
    known: ArcSwap<Vec<Arc<KnownSlot>>>,
}

impl SlotDirectory {
    /// The slot's row as last known.
    pub(super) fn row(&self, slot: &SlotId) -> Option<SlotRow> {
        let known = self.known.load();
        let place = known.binary_search_by(|entry| entry.slot.cmp(slot)).ok()?;
        Some(known[place].row.clone())
    }

    /// The slot's holder as last known.
    pub(super) fn holder(&self, slot: &SlotId) -> Option<InstanceIncarnation> {
        self.row(slot).map(|row| row.holder)
    }

    /// Takes a row, unless a newer one is known.
    pub(super) fn learn(&self, slot: &SlotId, row: &SlotRow) {
        if self.row(slot).is_some_and(|known| known.epoch >= row.epoch) {
            return;
        }
        self.known.rcu(|known| {
            let mut known = Vec::clone(known);
            let entry = Arc::new(KnownSlot {
                slot: slot.clone(),
                row: row.clone(),
            });
            match known.binary_search_by(|other| other.slot.cmp(slot)) {
                Ok(place) if known[place].row.epoch < row.epoch => known[place] = entry,
                Ok(_) => {}
                Err(place) => known.insert(place, entry),
            }
            known
        });
    }
}
