//! Tests of seats, who begins a tenure and how often, and of stopgap witnesses.

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
use super::stopgap::StopgapWatch;

mod former;
mod inherited;
mod leftover;
mod orphan;
mod orphan_zone;
mod regranted;
mod rig;
mod tenure;

const NOW: ClockTime = ClockTime::from_millis(1_000);

/// Time between two reviews, in milliseconds.
const REVIEW_MS: u64 = 200;

/// How long a preferred witness is offered before the first move.
const FIRST_WAIT: ClockSpan = ClockSpan::from_millis(3_000);

/// An hour of reviews.
const HOUR: u32 = 18_000;

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

/// Reviews at which the witness of a slot moves to the preferred zone. The zone
/// is reachable or not at each; a witness there answers for `reviews_good`, or
/// until the zone is out of reach, and a stopgap follows it.
fn moves(reviews: u32, reviews_good: u32, is_reachable: impl Fn(u32) -> bool) -> Vec<u32> {
    let slot: SlotId = "tln-a/0".parse().expect("a good slot");
    let mut watch = StopgapWatch::new(FIRST_WAIT);
    let mut good_until = None;
    let is_moved = |review: &u32| {
        let now = NOW + ClockSpan::from_millis(REVIEW_MS * u64::from(*review));
        let is_reachable = is_reachable(*review);
        good_until = good_until.filter(|until| is_reachable && review < until);
        if !is_reachable || good_until.is_some() {
            watch.pass(&slot, now);
            return false;
        }
        let is_moved = watch.offer(&slot, now);
        good_until = is_moved.then_some(review + reviews_good);
        is_moved
    };
    (0..reviews).filter(is_moved).collect()
}

#[test]
fn a_stopgap_witness_is_left_once_a_preferred_one_was_reachable_for_the_wait() {
    assert_eq!(moves(HOUR, HOUR, |_| true), [15], "after 3 s, and once");
}

#[test]
fn a_zone_that_is_back_for_less_than_the_wait_moves_no_witness() {
    // 2.8 s reachable, then one review without.
    let moves = moves(HOUR, HOUR, |review| review % 15 != 14);
    assert!(moves.is_empty(), "{moves:?}");
}

#[test]
fn a_zone_that_comes_and_goes_moves_a_witness_three_times() {
    // 20 s reachable, 20 s not: waits of 3, 6 and 12 s fit, 24 s do not.
    let moves = moves(HOUR, HOUR, |review| review / 100 % 2 == 0);
    assert_eq!(moves, [15, 230, 460]);
}

#[test]
fn a_preferred_witness_that_never_answers_is_named_once_a_minute_at_most() {
    // Gossip reaches its zone throughout.
    let moves = moves(HOUR, 2, |_| true);
    let waits: Vec<u32> = moves.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(waits.is_sorted(), "{waits:?}");
    assert!(waits[4..].iter().all(|wait| *wait >= 300), "{waits:?}");
}

#[test]
fn a_zone_that_stayed_for_two_minutes_is_believed_as_at_first() {
    // Out of reach for a second, two and a half minutes after the move.
    let moves = moves(800, HOUR, |review| !(765..770).contains(&review));
    assert_eq!(moves, [15, 785]);
}
