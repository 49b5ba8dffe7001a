//! Each rule of the history checks, kept and broken.

use std::io::Cursor;

use guavawell_core::event::EventRecord;
use guavawell_core::id::AttemptId;
use guavawell_timeline::check::HistoryChecker;
use guavawell_timeline::check::HistoryReport;
use guavawell_timeline::check::HistoryRule;
use guavawell_timeline::merge::EventMerge;
use guavawell_timeline::source::EventSource;

use crate::env::event;
use crate::env::log_of;
use crate::env::with;

fn report_of(records: &[EventRecord]) -> HistoryReport {
    let text = log_of(records).into_bytes();
    let source = EventSource::new("log", Box::new(Cursor::new(text)));
    let merge = EventMerge::new(vec![source], 64);
    let names = merge.names().to_vec();
    let mut checker = HistoryChecker::default();
    for event in merge {
        checker.add(&event);
    }
    checker.finish(&names)
}

fn rules_of(records: &[EventRecord]) -> Vec<HistoryRule> {
    let report = report_of(records);
    report.breaches.iter().map(|breach| breach.rule).collect()
}

fn started(order: u64, idempotent: bool) -> EventRecord {
    let mut record = event("a", order, order, "attempt.started");
    record.attempt = Some(AttemptId::new(order.into()));
    with(record, "idempotent", &idempotent.to_string())
}

fn tokens(order: u64, kind: &str, tokens: u64) -> EventRecord {
    with(
        event("a", order, order, kind),
        "tokens",
        &tokens.to_string(),
    )
}

#[test]
fn a_sound_history_passes_and_is_counted() {
    let report = report_of(&[
        event("a", 1, 1, "request.accepted"),
        tokens(2, "reservation.granted", 40),
        started(3, true),
        started(4, true),
        tokens(5, "reservation.settled", 30),
        tokens(6, "billing.recorded", 30),
    ]);
    assert!(report.breaches.is_empty());
    assert_eq!(report.requests, 1);
    assert_eq!(report.attempts, 2);
    assert_eq!(report.billed, 1);
    assert_eq!(report.unproved_charges, 0);
}

#[test]
fn a_second_bill_is_found_across_instances() {
    let mut second = tokens(9, "billing.recorded", 5);
    second.instance = "b".parse().expect("an id");
    let records = [
        tokens(1, "reservation.granted", 5),
        tokens(2, "billing.recorded", 5),
        second,
    ];
    assert_eq!(rules_of(&records), [HistoryRule::BilledOnce]);
}

#[test]
fn bills_of_two_organisations_under_one_id_are_two_requests() {
    let mut other = tokens(9, "billing.recorded", 5);
    other.organisation = Some("p".parse().expect("an id"));
    let report = report_of(&[tokens(2, "billing.recorded", 5), other]);
    assert!(report.breaches.is_empty());
    assert_eq!(report.requests, 2);
    assert_eq!(report.unproved_charges, 2);
}

#[test]
fn a_second_run_of_a_non_idempotent_request_is_found() {
    let records = [started(1, false), started(2, false)];
    assert_eq!(rules_of(&records), [HistoryRule::RunOnce]);
    assert!(rules_of(&[started(1, false)]).is_empty());
}

#[test]
fn a_start_after_a_seal_or_final_refusal_is_found() {
    let seal = event("a", 2, 2, "request.sealed");
    let found = [HistoryRule::NothingAfterSeal];
    assert_eq!(rules_of(&[seal.clone(), started(3, true)]), found);
    assert!(rules_of(&[started(1, true), seal]).is_empty());
    let refusal = |outcome| with(event("a", 2, 2, "request.refused"), "outcome", outcome);
    assert_eq!(rules_of(&[refusal("not_run"), started(3, true)]), found);
    assert!(rules_of(&[refusal("retry"), started(3, true)]).is_empty());
}

#[test]
fn a_charge_above_its_reservation_is_found() {
    let found = [HistoryRule::ChargeWithinReservation];
    let granted = tokens(1, "reservation.granted", 10);
    let over = [granted.clone(), tokens(2, "reservation.settled", 11)];
    assert_eq!(rules_of(&over), found);
    let billed_over = [granted.clone(), tokens(2, "billing.recorded", 11)];
    assert_eq!(rules_of(&billed_over), found);
    assert!(rules_of(&[granted, tokens(2, "reservation.settled", 10)]).is_empty());
}

#[test]
fn a_charge_is_set_against_the_reservation_of_its_own_attempt() {
    let of_attempt = |mut record: EventRecord, attempt| {
        record.attempt = Some(AttemptId::new(attempt));
        record
    };
    let records = [
        of_attempt(tokens(1, "reservation.granted", 10), 1),
        of_attempt(tokens(2, "reservation.granted", 90), 2),
        of_attempt(tokens(3, "reservation.settled", 50), 1),
    ];
    assert_eq!(rules_of(&records), [HistoryRule::ChargeWithinReservation]);
}
