//! The platform's share, circuit and waits, by their own clock.

use super::BackoffPolicy;
use super::CarrierBook;
use super::CarrierPeer;
use super::CircuitAnswer;
use super::CircuitPolicy;
use super::Jitter;
use super::PlatformCircuit;
use super::SharePolicy;
use super::WriteAnswer;
use super::WriteClass;
use super::WriteShare;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

const fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

const fn span(millis: u64) -> ClockSpan {
    ClockSpan::from_millis(millis)
}

#[test]
fn waits_double_up_to_the_longest_and_spread_over_half() {
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
fn urgent_classes_find_what_the_others_must_leave() {
    let policy = SharePolicy {
        per_second: 10,
        burst: 8,
    };
    let mut share = WriteShare::new(policy, at(0));
    let mut drain = |class| {
        let mut granted = 0;
        while share.take(class, at(0)) == WriteAnswer::Granted {
            granted += 1;
        }
        granted
    };
    // Of eight writes, each class leaves a quarter more to those before it.
    let drained: Vec<u32> = WriteClass::ALL.iter().rev().map(|c| drain(*c)).collect();
    assert_eq!(drained, [2, 2, 2, 2]);
    assert_eq!(
        share.take(WriteClass::Money, at(0)),
        WriteAnswer::Wait(span(100))
    );
    assert_eq!(
        share.take(WriteClass::Claim, at(0)),
        WriteAnswer::Wait(span(300))
    );
    assert_eq!(share.take(WriteClass::Money, at(100)), WriteAnswer::Granted);
    assert_eq!(
        share.take(WriteClass::Claim, at(10_000)),
        WriteAnswer::Granted
    );
}

#[test]
fn writes_over_a_long_time_stay_within_the_share() {
    let policy = SharePolicy {
        per_second: 20,
        burst: 40,
    };
    let mut share = WriteShare::new(policy, at(0));
    let mut granted = 0;
    for millis in 0..60_000 {
        for class in WriteClass::ALL {
            granted += u32::from(share.take(class, at(millis)) == WriteAnswer::Granted);
        }
    }
    assert!(granted <= 20 * 60 + 40, "{granted}");
    assert!(granted >= 20 * 59, "{granted}");
}

#[test]
fn any_class_fits_a_burst_of_one() {
    let policy = SharePolicy {
        per_second: 1,
        burst: 1,
    };
    for class in WriteClass::ALL {
        let mut share = WriteShare::new(policy, at(0));
        assert_eq!(share.take(class, at(0)), WriteAnswer::Granted, "{class}");
    }
}

#[test]
fn a_clock_that_goes_back_gains_nothing() {
    let policy = SharePolicy {
        per_second: 1_000,
        burst: 1,
    };
    let mut share = WriteShare::new(policy, at(50));
    assert_eq!(share.take(WriteClass::Money, at(50)), WriteAnswer::Granted);
    assert!(matches!(
        share.take(WriteClass::Money, at(10)),
        WriteAnswer::Wait(_)
    ));
    assert!(matches!(
        share.take(WriteClass::Money, at(50)),
        WriteAnswer::Wait(_)
    ));
}

fn opened() -> PlatformCircuit {
    let policy = CircuitPolicy {
        failures: 2,
        ..CircuitPolicy::default()
    };
    let mut circuit = PlatformCircuit::new(policy);
    assert!(!circuit.failed(at(0), Jitter(0)));
    assert_eq!(circuit.admit(at(0)), CircuitAnswer::Pass);
    assert!(circuit.failed(at(0), Jitter(0)));
    circuit
}

#[test]
fn an_open_circuit_lets_one_probe_through_at_a_time() {
    let mut circuit = opened();
    assert_eq!(circuit.admit(at(40)), CircuitAnswer::Open(span(60)));
    assert_eq!(circuit.admit(at(100)), CircuitAnswer::Probe);
    assert!(matches!(circuit.admit(at(100)), CircuitAnswer::Open(_)));
    assert!(circuit.answered());
    assert_eq!(circuit.admit(at(100)), CircuitAnswer::Pass);
}

#[test]
fn a_failed_probe_waits_longer_and_a_vanished_one_is_given_up() {
    let mut circuit = opened();
    assert_eq!(circuit.admit(at(100)), CircuitAnswer::Probe);
    assert!(!circuit.failed(at(100), Jitter(0)));
    assert_eq!(circuit.admit(at(200)), CircuitAnswer::Open(span(100)));
    assert_eq!(circuit.admit(at(300)), CircuitAnswer::Probe);
    assert_eq!(circuit.admit(at(5_299)), CircuitAnswer::Open(span(1)));
    assert_eq!(circuit.admit(at(5_300)), CircuitAnswer::Probe);
}

fn peers(names: &[(&str, bool)]) -> Vec<CarrierPeer> {
    let peer = |(name, is_near): &(&str, bool)| CarrierPeer {
        instance: name.parse().unwrap(),
        is_near: *is_near,
    };
    names.iter().map(peer).collect()
}

#[test]
fn an_exchange_is_offered_to_a_near_peer_and_then_elsewhere() {
    let draws = [Jitter(0), Jitter(u16::MAX)];
    let mut book = CarrierBook::new(BackoffPolicy::default());
    let all = peers(&[("near-1", true), ("far-1", false), ("far-2", false)]);
    let names = |book: &CarrierBook, peers: &[CarrierPeer], now| {
        let chosen = book.choose(peers, at(now), draws);
        let names: Vec<String> = chosen.iter().map(ToString::to_string).collect();
        names.join(" ")
    };
    assert_eq!(names(&book, &all, 0), "near-1 far-2");
    assert_eq!(names(&book, &all[..1], 0), "near-1");
    assert_eq!(names(&book, &[], 0), "");
    book.declined(&all[0].instance, at(0), Jitter(u16::MAX));
    assert_eq!(names(&book, &all, 49), "far-1 far-2");
    assert_eq!(names(&book, &all[..1], 49), "");
    assert_eq!(names(&book, &all, 50), "near-1 far-2", "asked again");
    book.declined(&all[0].instance, at(50), Jitter(u16::MAX));
    assert_eq!(names(&book, &all, 149), "far-1 far-2", "left alone longer");
    book.carried(&all[0].instance);
    assert_eq!(names(&book, &all, 149), "near-1 far-2");
    book.declined(&all[0].instance, at(149), Jitter(u16::MAX));
    book.keep(&all[1..]);
    assert_eq!(names(&book, &all, 149), "near-1 far-2", "a new life");
}
