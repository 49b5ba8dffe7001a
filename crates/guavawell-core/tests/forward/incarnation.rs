//! Servers that restart under the same id.

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::ServerEntry;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::ServerPhase;
use guavawell_core::forward::ServerTable;

use crate::support::START;
use crate::support::TestRequest;
use crate::support::choose;
use crate::support::entry;
use crate::support::server_started_at;

const REQUEST: TestRequest = TestRequest {
    part: 7,
    shared: 4_000,
    input: 5_000,
};

fn table_with(incarnation: &ServerIncarnation) -> ServerTable {
    let mut table = ServerTable::default();
    assert_eq!(table.upsert(entry(incarnation.clone())), None);
    table
}

#[test]
fn a_new_incarnation_starts_without_load_or_failures() {
    let (first, second) = (server_started_at(0, 100), server_started_at(0, 200));
    let mut table = table_with(&first);
    let table_entry = table.get_mut(&first).expect("listed");
    table_entry.begin(START, 9_000, 9_000);
    table_entry.report(START, 8, 4);
    table_entry.record_connect_failure(START);
    for _ in 0..20 {
        table_entry.rate(START, true);
    }
    assert_eq!(table.upsert(entry(second.clone())), Some(first));
    assert_eq!(table.get(&second), Some(&entry(second.clone())));
}

#[test]
fn a_server_that_shut_down_serves_again_after_a_restart() {
    let (first, second) = (server_started_at(0, 100), server_started_at(0, 200));
    let mut table = table_with(&first);
    table.remove(&first, ServerPhase::Leaving);
    table.upsert(entry(first));
    assert_eq!(
        choose(&table, REQUEST, START),
        None,
        "a leaving incarnation never comes back"
    );
    table.upsert(entry(second.clone()));
    let pick = choose(&table, REQUEST, START).expect("the new incarnation");
    assert_eq!(pick.server, second);
}

#[test]
fn a_late_entry_of_an_earlier_incarnation_changes_nothing() {
    let (first, second) = (server_started_at(0, 100), server_started_at(0, 200));
    let mut table = table_with(&second);
    let late = ServerEntry {
        phase: ServerPhase::Leaving,
        slots: 1,
        ..entry(first.clone())
    };
    assert_eq!(table.upsert(late), None);
    table.remove(&first, ServerPhase::Leaving);
    assert!(
        table.get_mut(&first).is_none(),
        "the earlier incarnation is gone"
    );
    assert_eq!(table.get(&second), Some(&entry(second.clone())));
}

#[test]
fn an_earlier_incarnation_does_not_come_back_after_the_later_one_was_removed() {
    let (first, second) = (server_started_at(0, 100), server_started_at(0, 200));
    let mut table = table_with(&second);
    table.remove(&second, ServerPhase::Leaving);
    table.sweep(START);
    assert_eq!(table.servers().len(), 0);
    table.upsert(entry(first));
    assert_eq!(table.servers().len(), 0);
    table.upsert(entry(server_started_at(0, 300)));
    assert_eq!(table.servers().len(), 1);
}

#[test]
fn requests_of_an_earlier_incarnation_do_not_change_the_load_of_the_later_one() {
    let (first, second) = (server_started_at(0, 100), server_started_at(0, 200));
    let mut table = table_with(&first);
    table.get_mut(&first).expect("listed").begin(START, 10, 10);
    table.upsert(entry(second.clone()));
    table.get_mut(&second).expect("listed").begin(START, 10, 10);
    // The request of the earlier incarnation ends now.
    if let Some(table_entry) = table.get_mut(&first) {
        table_entry.finish(10, 10);
    }
    let load = table.get(&second).expect("listed").load;
    assert_eq!((load.in_flight, load.prefill_tokens), (1, 10));
}

#[test]
fn a_request_may_go_to_the_new_incarnation_of_a_server_that_it_was_sent_to() {
    let (first, second) = (server_started_at(0, 100), server_started_at(0, 200));
    let mut table = table_with(&first);
    let tried = [first];
    let pick = crate::support::choose_without(&table, REQUEST, START, &tried);
    assert_eq!(pick, None);
    table.upsert(entry(second.clone()));
    let pick = crate::support::choose_without(&table, REQUEST, START, &tried);
    assert_eq!(pick.map(|pick| pick.server), Some(second));
}

#[test]
fn a_server_with_an_unreadable_entry_is_not_chosen_until_a_readable_one_follows() {
    let incarnation = server_started_at(0, 100);
    let mut table = table_with(&incarnation);
    table.remove(&incarnation, ServerPhase::Unreadable);
    assert_eq!(choose(&table, REQUEST, START), None);
    table.upsert(entry(incarnation.clone()));
    assert!(choose(&table, REQUEST, START).is_some());
    // An unreadable entry that disappears does not lapse.
    table.remove(&incarnation, ServerPhase::Unreadable);
    let until = START + ClockSpan::from_millis(1_000);
    table.remove(&incarnation, ServerPhase::Lapsed(until));
    assert_eq!(choose(&table, REQUEST, START), None);
}

#[test]
fn servers_without_a_start_time_keep_one_incarnation() {
    let incarnation = ServerIncarnation {
        born: None,
        ..server_started_at(0, 0)
    };
    let mut table = table_with(&incarnation);
    table
        .get_mut(&incarnation)
        .expect("listed")
        .begin(START, 10, 10);
    assert_eq!(table.upsert(entry(incarnation.clone())), None);
    assert_eq!(table.get(&incarnation).expect("listed").load.in_flight, 1);
    assert!(choose(&table, REQUEST, START).is_some());
}

#[test]
fn an_entry_without_the_start_time_that_earlier_ones_had_is_not_trusted() {
    let incarnation = server_started_at(0, 100);
    let foreign = ServerIncarnation {
        born: None,
        ..incarnation.clone()
    };
    let mut table = table_with(&incarnation);
    assert_eq!(table.upsert(entry(foreign)), None);
    assert_eq!(choose(&table, REQUEST, START), None);
    table.upsert(entry(incarnation));
    assert!(choose(&table, REQUEST, START).is_some());
}
