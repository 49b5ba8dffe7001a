//! Which request bodies that are being received are given up for others.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ArrivingBody;
use guavawell_core::forward::BodyEnd;
use guavawell_core::forward::BodyProgress;
use guavawell_core::forward::bodies_to_end;

/// Time limit of the requests.
const TIME_LIMIT: ClockSpan = ClockSpan::from_millis(6_000);

fn at(millis: u64) -> ClockTime {
    ClockTime::default() + ClockSpan::from_millis(millis)
}

/// A body that began at zero, with what had been received at some times.
fn body(size: usize, states_length: bool, received: &[(u64, usize)]) -> ArrivingBody {
    let mut progress = BodyProgress::new(at(0));
    for (time, bytes) in received {
        progress.note_received(*bytes, at(*time));
    }
    ArrivingBody {
        size,
        states_length,
        time_limit: TIME_LIMIT,
        progress,
    }
}

/// A body of a stated length of which a byte arrives each half second.
fn slow() -> ArrivingBody {
    body(300_000, true, &[(1, 1), (500, 2), (1_000, 3), (1_500, 4)])
}

/// Bodies that arrive as fast as their time limit asks for, and faster.
fn proper() -> [ArrivingBody; 3] {
    let steady: Vec<_> = (1..=20)
        .map(|step| (step * 100, 5_500 * usize::try_from(step).expect("a number")))
        .collect();
    [
        body(300_000, true, &steady),
        body(4_000_000, true, &[(1_900, 3_900_000), (1_999, 3_950_000)]),
        body(100, true, &[(500, 20), (1_000, 40), (1_500, 60)]),
    ]
}

// Guards against a few callers that send slowly and keep the memory for all bodies.
#[test]
fn bodies_that_arrive_too_slowly_go_first() {
    let bodies = [slow(), proper()[0], slow()];
    let ended = bodies_to_end(&bodies, 400_000, at(2_000));
    assert_eq!(ended, [(0, BodyEnd::TooSlow), (2, BodyEnd::TooSlow)]);
    assert_eq!(bodies_to_end(&bodies, 1, at(2_000)).len(), 1);
}

#[test]
fn a_body_that_stopped_half_way_is_too_slow() {
    let stopped = body(4_000_000, true, &[(10, 2_000_000)]);
    assert!(!stopped.is_too_slow(at(400)));
    assert!(stopped.is_too_slow(at(4_100)));
    let chunked = body(2_000_000, false, &[(10, 1_000_000), (400, 2_000_000)]);
    assert!(!chunked.is_too_slow(at(499)));
}

// Bytes that come just after each measurement must not look like progress.
#[test]
fn a_byte_now_and_then_is_no_progress() {
    for now in 500..4_000 {
        let bytes = (1..=now / 100).map(|step| (step * 100, usize::try_from(step).expect("few")));
        let bytes: Vec<_> = bytes.collect();
        let body = body(300_000, true, &bytes);
        assert!(body.is_too_slow(at(now)), "{now}");
    }
}

#[test]
fn bodies_that_arrive_in_time_are_kept() {
    let bodies = proper();
    for body in &bodies {
        assert!(!body.is_too_slow(at(2_000)), "{body:?}");
    }
    assert_eq!(bodies_to_end(&bodies, 1, at(2_000)), []);
}

// A body has to have had time to arrive.
#[test]
fn a_body_that_has_just_begun_is_kept() {
    let body = body(4_000_000, true, &[]);
    assert_eq!(bodies_to_end(&[body], 1, at(499)), []);
}

// Nothing was reserved for a body that states no length.
#[test]
fn bodies_without_a_length_yield_the_costliest_first() {
    let bodies = [
        body(100_000, false, &[(1_900, 60_000), (1_990, 100_000)]),
        proper()[1],
        body(900_000, false, &[(1_900, 600_000), (1_990, 900_000)]),
    ];
    let ended = bodies_to_end(&bodies, 300_000, at(2_000));
    assert_eq!(ended, [(2, BodyEnd::Displaced)]);
}

#[test]
fn nobody_is_given_up_in_vain() {
    let bodies = [slow(), proper()[1]];
    assert_eq!(bodies_to_end(&bodies, 300_001, at(2_000)), []);
    assert_eq!(bodies_to_end(&[], 1, at(2_000)), []);
}
