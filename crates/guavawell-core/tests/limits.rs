//! Admission: deadlines, fairness, priorities and bounded queues.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::OrganisationId;
use guavawell_core::limits::Admission;
use guavawell_core::limits::AdmissionAnswer;
use guavawell_core::limits::AdmissionAsk;
use guavawell_core::limits::AdmissionEffect;
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

fn ask(ticket: u64, organisation: &str) -> AdmissionAsk {
    AdmissionAsk {
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

/// Submits and expects no effect on others.
fn submit(admission: &mut Admission, ask: AdmissionAsk, now: ClockTime) -> AdmissionAnswer {
    let mut effects = Vec::new();
    let answer = admission.submit(ask, now, &mut effects);
    assert_eq!(effects, []);
    answer
}

/// Ends running requests one by one and returns the tickets that ran instead.
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
        submit(&mut admission, ask(0, "o"), at(0)),
        AdmissionAnswer::Run
    );
    let mut late = ask(1, "o");
    late.deadline = Some(at(600));
    let AdmissionAnswer::Refused(refusal) = submit(&mut admission, late, at(0)) else {
        panic!("must be refused");
    };
    assert_eq!(refusal.cause, RefusalCause::Deadline);
    // One release of 1,000 ms and 100 ms to the first token, less 600 ms.
    assert_eq!(refusal.retry_after, ClockSpan::from_millis(500));
    let mut patient = ask(2, "o");
    patient.deadline = Some(at(1_100));
    assert_eq!(
        submit(&mut admission, patient, at(0)),
        AdmissionAnswer::Queued
    );
}

