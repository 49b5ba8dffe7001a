//! Which server is chosen for a request.

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::LapseSettings;
use guavawell_core::forward::ServerPhase;

use crate::support::START;
use crate::support::TestRequest;
use crate::support::choose;
use crate::support::choose_without;
use crate::support::table;

const REQUEST: TestRequest = TestRequest {
    part: 7,
    shared: 5_000,
    input: 12_000,
};

#[test]
fn one_shared_prompt_has_one_preferred_server_and_many_are_spread() {
    let table = table(18);
    let preferred = choose(&table, REQUEST, START).expect("a server");
    assert_eq!(choose(&table, REQUEST, START), Some(preferred.clone()));
    assert_eq!(preferred.prefill_tokens, 7_000);
    let mut preferred_servers: Vec<_> = (0..200)
        .filter_map(|part| choose(&table, TestRequest { part, ..REQUEST }, START))
        .map(|pick| pick.server)
        .collect();
    preferred_servers.sort();
    preferred_servers.dedup();
    assert_eq!(preferred_servers.len(), 18);
}

#[test]
fn a_new_server_changes_few_preferred_servers() {
    let (small, large) = (table(18), table(19));
    let moved = (0..400).filter(|part| {
        let request = TestRequest {
            part: *part,
            ..REQUEST
        };
        choose(&small, request, START) != choose(&large, request, START)
    });
    let moved = moved.count();
    assert!(moved < 60, "{moved} of 400 moved");
}

#[test]
fn a_busy_preferred_server_is_left_only_when_prefilling_again_is_cheaper() {
    let mut table = table(6);
    let preferred = choose(&table, REQUEST, START).expect("a server").server;
    let entry = table.get_mut(&preferred).expect("listed");
    entry.begin(START, 7_000, 12_100);
    assert_eq!(
        choose(&table, REQUEST, START).expect("a server").server,
        preferred
    );
    let entry = table.get_mut(&preferred).expect("listed");
    for _ in 0..4 {
        entry.begin(START, 7_000, 12_100);
    }
    assert_ne!(
        choose(&table, REQUEST, START).expect("a server").server,
        preferred
    );
}

#[test]
fn a_silent_failing_or_unreachable_server_is_the_last_choice() {
    let later = START + ClockSpan::from_millis(1_000);
    for fault in 0..3 {
        let mut table = table(4);
        let preferred = choose(&table, REQUEST, later).expect("a server").server;
        let entry = table.get_mut(&preferred).expect("listed");
        match fault {
            0 => entry.begin(START, 10, 10),
            1 => (0..8).for_each(|_| entry.rate(later, true)),
            _ => entry.record_connect_failure(later),
        }
        assert_ne!(
            choose(&table, REQUEST, later).expect("a server").server,
            preferred
        );
        // After a failure, the server is avoided only for a time.
        if fault > 0 {
            let much_later = later + ClockSpan::from_millis(20_000);
            assert_eq!(
                choose(&table, REQUEST, much_later)
                    .expect("a server")
                    .server,
                preferred
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
    assert!(choose(&table, REQUEST, START).is_some());
}

#[test]
fn leaving_and_tried_servers_are_never_chosen() {
    let mut table = table(3);
    let tried = [crate::support::server(0)];
    table.remove(&crate::support::server(1), ServerPhase::Leaving);
    let pick = choose_without(&table, REQUEST, START, &tried).expect("a server");
    assert_eq!(pick.server, crate::support::server(2));
    // A leaving server stays leaving, even if it is listed as ready.
    let mut listed = table
        .get(&crate::support::server(1))
        .expect("listed")
        .clone();
    listed.phase = ServerPhase::Ready;
    table.upsert(listed);
    let pick = choose_without(&table, REQUEST, START, &tried).expect("a server");
    assert_eq!(pick.server, crate::support::server(2));
}

#[test]
fn a_lapsed_server_serves_until_its_time() {
    let mut table = table(1);
    let until = START + ClockSpan::from_millis(1_700);
    table.remove(&crate::support::server(0), ServerPhase::Lapsed(until));
    assert!(choose(&table, REQUEST, START).is_some());
    assert!(choose(&table, REQUEST, until).is_none());
    // The entry reappears in time.
    let mut back = table.clone();
    let mut listed = back
        .get(&crate::support::server(0))
        .expect("listed")
        .clone();
    listed.phase = ServerPhase::Ready;
    back.upsert(listed);
    assert!(choose(&back, REQUEST, until).is_some());
    table.sweep(until);
    assert!(table.servers().is_empty());
}

#[test]
fn an_entry_that_disappears_long_after_an_outage_does_not_lapse() {
    let settings = LapseSettings::default();
    let last_outage = START;
    let ms = ClockSpan::from_millis;
    let phase_after_removal =
        |after: u64| settings.phase_after_removal(START + ms(after), Some(last_outage));
    // Right after the outage the entry may come back; `max_lapse` and
    // `outage_grace` limit for how long.
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
    assert_eq!(
        settings.phase_after_removal(START, None),
        ServerPhase::Leaving
    );
}

#[test]
fn cache_capacity_limits_a_server_beside_its_slots() {
    let mut table = table(2);
    let large = TestRequest {
        input: 150_000,
        ..REQUEST
    };
    for number in 0..2 {
        let entry = table
            .get_mut(&crate::support::server(number))
            .expect("listed");
        entry.begin(START, 0, 100_000);
    }
    assert!(choose(&table, large, START).is_none());
    assert!(choose(&table, REQUEST, START).is_some());
}
