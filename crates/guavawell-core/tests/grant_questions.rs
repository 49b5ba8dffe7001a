//! Several requests share one question for a loan: when its end holds for the others.

use guavawell_core::clock::ClockSpan;
use guavawell_core::grant::QuestionEnd;
use guavawell_core::grant::QuestionTerms;
use guavawell_core::grant::WaitingTokens;

const fn terms(tokens: u64, millis: u64) -> QuestionTerms {
    QuestionTerms {
        tokens,
        limit: ClockSpan::from_millis(millis),
    }
}

#[test]
fn after_the_asker_left_the_next_one_asks() {
    let same = terms(2_000, 400);
    assert!(!QuestionEnd::Left.holds_for(same, same, true));
    assert!(!QuestionEnd::Left.holds_for(same, same, false));
}

#[test]
fn a_refusal_holds_for_as_many_tokens_or_more() {
    let asked = terms(2_000, 400);
    for (tokens, holds) in [(1_999, false), (2_000, true), (12_000, true)] {
        let end = QuestionEnd::Declined;
        assert_eq!(end.holds_for(asked, terms(tokens, 400), true), holds);
    }
}

#[test]
fn silence_holds_for_those_that_wait_no_longer_than_the_asker() {
    // An asker with 30 ms left learns nothing for one with 400 ms.
    let end = QuestionEnd::Unreachable;
    assert!(!end.holds_for(terms(2_000, 30), terms(2_000, 400), true));
    assert!(end.holds_for(terms(2_000, 400), terms(2_000, 400), true));
    assert!(end.holds_for(terms(2_000, 400), terms(2_000, 30), true));
}

#[test]
fn who_got_too_little_of_a_loan_asks_again() {
    let same = terms(2_000, 400);
    assert!(QuestionEnd::Lent.holds_for(same, same, false));
    assert!(!QuestionEnd::Lent.holds_for(same, same, true));
}

#[test]
fn a_request_counts_only_while_it_waits() {
    let waiting = WaitingTokens::default();
    let first = waiting.join(2_000);
    let second = waiting.join(12_000);
    assert_eq!(waiting.get(), 14_000);
    drop(first);
    assert_eq!(waiting.get(), 12_000);
    drop(second);
    assert_eq!(waiting.get(), 0);
}
