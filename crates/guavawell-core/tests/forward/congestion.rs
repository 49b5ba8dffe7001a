//! A full link, told by connections that take long.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::CongestionSettings;
use guavawell_core::forward::LinkCongestion;
use guavawell_core::number::whole;

use crate::support::START;

/// Load of one organisation's callers, as a multiple of what the link carries.
const PRESSED: f64 = 1.8;
/// Requests that the link carries in a second.
const CARRIED: f64 = 150.0;
/// Length of the queue before the link, in seconds of what it carries.
const QUEUE: f64 = 0.5;

fn later(millis: u64) -> ClockTime {
    START + ClockSpan::from_millis(millis)
}

fn span(millis: u64) -> ClockSpan {
    ClockSpan::from_millis(millis)
}

/// Plays callers before one instance for so many seconds, in steps of 10 ms: a
/// connection waits as long as the queue is. Callers press from 2 to 8 s; where
/// the instance is not ready, those beyond the usual go elsewhere. Returns the
/// share of the pressed seconds in which the queue was full.
fn full_share(heeded: bool) -> f64 {
    let mut link = LinkCongestion::new(CongestionSettings::default());
    let (mut queue, mut full, mut steps) = (0.0, 0.0, 0.0);
    for step in 0..1_000 {
        let now = later(step * 10);
        let pressed = (200..800).contains(&step);
        let away = heeded && link.is_full(now);
        let load = if pressed && !away { PRESSED } else { 0.6 };
        queue = (queue + (load - 1.0) * CARRIED / 100.0).clamp(0.0, QUEUE * CARRIED);
        let waits_ms = queue / CARRIED * 1_000.0;
        link.connected(span(2 + whole(waits_ms)), now);
        if pressed {
            steps += 1.0;
            full += f64::from(u8::from(queue >= QUEUE * CARRIED * 0.9));
        }
    }
    full / steps
}

#[test]
fn callers_that_are_sent_elsewhere_leave_the_link_open() {
    let (before, with) = (full_share(false), full_share(true));
    println!("full {before:.2} of the time, {with:.2} where it is not ready");
    assert!(before > 0.8, "{before}");
    assert!(with < before / 2.0, "{with} of {before}");
}

#[test]
fn a_short_burst_sends_nobody_away() {
    let mut link = LinkCongestion::new(CongestionSettings::default());
    for step in 0..140 {
        link.connected(span(300), later(step * 10));
        assert!(!link.is_full(later(step * 10)));
    }
}

#[test]
fn one_quick_connection_shows_that_the_link_is_not_full() {
    let mut link = LinkCongestion::new(CongestionSettings::default());
    for step in 0..200 {
        link.connected(span(300), later(step * 10));
    }
    assert!(link.is_full(later(2_000)));
    link.connected(span(3), later(2_000));
    assert!(!link.is_full(later(2_000)));
}

#[test]
fn servers_of_which_some_are_slow_do_not_count() {
    let mut link = LinkCongestion::new(CongestionSettings::default());
    for step in 0..600 {
        let took = if step % 3 == 0 { 2 } else { 900 };
        link.connected(span(took), later(step * 20));
        assert!(!link.is_full(later(step * 20)));
    }
}

#[test]
fn dead_servers_alone_say_nothing_and_after_slow_connections_they_do() {
    let mut link = LinkCongestion::new(CongestionSettings::default());
    for step in 0..300 {
        link.late(later(step * 10));
        assert!(!link.is_full(later(step * 10)));
    }
    link.connected(span(300), later(3_000));
    for step in 300..500 {
        link.late(later(step * 10));
    }
    assert!(link.is_full(later(5_000)));
}

#[test]
fn an_instance_that_nobody_asks_is_ready_again() {
    let mut link = LinkCongestion::new(CongestionSettings::default());
    for step in 0..200 {
        link.connected(span(300), later(step * 10));
    }
    assert!(link.is_full(later(2_900)));
    assert!(!link.is_full(later(3_000)));
    // A slow one after a while begins anew.
    link.connected(span(300), later(9_000));
    assert!(!link.is_full(later(9_000)));
}
