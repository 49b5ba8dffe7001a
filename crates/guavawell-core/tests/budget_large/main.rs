//! Slots with more budgets than one tick looks at: nothing is forgotten.

#[allow(dead_code)] // the benchmark uses the rest of it
mod rig;

use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::HolderSettings;
use guavawell_core::clock::ClockSpan;
use guavawell_core::platform::PlatformRate;

use rig::SlotRig;
use rig::reserve_ask;

/// Many times what one tick looks at.
const BUDGETS: usize = 1_000;
/// Ticks in which every budget's turn has come.
const TURNS: usize = 10 * BUDGETS;
const TICK: ClockSpan = ClockSpan::from_millis(25);

fn settings() -> HolderSettings {
    HolderSettings {
        report_after: ClockSpan::from_millis(60_000),
        ..HolderSettings::default()
    }
}

#[test]
fn every_charge_is_reported_in_its_turn() {
    let mut rig = SlotRig::new(BUDGETS, settings());
    for number in 0..BUDGETS {
        rig.request(number as u64, number);
    }
    assert_eq!(rig.settled_rows(), 0);
    rig.now = rig.now + ClockSpan::from_millis(60_000);
    for _ in 0..TURNS {
        rig.tick(TICK);
    }
    assert_eq!(rig.settled_rows(), BUDGETS);
}

#[test]
fn reports_keep_to_their_pace_and_none_is_forgotten() {
    let mut rig = SlotRig::new(BUDGETS, settings());
    rig.holder
        .pace_reports(Some(PlatformRate::per_second(2)), rig.now);
    for number in 0..BUDGETS {
        rig.request(number as u64, number);
    }
    rig.now = rig.now + ClockSpan::from_millis(60_000);
    let ticks_a_second = 40;
    for second in 1..=BUDGETS {
        for _ in 0..ticks_a_second {
            rig.tick(TICK);
        }
        let reported = rig.settled_rows();
        // Some may have been saved up.
        assert!(reported <= 2 * second + 4, "{reported} after {second} s");
    }
    assert_eq!(rig.settled_rows(), BUDGETS);
    // What is asked for is not held back.
    rig.holder.pace_reports(Some(PlatformRate::ZERO), rig.now);
    rig.request(u64::MAX, 0);
}

#[test]
fn a_new_holder_closes_every_former_grant() {
    let mut rig = SlotRig::new(BUDGETS, settings());
    rig.open_all();
    rig.add_witness();
    rig.tick(TICK);
    rig.take_over(settings());
    for _ in 0..TURNS {
        rig.tick(TICK);
    }
    assert_eq!(rig.open_former(), 0);
}

#[test]
fn a_takeover_does_not_flood_the_table() {
    let mut rig = SlotRig::new(BUDGETS, settings());
    rig.open_all();
    rig.add_witness();
    rig.tick(TICK);
    rig.take_over(settings());
    let before = rig.counts.changes;
    for _ in 0..40 {
        rig.tick(TICK);
    }
    rig.add_witness_again();
    assert!(rig.counts.changes - before <= 10, "{:?}", rig.counts);
    // A budget that is asked for does not wait for its turn.
    rig.request(u64::MAX, BUDGETS - 1);
}

#[test]
fn a_waiting_reservation_is_answered_whatever_its_turn() {
    let mut rig = SlotRig::new(BUDGETS, settings());
    rig.open_all();
    rig.is_table_up = false;
    let last = BUDGETS - 1;
    rig.answers = 0;
    let ask = rig.next_ask();
    let mut reserve = reserve_ask(u64::MAX, last);
    reserve.amount = rig.more_than_open(last);
    rig.tell(HolderEvent::Reserve(ask, reserve));
    assert_eq!(rig.answers, 0);
    let waited = settings().queue_wait.as_millis() / TICK.as_millis();
    for _ in 0..=waited {
        rig.tick(TICK);
    }
    assert_eq!(rig.answers, 1);
}
