//! Questions for changes, of which some connections never bring an answer.

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::PollTiming;

/// What a connection and an answer take.
const ANSWER_MS: u64 = 20;
/// What an answer takes at a store that is sixty times slower than usual.
const SLOW_ANSWER_MS: u64 = 240;
/// Bounds within which a change is to be in force.
const BOUNDS_MS: [u64; 3] = [2_000, 3_000, 4_000];

fn pace(bound: u64) -> PollTiming {
    PollTiming::within(ClockSpan::from_millis(bound))
}

/// How long a change takes to be known that is confirmed right after a question
/// was sent, if that connection and the ones after it, `silent` in all, never
/// bring an answer.
fn lag_ms(pace: PollTiming, silent: usize) -> u64 {
    let mut begun = 0;
    for first in (0..).step_by(2) {
        // The question itself, and the one beside it.
        if first >= silent {
            return begun + ANSWER_MS;
        }
        if first + 1 >= silent {
            return begun + pace.hedge_after().as_millis() + ANSWER_MS;
        }
        begun += pace.poll_timeout().as_millis() + pace.fault_pause(u16::MAX).as_millis();
    }
    unreachable!("a connection that works is found")
}

#[test]
fn a_silent_connection_takes_half_of_the_bound_at_most_and_two_in_a_row_all() {
    for bound in BOUNDS_MS {
        let lags = [1, 2].map(|silent| lag_ms(pace(bound), silent));
        assert!(lags[0] <= bound / 2, "{bound}: {lags:?}");
        assert!(lags[1] <= bound, "{bound}: {lags:?}");
    }
}

#[test]
fn an_answer_is_not_overdue_while_a_slow_store_gives_it_and_long_before_the_bound() {
    for bound in BOUNDS_MS {
        let pace = pace(bound);
        let oldest = 2 * (pace.wait.as_millis() + SLOW_ANSWER_MS);
        let overdue = pace.overdue_after(1).as_millis();
        assert!(oldest < overdue, "{bound}: {oldest} {overdue}");
        assert!(overdue < bound, "{bound}: {overdue}");
    }
}
