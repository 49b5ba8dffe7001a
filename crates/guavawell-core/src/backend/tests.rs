//! Every interleaving of a few threads over the count of requests in flight.

use loom::sync::Arc;
use loom::thread;

use super::flight::FlightCount;
use crate::atomic::AtomicU64;
use crate::atomic::Ordering;
use crate::atomic::explore;
use crate::clock::ClockTime;

/// A full turn of the history, in milliseconds.
const TURN: u64 = 6_400;

const fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

#[test]
fn no_request_in_flight_is_counted_twice_or_forgotten() {
    explore("two begin, one finishes", || {
        let flight = Arc::new(FlightCount::default());
        let other = Arc::clone(&flight);
        let other = thread::spawn(move || {
            other.begin(at(1_000));
            other.finish(at(1_100));
        });
        flight.begin(at(1_000));
        other.join().unwrap();
        assert_eq!(flight.current(), 1);
        assert_eq!(flight.at(at(999), at(1_100)), 0);
        assert_eq!(flight.at(at(1_050), at(1_100)), 2);
    });
}

#[test]
fn threads_that_turn_a_bucket_over_together_both_count() {
    explore("two begin in a bucket of a turn ago", || {
        let flight = Arc::new(FlightCount::default());
        flight.begin(at(1_000));
        let other = Arc::clone(&flight);
        let other = thread::spawn(move || other.begin(at(1_000 + TURN)));
        flight.begin(at(1_000 + TURN));
        other.join().unwrap();
        assert_eq!(flight.current(), 3);
        assert_eq!(flight.at(at(900 + TURN), at(1_000 + TURN)), 1);
    });
}

#[test]
fn a_thread_paused_for_a_turn_leaves_the_newer_bucket_alone() {
    explore("a late writer of a turn ago", || {
        let flight = Arc::new(FlightCount::default());
        let other = Arc::clone(&flight);
        let late = thread::spawn(move || other.begin(at(1_000)));
        flight.begin(at(1_000 + TURN));
        late.join().unwrap();
        assert_eq!(flight.current(), 2);
        assert_eq!(flight.at(at(900 + TURN), at(1_000 + TURN)), 1);
    });
}

/// The planted fault: a bucket turned over by a read and a write.
#[test]
#[should_panic(expected = "a request was forgotten")]
fn a_bucket_changed_in_two_steps_is_caught() {
    explore("planted: bucket in two steps", || {
        let bucket = Arc::new(AtomicU64::new(0));
        let other = Arc::clone(&bucket);
        let change = |cell: &AtomicU64| {
            let net = cell.load(Ordering::Relaxed);
            cell.store(net + 1, Ordering::Relaxed);
        };
        let other = thread::spawn(move || change(&other));
        change(&bucket);
        other.join().unwrap();
        assert_eq!(bucket.load(Ordering::Relaxed), 2, "a request was forgotten");
    });
}
