//! Servers that start again under the id that they had.

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::ServerEntry;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::ServerPhase;
use guavawell_core::forward::ServerTable;

use crate::support::Ask;
use crate::support::START;
use crate::support::born;
use crate::support::choose;
use crate::support::entry;

const ASK: Ask = Ask {
    part: 7,
    shared: 4_000,
    input: 5_000,
};

fn one(incarnation: &ServerIncarnation) -> ServerTable {
    let mut table = ServerTable::default();
    assert_eq!(table.upsert(entry(incarnation.clone())), None);
    table
}

#[test]
fn a_new_life_begins_with_nothing() {
    let (first, second) = (born(0, 100), born(0, 200));
    let mut table = one(&first);
    let held = table.get_mut(&first).expect("listed");
    held.begin(START, 9_000, 9_000);
    held.report(START, 8, 4);
    held.record_connect_failure(START);
    for _ in 0..20 {
        held.rate(START, true);
    }
    assert_eq!(table.upsert(entry(second.clone())), Some(first));
    assert_eq!(table.get(&second), Some(&entry(second.clone())));
}

#[test]
fn a_server_that_left_serves_again_once_it_was_born_again() {
    let (first, second) = (born(0, 100), born(0, 200));
    let mut table = one(&first);
    table.remove(&first, ServerPhase::Leaving);
    table.upsert(entry(first));
    assert_eq!(
        choose(&table, ASK, START),
        None,
        "a leaving life never comes back"
    );
    table.upsert(entry(second.clone()));
    let pick = choose(&table, ASK, START).expect("the new life serves");
    assert_eq!(pick.server, second);
}

#[test]
fn what_is_told_late_of_a_former_life_changes_nothing() {
    let (first, second) = (born(0, 100), born(0, 200));
    let mut table = one(&second);
    let late = ServerEntry {
        phase: ServerPhase::Leaving,
        slots: 1,
        ..entry(first.clone())
    };
    assert_eq!(table.upsert(late), None);
    table.remove(&first, ServerPhase::Leaving);
    assert!(
        table.get_mut(&first).is_none(),
        "its requests count nowhere"
    );
    assert_eq!(table.get(&second), Some(&entry(second.clone())));
}

#[test]
fn a_former_life_does_not_come_back_after_the_later_one_was_forgotten() {
    let (first, second) = (born(0, 100), born(0, 200));
    let mut table = one(&second);
    table.remove(&second, ServerPhase::Leaving);
    table.sweep(START);
    assert_eq!(table.servers().len(), 0);
    table.upsert(entry(first));
    assert_eq!(table.servers().len(), 0);
    table.upsert(entry(born(0, 300)));
    assert_eq!(table.servers().len(), 1);
}

#[test]
fn requests_of_a_former_life_leave_the_later_ones_count_alone() {
    let (first, second) = (born(0, 100), born(0, 200));
    let mut table = one(&first);
    table.get_mut(&first).expect("listed").begin(START, 10, 10);
    table.upsert(entry(second.clone()));
    table.get_mut(&second).expect("listed").begin(START, 10, 10);
    // The former life's request ends now.
    if let Some(held) = table.get_mut(&first) {
        held.finish(10, 10);
    }
    let load = table.get(&second).expect("listed").load;
    assert_eq!((load.in_flight, load.prefill_tokens), (1, 10));
}

#[test]
fn a_request_may_go_to_the_new_life_of_a_server_that_it_was_sent_to() {
    let (first, second) = (born(0, 100), born(0, 200));
    let mut table = one(&first);
    let tried = [first];
    let pick = crate::support::choose_without(&table, ASK, START, &tried);
    assert_eq!(pick, None);
    table.upsert(entry(second.clone()));
    let pick = crate::support::choose_without(&table, ASK, START, &tried);
    assert_eq!(pick.map(|pick| pick.server), Some(second));
}

#[test]
fn an_unreadable_entry_names_no_server_until_a_readable_one_follows() {
    let incarnation = born(0, 100);
    let mut table = one(&incarnation);
    table.remove(&incarnation, ServerPhase::Unreadable);
    assert_eq!(choose(&table, ASK, START), None);
    table.upsert(entry(incarnation.clone()));
    assert!(choose(&table, ASK, START).is_some());
    // An unreadable entry that vanishes is not one that lapsed.
    table.remove(&incarnation, ServerPhase::Unreadable);
    let until = START + ClockSpan::from_millis(1_000);
    table.remove(&incarnation, ServerPhase::Lapsed(until));
    assert_eq!(choose(&table, ASK, START), None);
}

#[test]
fn servers_that_tell_no_birth_keep_one_life() {
    let incarnation = ServerIncarnation {
        born: None,
        ..born(0, 0)
    };
    let mut table = one(&incarnation);
    table
        .get_mut(&incarnation)
        .expect("listed")
        .begin(START, 10, 10);
    assert_eq!(table.upsert(entry(incarnation.clone())), None);
    assert_eq!(table.get(&incarnation).expect("listed").load.in_flight, 1);
    assert!(choose(&table, ASK, START).is_some());
}

#[test]
fn an_entry_without_the_birth_that_its_server_told_is_not_its_own() {
    let incarnation = born(0, 100);
    let foreign = ServerIncarnation {
        born: None,
        ..incarnation.clone()
    };
    let mut table = one(&incarnation);
    assert_eq!(table.upsert(entry(foreign)), None);
    assert_eq!(choose(&table, ASK, START), None);
    table.upsert(entry(incarnation));
    assert!(choose(&table, ASK, START).is_some());
}
