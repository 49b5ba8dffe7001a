//! What an instance holds for clients that it does not control, and whom it gives up.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ClientLimits;
use guavawell_core::forward::ClientSettings;
use guavawell_core::forward::ClientWait;
use guavawell_core::forward::HeldHead;
use guavawell_core::forward::InstanceCapacity;
use guavawell_core::forward::head_to_drop;
use guavawell_core::forward::wait_to_end;

const MEGABYTE: usize = 1024 * 1024;
/// Longest time for a head, and idle time of a connection.
const HEAD_TIME: ClockSpan = ClockSpan::from_millis(3_000);
const IDLE_TIME: ClockSpan = ClockSpan::from_millis(15_000);

fn at(millis: u64) -> ClockTime {
    ClockTime::default() + ClockSpan::from_millis(millis)
}

fn limits(memory: Option<usize>, descriptors: Option<usize>) -> ClientLimits {
    let capacity = InstanceCapacity {
        memory,
        descriptors,
        ..InstanceCapacity::default()
    };
    ClientLimits::new(&ClientSettings::default(), &capacity)
}

#[test]
fn the_limits_leave_room_for_all_else_at_each_size() {
    let settings = ClientSettings::default();
    for memory in [64 * MEGABYTE, 88 * MEGABYTE, 4_096 * MEGABYTE] {
        for descriptors in [200, 4_200, 100_000] {
            let limits = limits(Some(memory), Some(descriptors));
            // Each caller's request needs a connection to a server.
            let taken = 2 * limits.callers + limits.probes + limits.strangers;
            assert!(taken <= descriptors, "{descriptors}: {limits:?}");
            let unread = limits.callers * settings.receive_buffer * 3 / 2;
            assert!(unread + limits.head_bytes <= memory / 2, "{limits:?}");
            assert!(limits.callers >= 8 && limits.probes >= 8 && limits.strangers >= 8);
        }
    }
}

#[test]
fn a_larger_instance_takes_more_clients() {
    let small = limits(Some(64 * MEGABYTE), Some(4_200));
    let large = limits(Some(4_096 * MEGABYTE), Some(100_000));
    assert!(small.callers < large.callers);
    assert!(small.head_bytes < large.head_bytes);
    assert_eq!(
        limits(Some(4_096 * MEGABYTE), Some(200)).callers,
        200 * 40 / 100
    );
}

// Settings without memory or descriptors do not mean that there is none.
#[test]
fn an_instance_that_states_nothing_takes_thousands_of_clients() {
    let limits = limits(None, None);
    assert!(limits.callers >= 5_000, "{limits:?}");
}

fn waiting(since: u64, limit: ClockSpan) -> ClientWait {
    ClientWait {
        since: at(since),
        limit,
    }
}

#[test]
fn the_client_that_has_used_most_of_its_time_goes_first() {
    // One is served, one was idle for a third of its limit, one has used half of the time
    // for its head, one has just come.
    let waits = [
        None,
        Some(waiting(0, IDLE_TIME)),
        Some(waiting(3_500, HEAD_TIME)),
        Some(waiting(4_999, HEAD_TIME)),
    ];
    assert_eq!(wait_to_end(waits.into_iter(), at(5_000)), Some(2));
    let idle = [waits[0], waits[1], waits[3]];
    assert_eq!(wait_to_end(idle.into_iter(), at(5_000)), Some(1));
}

#[test]
fn the_idlest_goes_and_not_the_newest() {
    let waits = [9, 3, 7, 3].map(|since| Some(waiting(since, HEAD_TIME)));
    assert_eq!(wait_to_end(waits.into_iter(), at(10)), Some(1));
    // All came in the same millisecond.
    let waits = [10; 4].map(|since| Some(waiting(since, HEAD_TIME)));
    assert_eq!(wait_to_end(waits.into_iter(), at(10)), Some(0));
}

#[test]
fn requests_that_are_served_are_never_given_up() {
    assert_eq!(wait_to_end([None, None].into_iter(), at(10)), None);
}

#[test]
fn the_head_that_took_most_for_longest_goes_first() {
    let head = |bytes, since| {
        Some(HeldHead {
            bytes,
            since: at(since),
        })
    };
    let heads = [
        None,
        head(16_000, 990),
        head(16_000, 100),
        head(100, 0),
        head(500, 1_000),
    ];
    assert_eq!(head_to_drop(heads.into_iter(), at(1_000)), Some(2));
    assert_eq!(head_to_drop([None].into_iter(), at(1_000)), None);
}
