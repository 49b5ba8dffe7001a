//! Timing of polls over connections of which some never respond.

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::PollTiming;

/// Time for a connection and a response.
const RESPONSE_MS: u64 = 20;
/// Response time of a store that is sixty times slower than usual.
const SLOW_RESPONSE_MS: u64 = 240;
/// Times within which a change must be in force.
const BOUNDS_MS: [u64; 3] = [2_000, 3_000, 4_000];

fn timing(bound: u64) -> PollTiming {
    PollTiming::within(ClockSpan::from_millis(bound))
}

/// Time until a change is seen that is committed right after a poll was sent,
/// if the connections of that poll and of the next ones, `unresponsive` in all,
/// never respond.
fn propagation_ms(timing: PollTiming, unresponsive: usize) -> u64 {
    let mut started_ms = 0;
    for first in (0..).step_by(2) {
        // The poll itself, and the hedged one.
        if first >= unresponsive {
            return started_ms + RESPONSE_MS;
        }
        if first + 1 >= unresponsive {
            return started_ms + timing.hedge_after().as_millis() + RESPONSE_MS;
        }
        started_ms += timing.poll_timeout().as_millis() + timing.fault_pause(u16::MAX).as_millis();
    }
    unreachable!("some connection responds")
}

#[test]
fn one_silent_connection_delays_a_change_by_half_of_the_bound_and_two_by_all() {
    for bound in BOUNDS_MS {
        let delays = [1, 2].map(|unresponsive| propagation_ms(timing(bound), unresponsive));
        assert!(delays[0] <= bound / 2, "{bound}: {delays:?}");
        assert!(delays[1] <= bound, "{bound}: {delays:?}");
    }
}

#[test]
fn a_response_of_a_slow_store_is_not_overdue_and_a_missing_one_is_before_the_bound() {
    for bound in BOUNDS_MS {
        let timing = timing(bound);
        let oldest_age = 2 * (timing.wait.as_millis() + SLOW_RESPONSE_MS);
        let overdue_age = timing.overdue_after(1).as_millis();
        assert!(
            oldest_age < overdue_age,
            "{bound}: {oldest_age} {overdue_age}"
        );
        assert!(overdue_age < bound, "{bound}: {overdue_age}");
    }
}
