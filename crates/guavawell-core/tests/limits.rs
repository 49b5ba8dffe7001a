//! Admission control: deadlines, fairness, priorities and bounded queues.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::OrganisationId;
use guavawell_core::limits::Admission;
use guavawell_core::limits::AdmissionAnswer;
use guavawell_core::limits::AdmissionEffect;
use guavawell_core::limits::AdmissionRequest;
use guavawell_core::limits::AdmissionSettings;
use guavawell_core::limits::AdmissionTicket;
use guavawell_core::limits::FairWeight;
use guavawell_core::limits::RefusalCause;
use guavawell_core::limits::RequestPriority;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn organisation(name: &str) -> OrganisationId {
    name.parse().expect("organisation")
}

fn request(ticket: u64, organisation: &str) -> AdmissionRequest {
    AdmissionRequest {
        ticket: AdmissionTicket::new(ticket),
        organisation: organisation.parse().expect("organisation"),
        weight: FairWeight::default(),
        priority: RequestPriority::default(),
        cost: 100,
        deadline: None,
        first_token: ClockSpan::from_millis(100),
    }
}

fn admission(limit: u32, queue: usize) -> Admission {
    Admission::new(AdmissionSettings {
        limit,
        queue,
        max_wait: ClockSpan::from_millis(120_000),
        hold_guess: ClockSpan::from_millis(1_000),
    })
}

/// Submits a request and asserts that no other request is affected.
fn submit(admission: &mut Admission, request: AdmissionRequest, now: ClockTime) -> AdmissionAnswer {
    let mut effects = Vec::new();
    let answer = admission.submit(request, now, &mut effects);
    assert_eq!(effects, []);
    answer
}

/// Ends running requests one by one and returns the tickets that start instead.
fn drain(admission: &mut Admission, count: u64) -> Vec<u64> {
    let mut effects = Vec::new();
    (0..count).for_each(|step| admission.finish(&organisation("o"), at(10 * step), &mut effects));
    let ran = effects.iter().map(|effect| match effect {
        AdmissionEffect::Run(ticket) => ticket.to_string().parse().expect("number"),
        AdmissionEffect::Refuse(..) => panic!("nothing should be refused"),
    });
    ran.collect()
}

#[test]
fn a_deadline_that_cannot_be_met_is_refused_at_once_with_a_hint() {
    let mut admission = admission(1, 10);
    assert_eq!(
        submit(&mut admission, request(0, "o"), at(0)),
        AdmissionAnswer::Run
    );
    let mut late = request(1, "o");
    late.deadline = Some(at(600));
    let AdmissionAnswer::Refused(refusal) = submit(&mut admission, late, at(0)) else {
        panic!("must be refused");
    };
    assert_eq!(refusal.cause, RefusalCause::Deadline);
    // 1,000 ms until the running request ends and 100 ms to the first token, less
    // the deadline of 600 ms.
    assert_eq!(refusal.retry_after, ClockSpan::from_millis(500));
    let mut patient = request(2, "o");
    patient.deadline = Some(at(1_100));
    assert_eq!(
        submit(&mut admission, patient, at(0)),
        AdmissionAnswer::Queued
    );
}

#[test]
fn a_waiting_request_is_refused_once_it_cannot_meet_its_deadline() {
    let mut admission = admission(1, 10);
    submit(&mut admission, request(0, "o"), at(0));
    let mut waiting = request(1, "o");
    waiting.deadline = Some(at(2_000));
    assert_eq!(
        submit(&mut admission, waiting, at(0)),
        AdmissionAnswer::Queued
    );
    let wake = admission.next_wake().expect("a deadline waits");
    assert_eq!(wake, at(1_901), "100 ms before the deadline, not at it");
    let mut effects = Vec::new();
    admission.tick(at(1_900), &mut effects);
    assert_eq!(effects, []);
    admission.tick(wake, &mut effects);
    assert!(
        matches!(effects[..], [AdmissionEffect::Refuse(ticket, _)] if ticket == AdmissionTicket::new(1))
    );
    assert_eq!(admission.next_wake(), None);
    assert_eq!(admission.view().waiting, 0);
}

#[test]
fn a_freed_slot_never_runs_an_expired_request() {
    let mut admission = admission(1, 10);
    submit(&mut admission, request(0, "o"), at(0));
    let mut waiting = request(1, "o");
    waiting.deadline = Some(at(2_000));
    submit(&mut admission, waiting, at(0));
    let mut effects = Vec::new();
    admission.finish(&organisation("o"), at(1_950), &mut effects);
    assert!(matches!(effects[..], [AdmissionEffect::Refuse(..)]));
    assert_eq!(admission.view().running, 0);
}

#[test]
fn a_large_organisation_does_not_delay_a_small_one() {
    let mut admission = admission(1, 100);
    submit(&mut admission, request(0, "large"), at(0));
    (1..=50).for_each(|ticket| {
        submit(&mut admission, request(ticket, "large"), at(0));
    });
    submit(&mut admission, request(60, "small"), at(0));
    submit(&mut admission, request(61, "small"), at(0));
    assert_eq!(drain(&mut admission, 4), [1, 60, 2, 61]);
}

