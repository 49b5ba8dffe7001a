//! What requests are charged that end without their complete response.

use guavawell_core::forward::AttemptEnd;
use guavawell_core::forward::RequestCharge;
use guavawell_core::forward::RequestOutcome;

fn charge(may_have_run: bool, ends: &[AttemptEnd], delivered: u64) -> RequestCharge {
    let mut outcome = RequestOutcome {
        may_have_run,
        delivered,
        ..RequestOutcome::default()
    };
    for end in ends {
        outcome.note(*end);
    }
    outcome.charge()
}

/// Guards against budgets that run out early: when a server crashed, the
/// prompts of all requests that it ran were charged, although their callers
/// received nothing and sent them again.
#[test]
fn a_request_that_servers_broke_off_before_its_first_event_is_free() {
    use AttemptEnd::Failed;
    use AttemptEnd::Lost;
    use AttemptEnd::NotSent;
    use AttemptEnd::Rejected;
    for ends in [
        &[Lost][..],
        &[Failed],
        &[Lost, Lost],
        &[Lost, NotSent],
        &[Rejected, Lost],
        &[Failed, Rejected],
    ] {
        assert_eq!(charge(true, ends, 0), RequestCharge::Nothing, "{ends:?}");
    }
}

#[test]
fn delivered_events_are_charged_with_the_prompt() {
    for ends in [&[AttemptEnd::Lost][..], &[AttemptEnd::Silent]] {
        assert_eq!(charge(true, ends, 1), RequestCharge::Consumed, "{ends:?}");
    }
}

/// A server that sent nothing until the timeout may have worked for all of that
/// time. If its prompt were free, callers would profit from short timeouts.
#[test]
fn a_request_that_timed_out_at_a_server_is_charged() {
    for ends in [
        &[AttemptEnd::Silent][..],
        &[AttemptEnd::Silent, AttemptEnd::Lost],
        &[AttemptEnd::Lost, AttemptEnd::Silent],
    ] {
        assert_eq!(charge(true, ends, 0), RequestCharge::Consumed, "{ends:?}");
    }
}

#[test]
fn a_request_that_did_not_run_is_free() {
    for end in [
        AttemptEnd::NotSent,
        AttemptEnd::Rejected,
        AttemptEnd::Silent,
    ] {
        assert_eq!(charge(false, &[end], 0), RequestCharge::Nothing, "{end:?}");
    }
}
