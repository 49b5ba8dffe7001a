//! Unit tests of shares, circuit breakers, relays and backoff with simulated time.

use super::BackoffPolicy;
use super::CircuitDecision;
use super::CircuitPolicy;
use super::Jitter;
use super::PlatformCircuit;
use super::PlatformRate;
use super::PlatformShare;
use super::RelayPeer;
use super::RelaySelector;
use super::SharePolicy;
use super::TakeResult;
use super::WriteClass;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

const fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

const fn span(millis: u64) -> ClockSpan {
    ClockSpan::from_millis(millis)
}

#[test]
fn waits_double_up_to_the_longest_with_jitter_over_the_upper_half() {
    let policy = BackoffPolicy {
        first: span(100),
        longest: span(1_000),
    };
    let cases = [(1, 50, 100), (2, 100, 200), (4, 400, 800), (9, 500, 1_000)];
    for (failures, least, most) in cases {
        assert_eq!(policy.wait(failures, Jitter(0)), span(least));
        assert_eq!(policy.wait(failures, Jitter(u16::MAX)), span(most));
    }
    assert_eq!(policy.wait(u32::MAX, Jitter(0)), span(500));
}

#[test]
fn a_part_of_the_burst_is_reserved_for_more_urgent_classes() {
    let policy = SharePolicy {
        rate: PlatformRate::per_second(10),
        burst: 8,
    };
    let mut share = PlatformShare::new(policy, at(0));
    let mut drain = |class| {
        let mut granted = 0;
        while share.take(class, at(0)) == TakeResult::Granted {
            granted += 1;
        }
        granted
    };
    // Each class must leave a quarter of the eight writes to each more urgent
    // class.
    let drained: Vec<u32> = WriteClass::ALL.iter().rev().map(|c| drain(*c)).collect();
    assert_eq!(drained, [2, 2, 2, 2]);
    assert_eq!(
        share.take(WriteClass::Money, at(0)),
        TakeResult::Wait(span(100))
    );
    assert_eq!(
        share.take(WriteClass::Claim, at(0)),
        TakeResult::Wait(span(300))
    );
    assert_eq!(share.take(WriteClass::Money, at(100)), TakeResult::Granted);
    assert_eq!(
        share.take(WriteClass::Claim, at(10_000)),
        TakeResult::Granted
    );
}

#[test]
fn writes_over_a_long_time_stay_within_the_share() {
    let policy = SharePolicy {
        rate: PlatformRate::per_second(20),
        burst: 40,
    };
    let mut share = PlatformShare::new(policy, at(0));
    let mut granted = 0;
    for millis in 0..60_000 {
        for class in WriteClass::ALL {
            granted += u32::from(share.take(class, at(millis)) == TakeResult::Granted);
        }
    }
    assert!(granted <= 20 * 60 + 40, "{granted}");
    assert!(granted >= 20 * 59, "{granted}");
}

#[test]
fn any_class_fits_a_burst_of_one() {
    let policy = SharePolicy {
        rate: PlatformRate::per_second(1),
        burst: 1,
    };
    for class in WriteClass::ALL {
        let mut share = PlatformShare::new(policy, at(0));
        assert_eq!(share.take(class, at(0)), TakeResult::Granted, "{class}");
    }
}

#[test]
fn a_clock_that_goes_back_gains_nothing() {
    let policy = SharePolicy {
        rate: PlatformRate::per_second(1_000),
        burst: 1,
    };
    let mut share = PlatformShare::new(policy, at(50));
    assert_eq!(share.take(WriteClass::Money, at(50)), TakeResult::Granted);
    assert!(matches!(
        share.take(WriteClass::Money, at(10)),
        TakeResult::Wait(_)
    ));
    assert!(matches!(
        share.take(WriteClass::Money, at(50)),
        TakeResult::Wait(_)
    ));
}

fn opened() -> PlatformCircuit {
    let policy = CircuitPolicy {
        failures: 2,
        ..CircuitPolicy::default()
    };
    let mut circuit = PlatformCircuit::new(policy);
    assert!(!circuit.record_failure(at(0), Jitter(0)));
    assert_eq!(circuit.admit(at(0)), CircuitDecision::Pass);
    assert!(circuit.record_failure(at(0), Jitter(0)));
    circuit
}

