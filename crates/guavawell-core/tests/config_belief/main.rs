//! Random simulations of instances that follow the configuration through the
//! store and through each other, with late and lost responses, restarts, rows
//! that cannot be decoded, and an instance that sends versions that never
//! existed.

mod world;

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::VersionTracker;

use world::FleetWorld;
use world::InjectedFault;

/// Number of simulations without a fault.
const SEEDS: u64 = 3_000;
/// Number of simulations among which an injected fault must be found.
const FAULT_SEEDS: u64 = 3_000;
/// Steps of a simulation.
const STEPS: usize = 300;

fn run_seed(seed: u64, fault: InjectedFault) -> Result<(), String> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut world = FleetWorld::new(fault);
    for step in 0..STEPS {
        world.step(&mut random);
        world
            .check()
            .map_err(|violation| format!("seed {seed}, step {step}: {violation}"))?;
    }
    Ok(())
}

#[test]
fn the_version_in_force_never_goes_back_and_its_age_is_correct() {
    for seed in 0..SEEDS {
        if let Err(broken) = run_seed(seed, InjectedFault::None) {
            panic!("{broken}");
        }
    }
}

#[test]
fn each_injected_fault_is_found() {
    for fault in [
        InjectedFault::CountsAgeFromReceipt,
        InjectedFault::SendsUnconfirmed,
        InjectedFault::AppliesOlder,
        InjectedFault::IgnoresUnreadable,
        InjectedFault::KeepsFalseVersion,
    ] {
        let found = (0..FAULT_SEEDS).any(|seed| run_seed(seed, fault).is_err());
        assert!(found, "{fault:?} was not found");
    }
}

const fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

const OVERDUE_AGE: ClockSpan = ClockSpan::from_millis(1_700);
/// Time after a poll within which its response is due.
const RESPONSE_DUE: ClockSpan = ClockSpan::from_millis(750);

#[test]
fn after_a_suspension_requests_wait_for_the_response_to_a_newer_poll() {
    let mut tracker = VersionTracker::default();
    tracker.store_answered(1, 1, at(1_000), at(1_005));
    assert!(!tracker.age().is_awaited(OVERDUE_AGE, at(2_000)));
    // The process is suspended from 1,010 to 5,000. When it resumes, it first
    // reads the response to the poll from before.
    assert!(tracker.age().is_awaited(OVERDUE_AGE, at(5_000)));
    tracker.store_unchanged(at(1_010), at(5_001));
    assert!(tracker.age().is_awaited(OVERDUE_AGE, at(5_001)));
    tracker.store_unchanged(at(5_001), at(5_006));
    assert!(!tracker.age().is_awaited(OVERDUE_AGE, at(5_006)));
}

#[test]
fn no_request_waits_while_the_store_is_known_not_to_respond() {
    let mut tracker = VersionTracker::default();
    tracker.store_answered(1, 1, at(1_000), at(1_005));
    // The process was running when the next poll timed out.
    tracker
        .age_mut()
        .unanswered(at(1_505), RESPONSE_DUE, at(2_255));
    assert!(!tracker.age().is_awaited(OVERDUE_AGE, at(3_000)));
    assert!(!tracker.age().is_awaited(OVERDUE_AGE, at(90_000)));
    // The store responds again, and stops again later; the first request to
    // wait then waits until its timeout.
    tracker.store_unchanged(at(90_000), at(90_005));
    assert!(tracker.age().is_awaited(OVERDUE_AGE, at(93_000)));
    tracker.age_mut().wait_timed_out();
    assert!(!tracker.age().is_awaited(OVERDUE_AGE, at(93_000)));
}

#[test]
fn data_from_another_instance_does_not_make_requests_wait_for_the_store() {
    let mut tracker = VersionTracker::default();
    tracker.store_answered(1, 1, at(1_000), at(1_005));
    tracker
        .age_mut()
        .unanswered(at(1_505), RESPONSE_DUE, at(2_255));
    // The last response that another instance got came a little later.
    let age = ClockSpan::from_millis(2_700);
    tracker.instance_answered(1, age, at(4_000), at(4_005));
    assert_eq!(tracker.age().at(at(4_000)), Some(age));
    assert!(!tracker.age().is_awaited(OVERDUE_AGE, at(4_005)));
}

#[test]
fn a_timeout_during_a_suspension_does_not_mark_the_store_unreachable() {
    let mut tracker = VersionTracker::default();
    tracker.store_answered(1, 1, at(1_000), at(1_005));
    // The process is suspended from 1,600 to 5,000.
    tracker
        .age_mut()
        .unanswered(at(1_505), RESPONSE_DUE, at(5_000));
    assert!(tracker.age().is_awaited(OVERDUE_AGE, at(5_000)));
}
