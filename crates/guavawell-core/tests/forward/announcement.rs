//! What servers announce: that they shut down, and that they want no requests
//! for a time.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::PauseError;
use guavawell_core::forward::ServerEntry;
use guavawell_core::forward::ServerPhase;
use guavawell_core::forward::ServerTable;
use guavawell_core::forward::parse_pause;

use crate::support::START;
use crate::support::TestRequest;
use crate::support::choose;
use crate::support::entry;
use crate::support::server;
use crate::support::server_started_at;
use crate::support::service;
use crate::support::table;

const REQUEST: TestRequest = TestRequest {
    part: 7,
    shared: 4_000,
    input: 5_000,
};

fn span(millis: u64) -> ClockSpan {
    ClockSpan::from_millis(millis)
}

fn later(millis: u64) -> ClockTime {
    START + span(millis)
}

fn leave(table: &mut ServerTable, number: usize) {
    let table_entry = table.get_mut(&server(number)).expect("listed");
    assert!(table_entry.record_leaving());
    assert!(
        !table_entry.record_leaving(),
        "the announcement is recorded once"
    );
}

fn pause(table: &mut ServerTable, number: usize, millis: u64) -> bool {
    let table_entry = table.get_mut(&server(number)).expect("listed");
    table_entry.pause(START, span(millis))
}

#[test]
fn a_leaving_server_listed_as_ready_is_not_chosen() {
    let mut table = table(1);
    leave(&mut table, 0);
    table.upsert(entry(server(0)));
    assert_eq!(choose(&table, REQUEST, START), None);
    // It is not chosen either after it was removed from the table, or after its
    // entry lapsed.
    table.sweep(START);
    assert!(table.servers().is_empty());
    table.upsert(entry(server(0)));
    table.remove(&server(0), ServerPhase::Lapsed(later(1_000)));
    assert_eq!(choose(&table, REQUEST, START), None);
}

#[test]
fn a_server_listed_as_leaving_does_not_come_back() {
    let mut table = ServerTable::default();
    let leaving = ServerEntry {
        phase: ServerPhase::Leaving,
        announced_leaving: true,
        ..entry(server(0))
    };
    table.upsert(entry(server(0)));
    table.upsert(leaving);
    table.sweep(START);
    table.upsert(entry(server(0)));
    assert_eq!(choose(&table, REQUEST, START), None);
}

#[test]
fn a_server_whose_entry_only_disappeared_may_come_back() {
    let mut table = table(1);
    table.remove(&server(0), ServerPhase::Leaving);
    table.sweep(START);
    table.upsert(entry(server(0)));
    assert!(choose(&table, REQUEST, START).is_some());
}

#[test]
fn the_next_incarnation_of_a_leaving_server_serves() {
    let mut table = table(1);
    leave(&mut table, 0);
    table.sweep(START);
    let next = server_started_at(0, 2);
    table.upsert(entry(next.clone()));
    let pick = choose(&table, REQUEST, START).expect("the next incarnation");
    assert_eq!(pick.server, next);
}

#[test]
fn a_removed_server_is_remembered_while_hundreds_of_others_are_removed() {
    let mut table = table(1);
    for number in 1..250 {
        table.upsert(entry(server(number)));
        leave(&mut table, number);
        table.sweep(START);
    }
    leave(&mut table, 0);
    table.sweep(START);
    table.upsert(entry(server(0)));
    assert_eq!(choose(&table, REQUEST, START), None);
}

#[test]
fn a_paused_server_gets_no_requests_and_is_preferred_again_afterwards() {
    let mut table = table(2);
    let preferred = choose(&table, REQUEST, START).expect("a server").server;
    let table_entry = table.get_mut(&preferred).expect("listed");
    assert!(table_entry.pause(START, span(1_500)));
    assert!(
        !table_entry.pause(START, span(500)),
        "the longer pause applies"
    );
    let other = choose(&table, REQUEST, later(1_499))
        .expect("the other server")
        .server;
    assert_ne!(other, preferred);
    let back = choose(&table, REQUEST, later(1_500))
        .expect("a server")
        .server;
    assert_eq!(back, preferred, "a pause is not a failure");
}

#[test]
fn a_paused_server_is_not_removed() {
    let mut table = table(1);
    pause(&mut table, 0, 1_500);
    table.sweep(START);
    assert!(choose(&table, REQUEST, later(1_500)).is_some());
}

#[test]
fn the_retry_time_is_the_end_of_the_first_pause() {
    let mut table = table(2);
    assert_eq!(table.resumes_in(&service(), START), None);
    pause(&mut table, 0, 3_000);
    assert_eq!(table.resumes_in(&service(), START), None);
    pause(&mut table, 1, 2_000);
    assert_eq!(choose(&table, REQUEST, START), None);
    assert_eq!(table.resumes_in(&service(), later(500)), Some(span(1_500)));
    leave(&mut table, 1);
    assert_eq!(table.resumes_in(&service(), START), Some(span(3_000)));
}

#[test]
fn a_pause_is_a_decimal_number_of_seconds() {
    for (text, millis) in [("1", 1_000), ("0.25", 250), (" 2.5 ", 2_500), ("0", 0)] {
        assert_eq!(parse_pause(text), (span(millis), None), "{text}");
    }
    for text in [
        "",
        "-1",
        "soon",
        "1e9",
        "NaN",
        "inf",
        "1,2",
        "1.2.3",
        "Fri, 04 Dec 2026 07:28:00 GMT",
    ] {
        let (pause, error) = parse_pause(text);
        assert_eq!(pause, ClockSpan::ZERO, "{text}");
        assert!(matches!(error, Some(PauseError::Unreadable(_))), "{text}");
    }
    for text in ["121", "99999999999999999999999999"] {
        let (pause, error) = parse_pause(text);
        assert_eq!(pause, span(120_000), "{text}");
        assert!(matches!(error, Some(PauseError::TooLong(_))), "{text}");
    }
}
