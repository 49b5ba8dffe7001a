//! How many changes of budget rows an instance reads over its link.
//!
//! The load is that of 79 instances and 24 organisations: about 100 changes per
//! second of 5 KB each, over a link of 10 Mbit/s, with a time limit of 800 ms
//! for a call. An instance that polls for every change since its last complete
//! answer never gets an answer in time.

use guavawell_core::clock::ClockSpan;
use guavawell_core::grant::FollowSettings;
use guavawell_core::grant::FollowWindow;

/// Time between two polls in a fleet of that size, in milliseconds.
const INTERVAL_MS: u64 = 1_685;

/// Time limit of a call, in milliseconds.
const CALL_MS: u64 = 800;

/// A link and the changes that other instances write.
struct FollowLoad {
    bytes_per_ms: u64,
    change_bytes: u64,
    /// Time between two changes, in milliseconds.
    change_interval_ms: u64,
}

/// Totals of one minute of polls.
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
            let skipped_span = window.skipped_span(interval).as_millis();
            if skipped_span > 0 {
                since = now + skipped_span;
            }
            now += INTERVAL_MS;
            let changes = (now - since) / self.change_interval_ms;
            let took = changes * self.change_bytes / self.bytes_per_ms;
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
fn a_slow_link_stays_mostly_idle_and_every_call_is_answered() {
    let load = FollowLoad {
        bytes_per_ms: 1_250,
        change_bytes: 5_000,
        change_interval_ms: 10,
    };
    let mut window = FollowWindow::new(FollowSettings::default());
    let tally = load.replay(&mut window);
    assert_eq!(tally.unanswered, 0, "{tally:?}");
    assert!(tally.busy_ms < 60_000 / 8, "{tally:?}");
    assert!(tally.read > 500, "{tally:?}");
}

#[test]
fn a_fast_link_reads_every_change_after_adapting() {
    let load = FollowLoad {
        bytes_per_ms: 125_000,
        change_bytes: 1_000,
        change_interval_ms: 50,
    };
    let mut window = FollowWindow::new(FollowSettings::default());
    load.replay(&mut window);
    let interval = ClockSpan::from_millis(INTERVAL_MS);
    assert_eq!(window.skipped_span(interval), ClockSpan::default());
}

#[test]
fn a_failed_call_resets_the_window() {
    let mut window = FollowWindow::new(FollowSettings::default());
    let interval = ClockSpan::from_millis(INTERVAL_MS);
    for _ in 0..10 {
        window.answered(ClockSpan::default(), interval);
    }
    assert_eq!(window.skipped_span(interval), ClockSpan::default());
    window.failed();
    assert!(window.skipped_span(interval).as_millis() > INTERVAL_MS - 50);
}