#[test]
fn a_waiting_request_is_given_up_as_soon_as_it_is_hopeless() {
    let mut admission = admission(1, 10);
    submit(&mut admission, ask(0, "o"), at(0));
    let mut waiting = ask(1, "o");
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
fn a_release_never_runs_what_is_late() {
    let mut admission = admission(1, 10);
    submit(&mut admission, ask(0, "o"), at(0));
    let mut waiting = ask(1, "o");
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
    submit(&mut admission, ask(0, "large"), at(0));
    (1..=50).for_each(|ticket| {
        submit(&mut admission, ask(ticket, "large"), at(0));
    });
    submit(&mut admission, ask(60, "small"), at(0));
    submit(&mut admission, ask(61, "small"), at(0));
    assert_eq!(drain(&mut admission, 4), [1, 60, 2, 61]);
}

#[test]
fn an_organisation_that_comes_back_gains_nothing_by_leaving() {
    let mut admission = admission(1, 100);
    submit(&mut admission, ask(0, "other"), at(0));
    (1..=9).for_each(|ticket| {
        submit(&mut admission, ask(ticket, "steady"), at(0));
    });
    let mut heavy = ask(20, "bursty");
    heavy.cost = 300;
    submit(&mut admission, heavy, at(0));
    assert_eq!(drain(&mut admission, 2), [1, 20]);
    submit(&mut admission, ask(21, "bursty"), at(30));
    assert_eq!(drain(&mut admission, 3), [2, 3, 4]);
}

#[test]
fn weights_share_out_what_is_contended() {
    let mut admission = admission(1, 100);
    submit(&mut admission, ask(0, "x"), at(0));
    for ticket in 1..=20 {
        let mut double = ask(ticket, "double");
        double.weight = FairWeight::new(2);
        submit(&mut admission, double, at(0));
        submit(&mut admission, ask(100 + ticket, "single"), at(0));
    }
    let ran = drain(&mut admission, 12);
    let doubles = ran.iter().filter(|ticket| **ticket < 100).count();
    assert_eq!(doubles, 8);
}

#[test]
fn priority_orders_one_organisation_and_not_another() {
    let mut admission = admission(1, 100);
    submit(&mut admission, ask(0, "a"), at(0));
    submit(&mut admission, ask(1, "a"), at(0));
    submit(&mut admission, ask(2, "b"), at(0));
    for ticket in 3..=5 {
        let mut urgent = ask(ticket, "a");
        urgent.priority = RequestPriority::new(9);
        submit(&mut admission, urgent, at(0));
    }
    assert_eq!(drain(&mut admission, 5), [2, 3, 4, 5, 1]);
}

#[test]
fn a_full_queue_makes_room_for_the_small_at_the_cost_of_the_largest() {
    let mut admission = admission(1, 4);
    submit(&mut admission, ask(0, "large"), at(0));
    (1..=4).for_each(|ticket| {
        submit(&mut admission, ask(ticket, "large"), at(0));
    });
    let full = submit(&mut admission, ask(5, "large"), at(0));
    assert!(
        matches!(full, AdmissionAnswer::Refused(refusal) if refusal.cause == RefusalCause::QueueFull)
    );
    let mut effects = Vec::new();
    let answer = admission.submit(ask(6, "small"), at(0), &mut effects);
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
    submit(&mut admission, ask(0, "o"), at(0));
    (1..=3).for_each(|ticket| {
        submit(&mut admission, ask(ticket, "o"), at(0));
    });
    let AdmissionAnswer::Refused(refusal) = submit(&mut admission, ask(4, "o"), at(0)) else {
        panic!("must be refused");
    };
    assert_eq!(refusal.cause, RefusalCause::LongWait);
    assert_eq!(refusal.retry_after, ClockSpan::from_millis(4_000));
    let other = submit(&mut admission, ask(5, "other"), at(0));
    assert_eq!(
        other,
        AdmissionAnswer::Queued,
        "another's turn comes sooner"
    );
}

#[test]
fn a_caller_that_has_gone_leaves_the_queue() {
    let mut admission = admission(1, 4);
    submit(&mut admission, ask(0, "o"), at(0));
    submit(&mut admission, ask(1, "o"), at(0));
    assert!(admission.cancel(AdmissionTicket::new(1)));
    assert!(!admission.cancel(AdmissionTicket::new(1)));
    assert_eq!(drain(&mut admission, 1), [0; 0]);
}

#[test]
fn a_stall_makes_the_expected_wait_grow() {
    let mut admission = admission(1, 10);
    submit(&mut admission, ask(0, "o"), at(0));
    (1..=4).for_each(|ticket| {
        submit(&mut admission, ask(ticket, "o"), at(0));
    });
    let mut effects = Vec::new();
    admission.finish(&organisation("o"), at(100), &mut effects);
    admission.finish(&organisation("o"), at(200), &mut effects);
    let next = ask(9, "o");
    assert_eq!(admission.expected_wait(&next, at(200)).as_millis(), 300);
    assert_eq!(
        admission.expected_wait(&next, at(5_200)).as_millis(),
        15_000
    );
}

#[test]
fn a_higher_limit_runs_what_waits() {
    let mut admission = admission(0, 10);
    assert_eq!(
        submit(&mut admission, ask(1, "o"), at(0)),
        AdmissionAnswer::Queued
    );
    let mut effects = Vec::new();
    admission.set_limit(5, at(1), &mut effects);
    assert_eq!(effects, [AdmissionEffect::Run(AdmissionTicket::new(1))]);
}

/// Admission to 12 slots for which `large` asks 200 times, as others did once
/// before; it is reviewed 5 s later, and two requests of `large` end.
fn contended(asked_before: &[&str]) -> Admission {
    let mut admission = admission(12, 1_000);
    admission.set_slots(12);
    for (ticket, name) in (50..).zip(asked_before) {
        submit(&mut admission, ask(ticket, name), at(0));
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

/// `large` asks 200 times.
fn demand(admission: &mut Admission, millis: u64) {
    for ticket in 0..200 {
        submit(admission, ask(1_000 + ticket, "large"), at(millis));
    }
}

#[test]
fn nothing_is_kept_while_the_slots_are_enough_for_all() {
    let mut admission = admission(12, 100);
    admission.set_slots(12);
    submit(&mut admission, ask(0, "small"), at(0));
    admission.finish(&organisation("small"), at(0), &mut Vec::new());
    for ticket in 1..=12 {
        let now = at(ticket * 100);
        admission.set_limit(12, now, &mut Vec::new());
        let answer = submit(&mut admission, ask(ticket, "large"), now);
        assert_eq!(answer, AdmissionAnswer::Run, "{ticket}");
    }
}

#[test]
fn the_last_slots_are_kept_for_an_organisation_below_its_share() {
    let mut admission = contended(&["small"]);
    assert_eq!(admission.view().running, 10, "a sixth is kept");
    for ticket in [60, 61] {
        let answer = submit(&mut admission, ask(ticket, "small"), at(5_002));
        assert_eq!(answer, AdmissionAnswer::Run, "though others wait");
    }
    let answer = submit(&mut admission, ask(62, "small"), at(5_002));
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
fn an_organisation_that_went_away_keeps_no_slots() {
    let mut admission = contended(&["small"]);
    demand(&mut admission, 9_000);
    let mut effects = Vec::new();
    admission.set_limit(12, at(9_999), &mut effects);
    assert_eq!(effects, []);
    admission.set_limit(12, at(10_001), &mut effects);
    assert_eq!(effects.len(), 2);
}

#[test]
fn organisations_that_use_their_shares_keep_no_slots() {
    let mut admission = admission(12, 100);
    admission.set_slots(12);
    for ticket in 0..10 {
        let name = if ticket % 2 == 0 { "one" } else { "other" };
        submit(&mut admission, ask(ticket, name), at(0));
    }
    admission.set_limit(12, at(5_000), &mut Vec::new());
    let answers = [10, 11].map(|ticket| submit(&mut admission, ask(ticket, "one"), at(5_001)));
    assert_eq!(answers, [AdmissionAnswer::Run; 2]);
}

#[test]
fn the_standing_follows_from_what_runs_for_the_weight() {
    let mut admission = admission(12, 100);
    submit(&mut admission, ask(0, "small"), at(0));
    (1..=6).for_each(|ticket| {
        submit(&mut admission, ask(ticket, "large"), at(0));
    });
    assert!(admission.is_within_share(&organisation("large")), "6 of 6");
    submit(&mut admission, ask(7, "large"), at(0));
    assert!(!admission.is_within_share(&organisation("large")), "7 of 6");
    assert!(admission.is_within_share(&organisation("small")), "1 of 6");
    let mut heavy = ask(8, "large");
    heavy.weight = FairWeight::new(2);
    submit(&mut admission, heavy, at(0));
    assert!(admission.is_within_share(&organisation("large")), "8 of 8");
}
