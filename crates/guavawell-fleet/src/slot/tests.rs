//! Seats step by step.

use guavawell_core::budget::InstanceLife;
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
use guavawell_core::id::ShardId;

use super::seat::SlotSeat;

const NOW: ClockTime = ClockTime::from_millis(1);

fn life(name: &str) -> InstanceLife {
    InstanceLife {
        instance: name.parse().unwrap(),
        incarnation: IncarnationId::new(1),
    }
}

/// The seat of a witness that holds the ledger of the row's epoch.
fn witness_seat(row: &SlotRow) -> SlotSeat {
    let slot = SlotId {
        zone: "z".parse().unwrap(),
        shard: ShardId::new(0),
    };
    let witness = SlotWitness::new(life("b"), slot.clone(), ClockSpan::from_millis(500));
    let seat = SlotSeat::new(slot.clone(), witness);
    let stamp = RecordStamp {
        slot,
        epoch: row.epoch,
        holder: row.holder.clone(),
        witness: life("b"),
    };
    let handover = LedgerHandover {
        stamp,
        handover: 1,
        ledger: SlotLedger::new(row.tenure),
    };
    seat.lock().witness(WitnessEvent::Handover(handover), NOW);
    seat
}

#[test]
fn a_tenure_that_a_takeover_begins_is_not_found_and_begun_again() {
    let row = SlotRow::first(life("a")).with_witness(Some(life("b")));
    let taken = row.with_holder(life("b"));
    let seat = witness_seat(&row);
    let mut state = seat.lock();
    state.witness(WitnessEvent::TakeOver(row), NOW);
    assert!(!state.claim_tenure(&taken), "the takeover decides");
    let effects = state.witness(WitnessEvent::SlotRead(taken.clone()), NOW);
    assert!(matches!(&effects[..], [WitnessEffect::Begin(..)]));
    assert!(
        !state.claim_tenure(&taken),
        "the witness's ledger begins it"
    );
}

#[test]
fn a_tenure_found_in_the_table_is_begun_once() {
    let row = SlotRow::first(life("b"));
    let seat = witness_seat(&row);
    assert!(seat.lock().claim_tenure(&row));
    assert!(!seat.lock().claim_tenure(&row));
}
