//! Which slots this router takes, and how: first, by takeover, or after a loss.
//!
//! Gossip decides only when something is tried. The table decides whether it
//! succeeds: every change of a slot's row compares the whole former row.

use std::sync::Arc;

use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::SlotLedger;
use guavawell_core::budget::SlotRow;
use guavawell_core::budget::TakeoverRequest;
use guavawell_core::budget::WitnessEvent;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::ShardId;
use guavawell_core::instance::MemberView;
use guavawell_core::instance::Reachability;

use super::driver::SlotDriver;
use super::seat::SlotSeat;
use super::table::slot_key;
use crate::clock;
use crate::peer::PeerRequest;

/// Since when slots had nobody to answer for them, sorted by slot.
#[derive(Debug, Default)]
pub(super) struct LossWatch(Vec<LostSlot>);

#[derive(Debug)]
struct LostSlot {
    slot: SlotId,
    since: ClockTime,
}

impl LossWatch {
    /// Since when the slot is lost, noted now if it is new.
    fn since(&mut self, slot: &SlotId, now: ClockTime) -> ClockTime {
        match self.0.binary_search_by(|lost| lost.slot.cmp(slot)) {
            Ok(place) => self.0[place].since,
            Err(place) => {
                let lost = LostSlot {
                    slot: slot.clone(),
                    since: now,
                };
                self.0.insert(place, lost);
                now
            }
        }
    }

    fn clear(&mut self, slot: &SlotId) {
        if let Ok(place) = self.0.binary_search_by(|lost| lost.slot.cmp(slot)) {
            self.0.remove(place);
        }
    }
}

impl SlotDriver {
    /// Reads the zone's slot rows and tries to take those that this router
    /// should hold; the number of rows read.
    pub(super) async fn acquire(self: &Arc<Self>, watch: &mut LossWatch) -> usize {
        let zone = self.parts.zone.as_str();
        let Ok(rows) = self.parts.table.read_zone(zone).await else {
            return 0;
        };
        for known in &rows {
            let slot = self.slot(known.shard);
            self.directory.learn(&slot, &known.row);
        }
        let members = (self.parts.members)();
        for shard in 0..(self.parts.shards)() {
            let slot = self.slot(ShardId::new(shard));
            if self.is_mine(&members, &slot) {
                let row = rows.iter().find(|known| known.shard.get() == shard);
                let row = row.map(|known| &known.row);
                self.acquire_slot(&slot, row, &members, watch).await;
            }
        }
        rows.len()
    }

    fn slot(&self, shard: ShardId) -> SlotId {
        SlotId {
            zone: self.parts.zone.clone(),
            shard,
        }
    }

    /// Whether hashing picks this router for a slot of its zone.
    fn is_mine(&self, members: &MemberView, slot: &SlotId) -> bool {
        members
            .owner_in(&slot.zone, slot_key(slot).as_bytes())
            .is_some_and(|owner| owner.instance == self.parts.life.instance)
    }

    async fn acquire_slot(
        self: &Arc<Self>,
        slot: &SlotId,
        row: Option<&SlotRow>,
        members: &MemberView,
        watch: &mut LossWatch,
    ) {
        let Some(row) = row else {
            return self.take_first(slot).await;
        };
        if row.holder == self.parts.life {
            let seat = self.seat_or_new(slot);
            if !seat.is_held() {
                self.begin_found(&seat, row);
            }
            watch.clear(slot);
            return;
        }
        if is_alive(members, &row.holder) {
            // Its holder hands it over by itself once it sees the owner.
            watch.clear(slot);
            return;
        }
        let now = clock::now();
        let lost = now.since(watch.since(slot, now));
        let witness = row.witness.as_ref();
        if let Some(witness) = witness.filter(|life| is_alive(members, life)) {
            if lost >= self.parts.times.takeover_after {
                self.ask_takeover(slot, row, witness).await;
            }
            return;
        }
        if lost >= self.parts.times.seize_after {
            self.seize(slot, row).await;
            watch.clear(slot);
        }
    }

    /// Takes a slot that nobody has held yet.
    async fn take_first(self: &Arc<Self>, slot: &SlotId) {
        let first = SlotRow::first(self.parts.life.clone());
        let Ok(row) = self.parts.table.write_slot(slot, None, &first).await else {
            return;
        };
        self.directory.learn(slot, &row);
        if row.holder == self.parts.life {
            let seat = self.seat_or_new(slot);
            if !seat.is_held() {
                self.begin_found(&seat, &row);
            }
        }
    }

    /// Begins a tenure that the table gave to this life.
    ///
    /// A first tenure starts empty; any other one after a loss, unless the
    /// witness's own takeover begins it with its ledger.
    fn begin_found(self: &Arc<Self>, seat: &Arc<SlotSeat>, row: &SlotRow) {
        if !seat.lock().claim_found(row) {
            return;
        }
        let ledger = if row.tenure == SlotRow::first(self.parts.life.clone()).tenure {
            SlotLedger::new(row.tenure)
        } else {
            SlotLedger::after_loss(row.tenure)
        };
        self.begin(seat, row.clone(), ledger);
    }

    async fn ask_takeover(&self, slot: &SlotId, row: &SlotRow, witness: &InstanceIncarnation) {
        let ask = TakeoverRequest {
            slot: slot.clone(),
            row: row.clone(),
        };
        let answer = (self.parts.link.call)(witness.instance.clone(), PeerRequest::Takeover(ask));
        if let Err(failure) = answer.await {
            log::debug!("slot {slot}: takeover not asked: {failure}");
        }
    }

    /// Takes a slot whose holder and witness are both gone.
    ///
    /// Everything granted to the former tenure freezes, so that nothing can
    /// be spent twice, even if the former holder only seems to be gone.
    async fn seize(self: &Arc<Self>, slot: &SlotId, row: &SlotRow) {
        let next = row.with_holder(self.parts.life.clone());
        let written = self.parts.table.write_slot(slot, Some(row), &next).await;
        let Ok(written) = written else {
            return;
        };
        self.directory.learn(slot, &written);
        if written == next {
            metrics::counter!("guavawell_slots_seized_total").increment(1);
            log::warn!("slot {slot}: begun anew, holder and witness are gone");
            let seat = self.seat_or_new(slot);
            self.begin_found(&seat, &written);
        }
    }

    /// Lets this router's witness take a slot over, by the row read just now.
    pub(super) async fn take_over(self: &Arc<Self>, slot: &SlotId) {
        let Some(seat) = self.seat(slot) else {
            return;
        };
        if let Ok(Some(row)) = self.parts.table.read_slot(slot).await {
            self.directory.learn(slot, &row);
            self.tell_witness(&seat, WitnessEvent::TakeOver(row));
        }
    }
}

/// Whether gossip knows this very life as reachable; leaving ones included,
/// because they hand their slots over themselves.
pub(super) fn is_alive(members: &MemberView, life: &InstanceIncarnation) -> bool {
    members.find(&life.instance).is_some_and(|member| {
        member.incarnation == life.incarnation && member.reachability != Reachability::Unreachable
    })
}
