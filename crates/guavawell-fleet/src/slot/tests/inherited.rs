//! A reservation that was granted in a former tenure, and whose attempt runs,
//! is asked for once more: a copy of the ask was late, or its first answer was
//! slow and another router's came first.
//!
//! The present holder reserves the inherited attempt anew. Where its witness
//! is silent it then gives the reservation up, as one that nobody runs: it
//! moves to the float, or is released. The charge names the former tenure's
//! grant from the witnessed part, so that it takes nothing from the float, or
//! finds no reservation. Either answer is final.

use guavawell_core::budget::HolderSettings;
use guavawell_core::id::TokenCount;

use super::rig::SeatPair;
use super::rig::charged;

/// An attempt of the first router's tenure runs while the second router holds
/// the slot and finds its witness silent; `is_asked` again for it meanwhile or
/// not. Then the routers reach each other again, and the attempt is charged.
fn charge_while_the_witness_is_silent(settings: &HolderSettings, is_asked: bool) {
    let mut pair = SeatPair::start(settings);
    let grant = pair.reserve(0, 1);
    pair.take_over(1);
    pair.learn_row(0);
    pair.tick(0);
    pair.entrust(1);
    pair.run(1, 2, 7);
    pair.part(1);
    if is_asked {
        pair.try_reserve(1, 1);
    }
    pair.pass_report(1);
    pair.is_parted = false;
    pair.pass_report(1);
    let answer = pair.settle_through(1, &grant, 60);
    pair.quiesce();
    assert_eq!(pair.frozen(), TokenCount::ZERO, "{:?}", pair.budget);
    assert_eq!(pair.budget.settled, TokenCount::new(67), "{answer:?}");
    assert_eq!(answer, Some(charged(60)));
}

/// Settings without a float.
fn no_float() -> HolderSettings {
    HolderSettings {
        float_percent: 0,
        ..HolderSettings::default()
    }
}

#[test]
fn an_attempt_that_runs_is_charged_where_nobody_asks_again() {
    charge_while_the_witness_is_silent(&HolderSettings::default(), false);
    charge_while_the_witness_is_silent(&no_float(), false);
}

#[test]
fn an_attempt_that_runs_is_not_moved_to_the_float_for_a_late_ask() {
    charge_while_the_witness_is_silent(&HolderSettings::default(), true);
}

#[test]
fn an_attempt_that_runs_is_not_released_for_a_late_ask() {
    charge_while_the_witness_is_silent(&no_float(), true);
}

/// The first router granted the attempt, and its answer was lost. The second
/// one takes the slot over and names a witness that does not answer. The router
/// that asks has no answer of the second one either, asks the first one again,
/// which has not heard of the takeover and repeats its grant. Its ask waits at
/// the second one meanwhile, and is given up.
fn charge_of_a_repeated_grant(settings: &HolderSettings) {
    let mut pair = SeatPair::start(settings);
    let lost = pair.reserve(0, 1);
    pair.take_over(1);
    pair.is_parted = true;
    pair.name_witness(1);
    assert!(pair.try_reserve(1, 1).is_none(), "it waits for the witness");
    let grant = pair.reserve(0, 1);
    assert_eq!(grant, lost);
    pair.pass_report(1);
    pair.is_parted = false;
    pair.pass_report(1);
    pair.learn_row(0);
    let answer = pair.settle_through(1, &grant, 60);
    pair.quiesce();
    assert_eq!(pair.frozen(), TokenCount::ZERO, "{:?}", pair.budget);
    assert_eq!(pair.budget.settled, TokenCount::new(60), "{answer:?}");
    assert_eq!(answer, Some(charged(60)));
}

#[test]
fn an_attempt_that_a_former_holder_granted_again_is_charged() {
    charge_of_a_repeated_grant(&HolderSettings::default());
}

#[test]
fn an_attempt_that_a_former_holder_granted_again_is_charged_without_floats() {
    charge_of_a_repeated_grant(&no_float());
}
