//! Former holders of a seat that holds its slot again.
//!
//! A holder may not have heard of its takeover before its router holds the slot
//! again, and several may wait for floats at once. Each reports its float, the
//! present one records what the witnessed part pays, and no charge goes round
//! between them.

use guavawell_core::budget::HolderSettings;
use guavawell_core::budget::ReserveGrant;
use guavawell_core::budget::SettleAnswer;
use guavawell_core::budget::TokenPool;
use guavawell_core::id::TokenCount;

use super::rig::SeatPair;
use super::rig::charged;

/// Settings without a float, so that nothing can freeze.
fn no_float() -> HolderSettings {
    HolderSettings {
        float_percent: 0,
        ..HolderSettings::default()
    }
}

/// The second router takes the slot over and hands it back in good order.
fn lose_and_regain(pair: &mut SeatPair) {
    pair.take_over(1);
    pair.entrust(1);
    pair.hand_over(1);
    pair.tick(0);
}

/// A reservation from the float, which the first router grants while its
/// witness is out of reach.
fn reserve_float(pair: &mut SeatPair, request: u32) -> ReserveGrant {
    pair.run(0, 1, 10);
    pair.part(0);
    let grant = pair.reserve(0, request);
    pair.is_parted = false;
    assert_eq!(grant.pool, TokenPool::Float);
    grant
}

fn assert_settled(pair: &mut SeatPair, tokens: u64) {
    pair.quiesce();
    assert_eq!(pair.budget.settled, TokenCount::new(tokens));
    assert_eq!(pair.frozen(), TokenCount::ZERO);
}

#[test]
fn a_holder_that_missed_its_takeover_charges_nothing_when_it_holds_the_slot_again() {
    let mut pair = SeatPair::start(&no_float());
    let grant = pair.reserve(0, 1);
    lose_and_regain(&mut pair);
    let answer = pair.settle_through(1, &grant, 60);
    assert_settled(&mut pair, 60);
    assert_eq!(answer, Some(charged(60)));
}

#[test]
fn a_holder_that_missed_its_takeover_reports_its_float_when_it_holds_the_slot_again() {
    let mut pair = SeatPair::start(&HolderSettings::default());
    pair.run(0, 1, 60);
    lose_and_regain(&mut pair);
    assert_settled(&mut pair, 60);
}

#[test]
fn a_holder_that_learned_of_its_takeover_charges_and_reports_everything() {
    for settings in [no_float(), HolderSettings::default()] {
        let mut pair = SeatPair::start(&settings);
        let grant = pair.reserve(0, 1);
        pair.take_over(1);
        pair.learn_row(0);
        pair.entrust(1);
        pair.hand_over(1);
        pair.tick(0);
        let answer = pair.settle_through(1, &grant, 60);
        assert_settled(&mut pair, 60);
        assert_eq!(answer, Some(charged(60)));
    }
}

/// The witness hears of a float's attempt before it takes the slot over, and
/// the router, which had no answer, asks it with the same attempt.
#[test]
fn an_attempt_of_a_former_float_is_charged_to_that_float() {
    let mut pair = SeatPair::start(&HolderSettings::default());
    reserve_float(&mut pair, 2);
    pair.pass_report(0);
    pair.take_over(1);
    pair.learn_row(0);
    let grant = pair.reserve(1, 2);
    let answer = pair.settle_through(2, &grant, 30);
    assert_eq!(answer, Some(charged(30)), "by {grant:?}");
    assert_settled(&mut pair, 10 + 30);
}

#[test]
fn a_charge_is_recorded_while_a_float_of_its_tenure_is_not_reported() {
    let mut pair = SeatPair::start(&HolderSettings::default());
    let grant = pair.reserve(0, 4);
    let float = reserve_float(&mut pair, 2);
    pair.take_over(1);
    pair.learn_row(0);
    pair.entrust(1);
    pair.hand_over(1);
    pair.tick(0);
    let answer = pair.settle_through(4, &grant, 60);
    assert_eq!(answer, Some(charged(60)), "the float's attempt runs on");
    assert_eq!(pair.settle_through(2, &float, 30), Some(charged(30)));
    assert_settled(&mut pair, 10 + 60 + 30);
}

#[test]
fn a_former_holder_is_not_done_by_the_report_of_another_one() {
    let mut pair = SeatPair::start(&HolderSettings::default());
    let float = reserve_float(&mut pair, 2);
    pair.take_over(1);
    pair.learn_row(0);
    pair.entrust(1);
    pair.hand_over(1);
    pair.tick(0);
    pair.entrust(0);
    pair.run(0, 3, 20);
    pair.take_over(1);
    pair.learn_row(0);
    for _ in 0..3 {
        pair.pass_report(1);
        pair.pass_report(0);
    }
    let answer = pair.settle_through(2, &float, 30);
    assert_eq!(answer, Some(charged(30)));
    assert_settled(&mut pair, 10 + 20 + 30);
}

/// The slot was begun anew, which froze the whole grant: its former holder
/// alone knows the attempt, and reports once that is charged.
#[test]
fn a_charge_to_a_grant_that_is_frozen_whole_is_reported() {
    let mut pair = SeatPair::start(&no_float());
    let grant = pair.reserve(0, 1);
    pair.seize(1);
    pair.learn_row(0);
    pair.run(1, 2, 20);
    pair.entrust(1);
    pair.hand_over(1);
    pair.tick(0);
    assert!(pair.frozen() > TokenCount::ZERO);
    let answer = pair.settle_through(1, &grant, 60);
    assert_eq!(answer, Some(SettleAnswer::Unknown), "kept by its router");
    assert_settled(&mut pair, 20 + 60);
}
