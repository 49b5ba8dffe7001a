//! What follows an attempt, and what an answer may promise.

use guavawell_core::forward::AttemptEnd;
use guavawell_core::forward::ForwardRefusal;
use guavawell_core::forward::NextStep;
use guavawell_core::forward::RetrySafety;
use guavawell_core::forward::next_step;

const ENDS: [AttemptEnd; 5] = [
    AttemptEnd::NotSent,
    AttemptEnd::Rejected,
    AttemptEnd::Failed,
    AttemptEnd::Lost,
    AttemptEnd::Silent,
];

#[test]
fn a_request_that_may_run_once_goes_on_only_after_proof() {
    for end in ENDS {
        let proof = matches!(end, AttemptEnd::NotSent | AttemptEnd::Rejected);
        let again = next_step(RetrySafety::Once, end, true) == NextStep::Retry;
        assert_eq!(again, proof, "{end:?}");
    }
}

#[test]
fn others_go_on_while_there_is_room() {
    for repeat in [RetrySafety::Idempotent, RetrySafety::Resumable] {
        for end in ENDS {
            assert_eq!(next_step(repeat, end, true), NextStep::Retry);
            assert_ne!(next_step(repeat, end, false), NextStep::Retry);
        }
    }
}

#[test]
fn a_servers_own_failure_is_handed_on() {
    let step = next_step(RetrySafety::Once, AttemptEnd::Failed, false);
    assert_eq!(step, NextStep::Relay);
}

#[test]
fn no_status_denies_a_run_that_may_have_been() {
    let refusals = [
        ForwardRefusal::NoServer,
        ForwardRefusal::ServersFull,
        ForwardRefusal::TooLate,
        ForwardRefusal::Leaving,
        ForwardRefusal::AnswerLost,
        ForwardRefusal::TimedOut,
    ];
    for refusal in refusals {
        let status = refusal.status(true);
        assert!(
            ![408, 421, 429, 503].contains(&status),
            "{refusal} says {status}"
        );
    }
    assert_eq!(ForwardRefusal::NoServer.status(false), 503);
}