#[test]
fn an_organisation_gains_nothing_by_leaving_the_queue_and_returning() {
    let mut admission = admission(1, 100);
    submit(&mut admission, request(0, "other"), at(0));
    (1..=9).for_each(|ticket| {
        submit(&mut admission, request(ticket, "steady"), at(0));
    });
    let mut heavy = request(20, "bursty");
    heavy.cost = 300;
    submit(&mut admission, heavy, at(0));
    assert_eq!(drain(&mut admission, 2), [1, 20]);
    submit(&mut admission, request(21, "bursty"), at(30));
    assert_eq!(drain(&mut admission, 3), [2, 3, 4]);
}

#[test]
fn contended_slots_are_shared_by_weight() {
    let mut admission = admission(1, 100);
    submit(&mut admission, request(0, "x"), at(0));
    for ticket in 1..=20 {
        let mut double = request(ticket, "double");
        double.weight = FairWeight::new(2);
        submit(&mut admission, double, at(0));
        submit(&mut admission, request(100 + ticket, "single"), at(0));
    }
    let ran = drain(&mut admission, 12);
    let doubles = ran.iter().filter(|ticket| **ticket < 100).count();
    assert_eq!(doubles, 8);
}

#[test]
fn priority_applies_within_one_organisation_only() {
    let mut admission = admission(1, 100);
    submit(&mut admission, request(0, "a"), at(0));
    submit(&mut admission, request(1, "a"), at(0));
    submit(&mut admission, request(2, "b"), at(0));
    for ticket in 3..=5 {
        let mut urgent = request(ticket, "a");
        urgent.priority = RequestPriority::new(9);
        submit(&mut admission, urgent, at(0));
    }
    assert_eq!(drain(&mut admission, 5), [2, 3, 4, 5, 1]);
}

#[test]
fn a_full_queue_displaces_the_largest_organisation_for_a_small_one() {
    let mut admission = admission(1, 4);
    submit(&mut admission, request(0, "large"), at(0));
    (1..=4).for_each(|ticket| {
        submit(&mut admission, request(ticket, "large"), at(0));
    });
    let full = submit(&mut admission, request(5, "large"), at(0));
    assert!(
        matches!(full, AdmissionAnswer::Refused(refusal) if refusal.cause == RefusalCause::QueueFull)
    );
    let mut effects = Vec::new();
    let answer = admission.submit(request(6, "small"), at(0), &mut effects);
    assert_eq!(answer, AdmissionAnswer::Queued);
    assert!(
        matches!(effects[..], [AdmissionEffect::Refuse(ticket, _)] if ticket == AdmissionTicket::new(4))
    );
    assert_eq!(admission.view().waiting, 4, "bounded");
}

#[test]
fn a_wait_longer_than_the_bound_is_refused_with_that_wait_as_hint() {
    let mut admission = Admission::new(AdmissionSettings {
        limit: 1,
        max_wait: ClockSpan::from_millis(3_000),
        hold_guess: ClockSpan::from_millis(1_000),
        ..AdmissionSettings::default()
    });
    submit(&mut admission, request(0, "o"), at(0));
    (1..=3).for_each(|ticket| {
        submit(&mut admission, request(ticket, "o"), at(0));
    });
    let AdmissionAnswer::Refused(refusal) = submit(&mut admission, request(4, "o"), at(0)) else {
        panic!("must be refused");
    };
    assert_eq!(refusal.cause, RefusalCause::WaitTooLong);
    assert_eq!(refusal.retry_after, ClockSpan::from_millis(4_000));
    let other = submit(&mut admission, request(5, "other"), at(0));
    assert_eq!(
        other,
        AdmissionAnswer::Queued,
        "another's turn comes sooner"
    );
}

#[test]
fn a_request_of_a_disconnected_client_leaves_the_queue() {
    let mut admission = admission(1, 4);
    submit(&mut admission, request(0, "o"), at(0));
    submit(&mut admission, request(1, "o"), at(0));
    assert!(admission.cancel(AdmissionTicket::new(1)));
    assert!(!admission.cancel(AdmissionTicket::new(1)));
    assert_eq!(drain(&mut admission, 1), [0; 0]);
}

#[test]
fn a_stall_makes_the_expected_wait_grow() {
    let mut admission = admission(1, 10);
    submit(&mut admission, request(0, "o"), at(0));
    (1..=4).for_each(|ticket| {
        submit(&mut admission, request(ticket, "o"), at(0));
    });
    let mut effects = Vec::new();
    admission.finish(&organisation("o"), at(100), &mut effects);
    admission.finish(&organisation("o"), at(200), &mut effects);
    let next = request(9, "o");
    assert_eq!(admission.expected_wait(&next, at(200)).as_millis(), 300);
    assert_eq!(
        admission.expected_wait(&next, at(5_200)).as_millis(),
        15_000
    );
}

