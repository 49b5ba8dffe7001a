//! What an instance reads of the budgets' changes, replayed against a link.
//!
//! 79 instances, 24 organisations: about 100 changes a second, 5 KB each, over a
//! link that carries 10 Mbit/s; a call may take 800 ms. Asked for everything
//! since its last whole answer, the store never answered in time.

use guavawell_core::clock::ClockSpan;
use guavawell_core::grant::FollowSettings;
use guavawell_core::grant::FollowWindow;

/// Time between two questions of a fleet of that size, in milliseconds.
const INTERVAL_MS: u64 = 1_685;

/// Longest time of a call, in milliseconds.
const CALL_MS: u64 = 800;

/// A link and what other instances write.
struct FollowLoad {
    bytes_a_ms: u64,
    change_bytes: u64,
    /// Milliseconds between two changes.
    change_every: u64,
}

/// What a minute of questions came to.
#[derive(Debug, Default)]
struct FollowTally {
    busy_ms: u64,
    read: u64,
    unanswered: u64,
}

impl FollowLoad {
    fn replay(&self, window: &mut FollowWindow) -> FollowTally {
        let interval = ClockSpan::from_millis(INTERVAL_MS);
        let mut tally = FollowTally::default();
        let mut now = 0;
        let mut since = 0;
        while now < 60_000 {
            let passed_over = window.passed_over(interval).as_millis();
            if passed_over > 0 {
                since = now + passed_over;
            }
            now += INTERVAL_MS;
            let changes = (now - since) / self.change_every;
            let took = changes * self.change_bytes / self.bytes_a_ms;
            if took > CALL_MS {
                window.failed();
                tally.unanswered += 1;
                tally.busy_ms += CALL_MS;
                now += CALL_MS;
                continue;
            }
            window.answered(ClockSpan::from_millis(took), interval);
            tally.busy_ms += took;
            tally.read += changes;
            since = now;
            now += took;
        }
        tally
    }
}

#[test]
fn a_small_link_is_kept_free_and_every_question_answered() {
    let load = FollowLoad {
        bytes_a_ms: 1_250,
        change_bytes: 5_000,
        change_every: 10,
    };
    let mut window = FollowWindow::new(FollowSettings::default());
    let tally = load.replay(&mut window);
    assert_eq!(tally.unanswered, 0, "{tally:?}");
    assert!(tally.busy_ms < 60_000 / 8, "{tally:?}");
    assert!(tally.read > 500, "{tally:?}");
}

#[test]
fn a_link_that_carries_everything_misses_nothing_once_it_knows() {
    let load = FollowLoad {
        bytes_a_ms: 125_000,
        change_bytes: 1_000,
        change_every: 50,
    };
    let mut window = FollowWindow::new(FollowSettings::default());
    load.replay(&mut window);
    let interval = ClockSpan::from_millis(INTERVAL_MS);
    assert_eq!(window.passed_over(interval), ClockSpan::default());
}

#[test]
fn an_answer_that_never_came_is_not_asked_for_again() {
    let mut window = FollowWindow::new(FollowSettings::default());
    let interval = ClockSpan::from_millis(INTERVAL_MS);
    for _ in 0..10 {
        window.answered(ClockSpan::default(), interval);
    }
    assert_eq!(window.passed_over(interval), ClockSpan::default());
    window.failed();
    assert!(window.passed_over(interval).as_millis() > INTERVAL_MS - 50);
}
