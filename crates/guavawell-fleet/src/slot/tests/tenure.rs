//! One router holds a slot, loses it and holds it again: what was sent in the
//! former tenure is answered in the present one.
//!
//! Changes are numbered from one in each tenure. A late outcome that passed for
//! that of the present change would make the holder drop the former tenures'
//! use as settled, or take its own use for reported.

use guavawell_core::budget::HolderSettings;
use guavawell_core::budget::ReserveAnswer;
use guavawell_core::id::TokenCount;

use super::rig::LateAnswer;
use super::rig::SeatPair;

/// Tries to reserve a request whose grant is not read yet.
const MAX_TRIES: usize = 10;

/// Settings without a float, so that nothing can freeze.
fn settings() -> HolderSettings {
    HolderSettings {
        float_percent: 0,
        ..HolderSettings::default()
    }
}

/// The first router's first change is performed, and its answer is under way
/// while the second router takes the slot over, charges 60 tokens and hands the
/// slot back in good order. Then the first router's first change of its new
/// tenure, which carries these 60 tokens, waits at the table.
fn first_changes_of_two_tenures(settings: &HolderSettings) -> (SeatPair, LateAnswer) {
    let mut pair = SeatPair::start(settings);
    pair.is_holding = true;
    assert!(pair.try_reserve(0, 1).is_none(), "it waits for the table");
    let late = pair.perform();
    pair.is_holding = false;
    pair.take_over(1);
    pair.learn_row(0);
    pair.entrust(1);
    pair.run(1, 1, 60);
    pair.hand_over(1);
    pair.is_holding = true;
    pair.tick(0);
    assert_eq!(pair.held.len(), 1, "the change that closes the tenures");
    (pair, late)
}

/// Runs a request at the first router, whose changes wait at the table; those
/// that it needs are performed and answered, the newest first.
fn run_when_granted(pair: &mut SeatPair, request: u32, actual: u64) {
    for _ in 0..MAX_TRIES {
        if let Some(ReserveAnswer::Granted(_)) = pair.try_reserve(0, request) {
            return pair.run(0, request, actual);
        }
        if pair.held.is_empty() {
            pair.pass_report(0);
        } else {
            let answer = pair.perform();
            pair.arrive(answer);
        }
    }
    panic!("request {request} is never granted");
}

fn assert_settled(pair: &mut SeatPair, tokens: u64) {
    pair.quiesce();
    assert_eq!(pair.frozen(), TokenCount::ZERO);
    assert_eq!(pair.budget.settled, TokenCount::new(tokens));
}

#[test]
fn a_late_answer_after_the_present_one_settles_everything() {
    let (mut pair, late) = first_changes_of_two_tenures(&settings());
    let answer = pair.perform();
    pair.arrive(answer);
    pair.arrive(late);
    pair.run(0, 2, 7);
    assert_settled(&mut pair, 67);
}

#[test]
fn a_change_that_is_lost_alone_is_sent_again() {
    let (mut pair, _late) = first_changes_of_two_tenures(&settings());
    let lost = pair.lose();
    pair.arrive(lost);
    assert_settled(&mut pair, 60);
}

#[test]
fn a_late_answer_of_a_former_tenure_closes_no_tenure() {
    let (mut pair, late) = first_changes_of_two_tenures(&settings());
    pair.arrive(late);
    let lost = pair.lose();
    pair.arrive(lost);
    run_when_granted(&mut pair, 2, 7);
    assert_settled(&mut pair, 67);
}

#[test]
fn a_late_answer_of_a_former_tenure_closes_no_tenure_with_floats() {
    let (mut pair, late) = first_changes_of_two_tenures(&HolderSettings::default());
    pair.arrive(late);
    let lost = pair.lose();
    pair.arrive(lost);
    run_when_granted(&mut pair, 2, 7);
    assert_settled(&mut pair, 67);
}

#[test]
fn a_change_is_not_overtaken_by_the_next_one_for_a_late_answer() {
    let (mut pair, late) = first_changes_of_two_tenures(&settings());
    pair.arrive(late);
    run_when_granted(&mut pair, 2, 7);
    pair.pass_report(0);
    while !pair.held.is_empty() {
        let answer = pair.perform();
        pair.arrive(answer);
    }
    assert_settled(&mut pair, 67);
}

#[test]
fn a_late_answer_of_a_former_tenure_reports_nothing_of_the_present_one() {
    let mut pair = SeatPair::start(&settings());
    pair.run(0, 1, 60);
    pair.is_holding = true;
    pair.pass_report(0);
    let late = pair.perform();
    pair.is_holding = false;
    pair.take_over(1);
    pair.learn_row(0);
    pair.entrust(1);
    pair.hand_over(1);
    pair.tick(0);
    pair.entrust(0);
    pair.run(0, 2, 50);
    pair.is_holding = true;
    pair.pass_report(0);
    assert_eq!(pair.held.len(), 1, "the report of 50 tokens");
    pair.arrive(late);
    let lost = pair.lose();
    pair.arrive(lost);
    assert_settled(&mut pair, 110);
}

/// Within one tenure: a change is sent twice, and one of its two answers comes
/// after tokens were handed back, while a refill that carries nothing waits.
#[test]
fn a_late_answer_returns_no_tokens_that_were_handed_back() {
    let mut pair = SeatPair::start(&settings());
    pair.run(0, 1, 60);
    pair.is_holding = true;
    pair.pass_report(0);
    pair.pass_report(0);
    pair.pass_report(0);
    assert_eq!(pair.held.len(), 2, "the report is sent again");
    let late = pair.perform();
    let answer = pair.perform();
    pair.arrive(answer);
    pair.is_holding = false;
    let open = pair.open();
    let given = pair.hand_back(0, open.get() * 9 / 10);
    assert_eq!(pair.open(), open.saturating_sub(given));
    pair.is_holding = true;
    let mut requests = 2..1_000;
    while pair.held.is_empty() {
        pair.reserve(0, requests.next().unwrap());
    }
    pair.arrive(late);
    assert!(
        pair.free(0) <= pair.open(),
        "{} free, {} open",
        pair.free(0),
        pair.open()
    );
}
