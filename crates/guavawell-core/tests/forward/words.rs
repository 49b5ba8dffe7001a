//! What servers say of themselves: that they leave, and that they want no
//! requests for a time.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::PauseError;
use guavawell_core::forward::ServerEntry;
use guavawell_core::forward::ServerPhase;
use guavawell_core::forward::ServerTable;
use guavawell_core::forward::parse_pause;

use crate::support::Ask;
use crate::support::START;
use crate::support::born;
use crate::support::choose;
use crate::support::entry;
use crate::support::server;
use crate::support::service;
use crate::support::table;

const ASK: Ask = Ask {
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
    let held = table.get_mut(&server(number)).expect("listed");
    assert!(held.record_leaving());
    assert!(!held.record_leaving(), "it is told once");
}

fn pause(table: &mut ServerTable, number: usize, millis: u64) -> bool {
    let held = table.get_mut(&server(number)).expect("listed");
    held.pause(START, span(millis))
}

#[test]
fn a_row_that_lists_a_leaving_server_as_ready_changes_nothing() {
    let mut table = table(1);
    leave(&mut table, 0);
    table.upsert(entry(server(0)));
    assert_eq!(choose(&table, ASK, START), None);
    // Nor once the server was forgotten, nor after its entry lapsed.
    table.sweep(START);
    assert!(table.servers().is_empty());
    table.upsert(entry(server(0)));
    table.remove(&server(0), ServerPhase::Lapsed(later(1_000)));
    assert_eq!(choose(&table, ASK, START), None);
}

#[test]
fn a_server_that_was_listed_as_leaving_is_remembered_as_well() {
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
    assert_eq!(choose(&table, ASK, START), None);
}

#[test]
fn an_entry_that_only_vanished_may_come_back() {
    let mut table = table(1);
    table.remove(&server(0), ServerPhase::Leaving);
    table.sweep(START);
    table.upsert(entry(server(0)));
    assert!(choose(&table, ASK, START).is_some());
}

#[test]
fn the_next_life_of_a_leaving_server_serves() {
    let mut table = table(1);
    leave(&mut table, 0);
    table.sweep(START);
    let next = born(0, 2);
    table.upsert(entry(next.clone()));
    let pick = choose(&table, ASK, START).expect("the next life");
    assert_eq!(pick.server, next);
}

#[test]
fn what_left_is_remembered_while_hundreds_of_others_come_and_go() {
    let mut table = table(1);
    for number in 1..250 {
        table.upsert(entry(server(number)));
        leave(&mut table, number);
        table.sweep(START);
    }
    leave(&mut table, 0);
    table.sweep(START);
    table.upsert(entry(server(0)));
    assert_eq!(choose(&table, ASK, START), None);
}

#[test]
fn a_pausing_server_gets_nothing_until_its_time_and_is_not_taken_for_a_failing_one() {
    let mut table = table(2);
    let home = choose(&table, ASK, START).expect("a server").server;
    let held = table.get_mut(&home).expect("listed");
    assert!(held.pause(START, span(1_500)));
    assert!(!held.pause(START, span(500)), "the longer one holds");
    let other = choose(&table, ASK, later(1_499)).expect("the other").server;
    assert_ne!(other, home);
    let back = choose(&table, ASK, later(1_500)).expect("a server").server;
    assert_eq!(back, home, "nothing is held against it");
}

#[test]
fn a_pausing_server_is_not_forgotten() {
    let mut table = table(1);
    pause(&mut table, 0, 1_500);
    table.sweep(START);
    assert!(choose(&table, ASK, later(1_500)).is_some());
}

#[test]
fn callers_come_back_when_the_first_server_does() {
    let mut table = table(2);
    assert_eq!(table.resumes_in(&service(), START), None);
    pause(&mut table, 0, 3_000);
    assert_eq!(table.resumes_in(&service(), START), None);
    pause(&mut table, 1, 2_000);
    assert_eq!(choose(&table, ASK, START), None);
    assert_eq!(table.resumes_in(&service(), later(500)), Some(span(1_500)));
    leave(&mut table, 1);
    assert_eq!(table.resumes_in(&service(), START), Some(span(3_000)));
}

#[test]
fn seconds_with_fractions_are_read_and_nothing_else() {
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
