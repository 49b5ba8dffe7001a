//! Detection of a full link from slow connections.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::CongestionSettings;
use guavawell_core::forward::LinkCongestion;
use guavawell_core::number::whole;

use crate::support::START;

/// Load of one organisation's callers, as a multiple of what the link carries.
const OVERLOAD: f64 = 1.8;
/// Requests that the link carries per second.
const LINK_RATE: f64 = 150.0;
/// Length of the link's queue, in seconds of its full rate.
const QUEUE_SECONDS: f64 = 0.5;

fn later(millis: u64) -> ClockTime {
    START + ClockSpan::from_millis(millis)
}

fn span(millis: u64) -> ClockSpan {
    ClockSpan::from_millis(millis)
}

/// Simulates callers of one instance for 10 s in steps of 10 ms. A connection
/// takes as long as the queue. The callers overload the link from 2 s to 8 s;
/// if `balancer_follows`, the load returns to normal while the instance is not
/// ready. Returns the fraction of the overloaded time in which the queue was
/// full.
fn full_share(balancer_follows: bool) -> f64 {
    let mut link = LinkCongestion::new(CongestionSettings::default());
    let (mut queue, mut full, mut steps) = (0.0, 0.0, 0.0);
    for step in 0..1_000 {
        let now = later(step * 10);
        let overloaded = (200..800).contains(&step);
        let redirected = balancer_follows && link.is_full(now);
        let load = if overloaded && !redirected {
            OVERLOAD
        } else {
            0.6
        };
        queue = (queue + (load - 1.0) * LINK_RATE / 100.0).clamp(0.0, QUEUE_SECONDS * LINK_RATE);
        let waits_ms = queue / LINK_RATE * 1_000.0;
        link.answered(span(2 + whole(waits_ms)), now);
        if overloaded {
            steps += 1.0;
            full += f64::from(u8::from(queue >= QUEUE_SECONDS * LINK_RATE * 0.9));
        }
    }
    full / steps
}

#[test]
fn reporting_not_ready_relieves_a_full_link() {
    let (before, with) = (full_share(false), full_share(true));
    println!("full {before:.2} of the time, {with:.2} if it reports not ready");
    assert!(before > 0.8, "{before}");
    assert!(with < before / 2.0, "{with} of {before}");
}

#[test]
fn a_short_burst_does_not_make_the_link_full() {
    let mut link = LinkCongestion::new(CongestionSettings::default());
    for step in 0..140 {
        link.answered(span(300), later(step * 10));
        assert!(!link.is_full(later(step * 10)));
    }
}

#[test]
fn one_fast_connection_shows_that_the_link_is_not_full() {
    let mut link = LinkCongestion::new(CongestionSettings::default());
    for step in 0..200 {
        link.answered(span(300), later(step * 10));
    }
    assert!(link.is_full(later(2_000)));
    link.answered(span(3), later(2_000));
    assert!(!link.is_full(later(2_000)));
}

#[test]
fn some_slow_servers_do_not_make_the_link_full() {
    let mut link = LinkCongestion::new(CongestionSettings::default());
    for step in 0..600 {
        let took = if step % 3 == 0 { 2 } else { 900 };
        link.answered(span(took), later(step * 20));
        assert!(!link.is_full(later(step * 20)));
    }
}

#[test]
fn timeouts_count_only_after_slow_connections() {
    let mut link = LinkCongestion::new(CongestionSettings::default());
    for step in 0..300 {
        link.timed_out(later(step * 10));
        assert!(!link.is_full(later(step * 10)));
    }
    link.answered(span(300), later(3_000));
    for step in 300..500 {
        link.timed_out(later(step * 10));
    }
    assert!(link.is_full(later(5_000)));
}

#[test]
fn an_instance_without_connections_becomes_ready_again() {
    let mut link = LinkCongestion::new(CongestionSettings::default());
    for step in 0..200 {
        link.answered(span(300), later(step * 10));
    }
    assert!(link.is_full(later(2_900)));
    assert!(!link.is_full(later(3_000)));
    // A slow connection after a pause starts a new streak.
    link.answered(span(300), later(9_000));
    assert!(!link.is_full(later(9_000)));
}
