//! Tests of seats: who begins a tenure, and how often.

use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::LedgerHandover;
use guavawell_core::budget::RecordStamp;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::SlotLedger;
use guavawell_core::budget::SlotRow;
use guavawell_core::budget::SlotWitness;
use guavawell_core::budget::WitnessEffect;
use guavawell_core::budget::WitnessEvent;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::IncarnationId;

use super::seat::SlotSeat;

mod former;
mod inherited;
mod leftover;
mod orphan;
mod orphan_zone;
mod rig;
mod tenure;

const NOW: ClockTime = ClockTime::from_millis(1_000);

fn life(name: &str) -> InstanceIncarnation {
    InstanceIncarnation {
        instance: name.parse().expect("a good id"),
        incarnation: IncarnationId::new(1),
    }
}

/// A seat at `second`, which witnesses the slot for `first`, and the row.
fn witness_seat() -> (SlotSeat, SlotRow) {
    let slot: SlotId = "tln-a/0".parse().expect("a good slot");
    let row = SlotRow::first(life("first")).with_witness(Some(life("second")));
    let witness = SlotWitness::new(life("second"), slot.clone(), ClockSpan::from_millis(500));
    let seat = SlotSeat::new(slot.clone(), witness);
    let handover = LedgerHandover {
        stamp: RecordStamp {
            slot,
            epoch: row.epoch,
            holder: row.holder.clone(),
            witness: life("second"),
        },
        handover: 1,
        ledger: SlotLedger::new(row.tenure),
    };
    seat.lock().witness(WitnessEvent::Handover(handover), NOW);
    (seat, row)
}

fn begins(effects: &[WitnessEffect]) -> usize {
    let is_begin = |effect: &&WitnessEffect| matches!(effect, WitnessEffect::Begin(..));
    effects.iter().filter(is_begin).count()
}

#[test]
fn a_takeover_that_is_being_begun_is_not_begun_by_the_review_too() {
    let (seat, row) = witness_seat();
    let next = row.with_holder(life("second"));
    seat.lock().witness(WitnessEvent::TakeOver(row), NOW);
    assert!(!seat.lock().claim_found(&next), "its answer is on its way");
    let effects = seat
        .lock()
        .witness(WitnessEvent::SlotRead(next.clone()), NOW);
    assert_eq!(begins(&effects), 1);
    // The effect is carried out only after the lock was given back: a review
    // of the slot may read the row in between.
    assert!(!seat.lock().claim_found(&next));
}

#[test]
fn a_tenure_that_was_found_is_not_begun_by_the_witness_too() {
    let (seat, row) = witness_seat();
    let next = row.with_holder(life("second"));
    assert!(seat.lock().claim_found(&next));
    assert!(!seat.lock().claim_found(&next));
    seat.lock().witness(WitnessEvent::TakeOver(row), NOW);
    let effects = seat.lock().witness(WitnessEvent::SlotRead(next), NOW);
    assert_eq!(begins(&effects), 0);
}
