//! Waits for connections: dead servers and a full link.

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::ConnectSettings;
use guavawell_core::forward::ConnectTimeout;

const SETTINGS: ConnectSettings = ConnectSettings {
    min_timeout: ClockSpan::from_millis(250),
    max_timeout: ClockSpan::from_millis(1_000),
    ignored_failures: 2,
};

/// Plays tries that each take so long to be answered, or for ever; returns how
/// many were answered within their limit.
fn answered(tries: impl Iterator<Item = Option<u64>>) -> usize {
    let mut pace = ConnectTimeout::default();
    let mut count = 0;
    for took in tries {
        let limit = pace.limit(&SETTINGS).as_millis();
        if took.is_some_and(|took| took <= limit) {
            pace.answered(ClockSpan::from_millis(took.unwrap_or(0)));
            count += 1;
        } else {
            pace.timed_out();
        }
    }
    count
}

#[test]
fn a_full_link_slows_connections_and_ends_none_for_long() {
    // Opening packets wait 400 ms behind request bodies: the limit that finds a
    // dead server would make no connection at all.
    let served = answered((0..100).map(|_| Some(400)));
    assert!(served >= 90, "{served} of 100");
}

#[test]
fn a_third_of_the_servers_dead_leaves_the_limit_as_it_is() {
    let mut pace = ConnectTimeout::default();
    for number in 0..300 {
        assert!(pace.limit(&SETTINGS) <= SETTINGS.min_timeout);
        match number % 3 {
            0 => pace.timed_out(),
            _ => pace.answered(ClockSpan::from_millis(2)),
        }
    }
}

#[test]
fn the_limit_is_bounded_and_back_after_a_quick_answer() {
    let mut pace = ConnectTimeout::default();
    for _ in 0..1_000 {
        pace.timed_out();
        assert!(pace.limit(&SETTINGS) <= SETTINGS.max_timeout);
    }
    assert_eq!(pace.limit(&SETTINGS), SETTINGS.max_timeout);
    pace.answered(ClockSpan::from_millis(2));
    assert_eq!(pace.limit(&SETTINGS), SETTINGS.min_timeout);
}
