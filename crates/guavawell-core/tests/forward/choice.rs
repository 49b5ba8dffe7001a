//! Which server gets a request.

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::LapseSettings;
use guavawell_core::forward::ServerPhase;

use crate::support::Ask;
use crate::support::START;
use crate::support::choose;
use crate::support::choose_without;
use crate::support::table;

const DRAFT: Ask = Ask {
    part: 7,
    shared: 5_000,
    input: 12_000,
};

#[test]
fn one_shared_prompt_has_one_home_and_many_are_spread() {
    let table = table(18);
    let home = choose(&table, DRAFT, START).expect("a server");
    assert_eq!(choose(&table, DRAFT, START), Some(home.clone()));
    assert_eq!(home.prefill_tokens, 7_000);
    let mut homes: Vec<_> = (0..200)
        .filter_map(|part| choose(&table, Ask { part, ..DRAFT }, START))
        .map(|pick| pick.server)
        .collect();
    homes.sort();
    homes.dedup();
    assert_eq!(homes.len(), 18);
}

#[test]
fn a_server_that_joins_moves_few_homes() {
    let (small, large) = (table(18), table(19));
    let moved = (0..400).filter(|part| {
        let ask = Ask {
            part: *part,
            ..DRAFT
        };
        choose(&small, ask, START) != choose(&large, ask, START)
    });
    let moved = moved.count();
    assert!(moved < 60, "{moved} of 400 moved");
}

#[test]
fn a_busy_home_is_left_only_when_reading_again_is_cheaper() {
    let mut table = table(6);
    let home = choose(&table, DRAFT, START).expect("a server").server;
    let entry = table.get_mut(&home).expect("listed");
    entry.begin(START, 7_000, 12_100);
    assert_eq!(choose(&table, DRAFT, START).expect("a server").server, home);
    let entry = table.get_mut(&home).expect("listed");
    for _ in 0..4 {
        entry.begin(START, 7_000, 12_100);
    }
    assert_ne!(choose(&table, DRAFT, START).expect("a server").server, home);
}

#[test]
fn a_silent_failing_or_refusing_server_is_the_last_choice() {
    let later = START + ClockSpan::from_millis(1_000);
    for fault in 0..3 {
        let mut table = table(4);
        let home = choose(&table, DRAFT, later).expect("a server").server;
        let entry = table.get_mut(&home).expect("listed");
        match fault {
            0 => entry.begin(START, 10, 10),
            1 => (0..8).for_each(|_| entry.rate(later, true)),
            _ => entry.record_connect_failure(later),
        }
        assert_ne!(choose(&table, DRAFT, later).expect("a server").server, home);
        // The pause after a failure ends by itself.
        if fault > 0 {
            let much_later = later + ClockSpan::from_millis(20_000);
            assert_eq!(
                choose(&table, DRAFT, much_later).expect("a server").server,
                home
            );
        }
    }
}

#[test]
fn avoided_servers_serve_when_there_are_no_others() {
    let mut table = table(2);
    for number in 0..2 {
        let entry = table
            .get_mut(&crate::support::server(number))
            .expect("listed");
        entry.record_connect_failure(START);
    }
    assert!(choose(&table, DRAFT, START).is_some());
}

#[test]
fn leaving_and_tried_servers_are_never_chosen() {
    let mut table = table(3);
    let tried = [crate::support::server(0)];
    table.remove(&crate::support::server(1), ServerPhase::Leaving);
    let pick = choose_without(&table, DRAFT, START, &tried).expect("a server");
    assert_eq!(pick.server, crate::support::server(2));
    // A server that leaves does not come back, whatever the list says.
    let mut listed = table
        .get(&crate::support::server(1))
        .expect("listed")
        .clone();
    listed.phase = ServerPhase::Ready;
    table.upsert(listed);
    let pick = choose_without(&table, DRAFT, START, &tried).expect("a server");
    assert_eq!(pick.server, crate::support::server(2));
}

#[test]
fn an_entry_that_lapsed_serves_until_its_time() {
    let mut table = table(1);
    let until = START + ClockSpan::from_millis(1_700);
    table.remove(&crate::support::server(0), ServerPhase::Lapsed(until));
    assert!(choose(&table, DRAFT, START).is_some());
    assert!(choose(&table, DRAFT, until).is_none());
    // The entry is back in time.
    let mut back = table.clone();
    let mut listed = back
        .get(&crate::support::server(0))
        .expect("listed")
        .clone();
    listed.phase = ServerPhase::Ready;
    back.upsert(listed);
    assert!(choose(&back, DRAFT, until).is_some());
    table.sweep(until);
    assert!(table.servers().is_empty());
}

#[test]
fn an_entry_that_vanishes_long_after_trouble_is_gone() {
    let lapse = LapseSettings::default();
    let trouble = START;
    let ms = ClockSpan::from_millis;
    let phase_after_removal =
        |after: u64| lapse.phase_after_removal(START + ms(after), Some(trouble));
    // Right after the trouble it may come back, within bounds from both ends.
    assert_eq!(
        phase_after_removal(0),
        ServerPhase::Lapsed(START + ms(1_700))
    );
    assert_eq!(
        phase_after_removal(1_500),
        ServerPhase::Lapsed(START + ms(2_200))
    );
    assert_eq!(phase_after_removal(2_200), ServerPhase::Leaving);
    assert_eq!(phase_after_removal(3_500), ServerPhase::Leaving);
    assert_eq!(lapse.phase_after_removal(START, None), ServerPhase::Leaving);
}

#[test]
fn memory_bounds_a_server_beside_its_slots() {
    let mut table = table(2);
    let large = Ask {
        input: 150_000,
        ..DRAFT
    };
    for number in 0..2 {
        let entry = table
            .get_mut(&crate::support::server(number))
            .expect("listed");
        entry.begin(START, 0, 100_000);
    }
    assert!(choose(&table, large, START).is_none());
    assert!(choose(&table, DRAFT, START).is_some());
}
