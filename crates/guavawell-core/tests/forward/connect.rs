//! Timeouts of connections to dead servers and over a full link.

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::ConnectSettings;
use guavawell_core::forward::ConnectTimeout;

const SETTINGS: ConnectSettings = ConnectSettings {
    min_timeout: ClockSpan::from_millis(250),
    max_timeout: ClockSpan::from_millis(1_000),
    ignored_failures: 2,
};

/// Simulates attempts, given the time that each takes to connect, or `None` for
/// a dead server. Returns how many connect within their timeout.
fn count_connected(attempts: impl Iterator<Item = Option<u64>>) -> usize {
    let mut timeout = ConnectTimeout::default();
    let mut count = 0;
    for took in attempts {
        let limit = timeout.limit(&SETTINGS).as_millis();
        if took.is_some_and(|took| took <= limit) {
            timeout.answered(ClockSpan::from_millis(took.unwrap_or(0)));
            count += 1;
        } else {
            timeout.timed_out();
        }
    }
    count
}

#[test]
fn the_timeout_grows_until_connections_over_a_full_link_succeed() {
    // Replies to SYNs wait 400 ms behind request bodies. With the timeout that
    // detects a dead server, no connection would succeed.
    let connected = count_connected((0..100).map(|_| Some(400)));
    assert!(connected >= 90, "{connected} of 100");
}

#[test]
fn a_third_of_the_servers_dead_does_not_raise_the_timeout() {
    let mut timeout = ConnectTimeout::default();
    for number in 0..300 {
        assert!(timeout.limit(&SETTINGS) <= SETTINGS.min_timeout);
        match number % 3 {
            0 => timeout.timed_out(),
            _ => timeout.answered(ClockSpan::from_millis(2)),
        }
    }
}

#[test]
fn the_timeout_is_bounded_and_falls_after_a_fast_connection() {
    let mut timeout = ConnectTimeout::default();
    for _ in 0..1_000 {
        timeout.timed_out();
        assert!(timeout.limit(&SETTINGS) <= SETTINGS.max_timeout);
    }
    assert_eq!(timeout.limit(&SETTINGS), SETTINGS.max_timeout);
    timeout.answered(ClockSpan::from_millis(2));
    assert_eq!(timeout.limit(&SETTINGS), SETTINGS.min_timeout);
}
