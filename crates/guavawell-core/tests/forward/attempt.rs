//! What follows an attempt, and what the status of a refusal promises.

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
fn a_request_that_may_run_once_is_retried_only_if_it_did_not_run() {
    for end in ENDS {
        let did_not_run = matches!(end, AttemptEnd::NotSent | AttemptEnd::Rejected);
        let is_retried = next_step(RetrySafety::Once, end, true) == NextStep::Retry;
        assert_eq!(is_retried, did_not_run, "{end:?}");
    }
}

#[test]
fn other_requests_are_retried_while_limits_allow() {
    for retry_safety in [RetrySafety::Idempotent, RetrySafety::Resumable] {
        for end in ENDS {
            assert_eq!(next_step(retry_safety, end, true), NextStep::Retry);
            assert_ne!(next_step(retry_safety, end, false), NextStep::Retry);
        }
    }
}

#[test]
fn an_error_response_of_a_server_is_relayed() {
    let step = next_step(RetrySafety::Once, AttemptEnd::Failed, false);
    assert_eq!(step, NextStep::Relay);
}

#[test]
fn no_status_claims_that_a_request_did_not_run_that_may_have_run() {
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