#[test]
fn a_higher_limit_runs_waiting_requests() {
    let mut admission = admission(0, 10);
    assert_eq!(
        submit(&mut admission, request(1, "o"), at(0)),
        AdmissionAnswer::Queued
    );
    let mut effects = Vec::new();
    admission.set_limit(5, at(1), &mut effects);
    assert_eq!(effects, [AdmissionEffect::Run(AdmissionTicket::new(1))]);
}

/// Admission with 12 slots and 200 requests of `large`. The organisations in
/// `asked_before` have each run one request before. The limit is updated 5 s later,
/// and then two requests of `large` end.
fn contended(asked_before: &[&str]) -> Admission {
    let mut admission = admission(12, 1_000);
    admission.set_slots(12);
    for (ticket, name) in (50..).zip(asked_before) {
        submit(&mut admission, request(ticket, name), at(0));
        admission.finish(&organisation(name), at(0), &mut Vec::new());
    }
    admission.set_limit(12, at(0), &mut Vec::new());
    demand(&mut admission, 1_000);
    admission.set_limit(12, at(5_000), &mut Vec::new());
    for _ in 0..2 {
        admission.finish(&organisation("large"), at(5_001), &mut Vec::new());
    }
    admission
}

/// Submits 200 requests of `large`.
fn demand(admission: &mut Admission, millis: u64) {
    for ticket in 0..200 {
        submit(admission, request(1_000 + ticket, "large"), at(millis));
    }
}

#[test]
fn no_slots_are_reserved_while_they_suffice_for_the_demand() {
    let mut admission = admission(12, 100);
    admission.set_slots(12);
    submit(&mut admission, request(0, "small"), at(0));
    admission.finish(&organisation("small"), at(0), &mut Vec::new());
    for ticket in 1..=12 {
        let now = at(ticket * 100);
        admission.set_limit(12, now, &mut Vec::new());
        let answer = submit(&mut admission, request(ticket, "large"), now);
        assert_eq!(answer, AdmissionAnswer::Run, "{ticket}");
    }
}

#[test]
fn the_last_slots_are_reserved_for_an_organisation_below_its_share() {
    let mut admission = contended(&["small"]);
    assert_eq!(admission.view().running, 10, "a sixth is kept");
    for ticket in [60, 61] {
        let answer = submit(&mut admission, request(ticket, "small"), at(5_002));
        assert_eq!(answer, AdmissionAnswer::Run, "though others wait");
    }
    let answer = submit(&mut admission, request(62, "small"), at(5_002));
    assert_eq!(answer, AdmissionAnswer::Queued, "the limit holds for all");
    let mut effects = Vec::new();
    admission.finish(&organisation("large"), at(5_003), &mut effects);
    let small = AdmissionEffect::Run(AdmissionTicket::new(62));
    assert_eq!(effects, [small], "the slot is one of the last");
}

#[test]
fn an_organisation_alone_takes_every_slot() {
    assert_eq!(contended(&[]).view().running, 12);
}

#[test]
fn an_inactive_organisation_has_no_reserved_slots() {
    let mut admission = contended(&["small"]);
    demand(&mut admission, 9_000);
    let mut effects = Vec::new();
    admission.set_limit(12, at(9_999), &mut effects);
    assert_eq!(effects, []);
    admission.set_limit(12, at(10_001), &mut effects);
    assert_eq!(effects.len(), 2);
}

#[test]
fn organisations_that_use_their_shares_have_no_reserved_slots() {
    let mut admission = admission(12, 100);
    admission.set_slots(12);
    for ticket in 0..10 {
        let name = if ticket % 2 == 0 { "one" } else { "other" };
        submit(&mut admission, request(ticket, name), at(0));
    }
    admission.set_limit(12, at(5_000), &mut Vec::new());
    let answers = [10, 11].map(|ticket| submit(&mut admission, request(ticket, "one"), at(5_001)));
    assert_eq!(answers, [AdmissionAnswer::Run; 2]);
}

#[test]
fn an_organisation_is_within_its_share_by_running_requests_and_weight() {
    let mut admission = admission(12, 100);
    submit(&mut admission, request(0, "small"), at(0));
    (1..=6).for_each(|ticket| {
        submit(&mut admission, request(ticket, "large"), at(0));
    });
    assert!(admission.is_within_share(&organisation("large")), "6 of 6");
    submit(&mut admission, request(7, "large"), at(0));
    assert!(!admission.is_within_share(&organisation("large")), "7 of 6");
    assert!(admission.is_within_share(&organisation("small")), "1 of 6");
    let mut heavy = request(8, "large");
    heavy.weight = FairWeight::new(2);
    submit(&mut admission, heavy, at(0));
    assert!(admission.is_within_share(&organisation("large")), "8 of 8");
}
