//! Waits for connections: dead servers and a full link.

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::ConnectPace;
use guavawell_core::forward::ConnectSettings;

const SETTINGS: ConnectSettings = ConnectSettings {
    least: ClockSpan::from_millis(250),
    most: ClockSpan::from_millis(1_000),
    ignored: 2,
};

/// Plays tries that each take so long to be answered, or for ever; returns how
/// many were answered within their limit.
fn answered(tries: impl Iterator<Item = Option<u64>>) -> usize {
    let mut pace = ConnectPace::default();
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
    let mut pace = ConnectPace::default();
    for number in 0..300 {
        assert!(pace.limit(&SETTINGS) <= SETTINGS.least);
        match number % 3 {
            0 => pace.timed_out(),
            _ => pace.answered(ClockSpan::from_millis(2)),
        }
    }
}

#[test]
fn the_limit_is_bounded_and_back_after_a_quick_answer() {
    let mut pace = ConnectPace::default();
    for _ in 0..1_000 {
        pace.timed_out();
        assert!(pace.limit(&SETTINGS) <= SETTINGS.most);
    }
    assert_eq!(pace.limit(&SETTINGS), SETTINGS.most);
    pace.answered(ClockSpan::from_millis(2));
    assert_eq!(pace.limit(&SETTINGS), SETTINGS.least);
}