#[test]
fn an_open_circuit_lets_one_probe_through_at_a_time() {
    let mut circuit = opened();
    assert_eq!(circuit.admit(at(40)), CircuitDecision::Open(span(60)));
    assert_eq!(circuit.admit(at(100)), CircuitDecision::Probe);
    assert!(matches!(circuit.admit(at(100)), CircuitDecision::Open(_)));
    assert!(circuit.record_response());
    assert_eq!(circuit.admit(at(100)), CircuitDecision::Pass);
}

#[test]
fn a_failed_probe_delays_the_next_and_a_probe_without_result_times_out() {
    let mut circuit = opened();
    assert_eq!(circuit.admit(at(100)), CircuitDecision::Probe);
    assert!(!circuit.record_failure(at(100), Jitter(0)));
    assert_eq!(circuit.admit(at(200)), CircuitDecision::Open(span(100)));
    assert_eq!(circuit.admit(at(300)), CircuitDecision::Probe);
    assert_eq!(circuit.admit(at(5_299)), CircuitDecision::Open(span(1)));
    assert_eq!(circuit.admit(at(5_300)), CircuitDecision::Probe);
}

fn peers(names: &[(&str, bool)]) -> Vec<RelayPeer> {
    let peer = |(name, is_local): &(&str, bool)| RelayPeer {
        instance: name.parse().unwrap(),
        is_local: *is_local,
    };
    names.iter().map(peer).collect()
}

#[test]
fn a_request_is_offered_to_a_local_peer_and_then_to_another_zone() {
    let draws = [Jitter(0), Jitter(u16::MAX)];
    let mut selector = RelaySelector::new(BackoffPolicy::default(), CircuitPolicy::default());
    let all = peers(&[("near-1", true), ("far-1", false), ("far-2", false)]);
    let names = |selector: &mut RelaySelector, peers: &[RelayPeer], now| {
        let chosen = selector.choose(peers, at(now), draws);
        let names: Vec<String> = chosen.iter().map(ToString::to_string).collect();
        names.join(" ")
    };
    assert_eq!(names(&mut selector, &all, 0), "near-1 far-2");
    assert_eq!(names(&mut selector, &all[..1], 0), "near-1");
    assert_eq!(names(&mut selector, &[], 0), "");
    selector.record_decline(&all[0].instance, at(0), Jitter(u16::MAX));
    assert_eq!(names(&mut selector, &all, 49), "far-1 far-2");
    assert_eq!(names(&mut selector, &all[..1], 49), "");
    assert_eq!(
        names(&mut selector, &all, 50),
        "near-1 far-2",
        "asked again"
    );
    selector.record_decline(&all[0].instance, at(50), Jitter(u16::MAX));
    assert_eq!(
        names(&mut selector, &all, 149),
        "far-1 far-2",
        "not asked for longer"
    );
    selector.record_success(&all[0].instance);
    assert_eq!(names(&mut selector, &all, 149), "near-1 far-2");
    selector.record_decline(&all[0].instance, at(149), Jitter(u16::MAX));
    selector.retain_peers(&all[1..]);
    assert_eq!(
        names(&mut selector, &all, 149),
        "near-1 far-2",
        "a removed peer is forgotten"
    );
}

#[test]
fn no_peer_is_asked_after_repeated_failures_to_relay() {
    let draws = [Jitter(0), Jitter(0)];
    let many = peers(&[("a", true), ("b", true), ("c", false), ("d", false)]);
    let mut selector = RelaySelector::new(BackoffPolicy::default(), CircuitPolicy::default());
    for _ in 0..5 {
        assert_eq!(selector.choose(&many, at(0), draws).len(), 2);
        selector.record_outcome(false, at(0), Jitter(u16::MAX));
    }
    assert!(selector.choose(&many, at(199), draws).is_empty());
    assert_eq!(selector.choose(&many, at(200), draws).len(), 2, "one probe");
    assert!(
        selector.choose(&many, at(200), draws).is_empty(),
        "one probe at a time"
    );
    selector.record_outcome(true, at(200), Jitter(0));
    assert_eq!(selector.choose(&many, at(200), draws).len(), 2);
}
