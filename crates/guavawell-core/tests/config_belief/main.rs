//! Random walks of instances that follow a configuration over a store and over
//! each other: late and lost answers, restarts, rows that cannot be read, and an
//! instance that tells versions that never were.

mod world;

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::VersionTracker;

use world::Plant;
use world::World;

/// Walks of the sound rules.
const SEEDS: u64 = 3_000;
/// Walks among which a planted fault must show.
const PLANT_SEEDS: u64 = 3_000;
/// Steps of a walk.
const STEPS: usize = 300;

fn walk(seed: u64, plant: Plant) -> Result<(), String> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut world = World::new(plant);
    for step in 0..STEPS {
        world.step(&mut random);
        world
            .check()
            .map_err(|broken| format!("seed {seed}, step {step}: {broken}"))?;
    }
    Ok(())
}

#[test]
fn what_is_in_force_is_never_older_again_and_its_age_is_true() {
    for seed in 0..SEEDS {
        if let Err(broken) = walk(seed, Plant::None) {
            panic!("{broken}");
        }
    }
}

#[test]
fn each_planted_fault_is_found() {
    for plant in [
        Plant::CountsFromReading,
        Plant::HandsOnHearsay,
        Plant::TakesOlder,
        Plant::PassesOverUnreadable,
        Plant::KeepsFalseVersion,
    ] {
        let found = (0..PLANT_SEEDS).any(|seed| walk(seed, plant).is_err());
        assert!(found, "{plant:?} was not found");
    }
}

const fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

const OVERDUE: ClockSpan = ClockSpan::from_millis(1_700);
/// Time after a question at which its answer is due.
const DUE: ClockSpan = ClockSpan::from_millis(750);

#[test]
fn after_a_pause_requests_wait_until_a_question_sent_since_is_answered() {
    let mut belief = VersionTracker::default();
    belief.store_answered(1, 1, at(1_000), at(1_005));
    assert!(!belief.age().is_awaited(OVERDUE, at(2_000)));
    // The process does not run from 1,010 to 5,000; the answer to the question
    // from before is read first.
    assert!(belief.age().is_awaited(OVERDUE, at(5_000)));
    belief.store_unchanged(at(1_010), at(5_001));
    assert!(belief.age().is_awaited(OVERDUE, at(5_001)));
    belief.store_unchanged(at(5_001), at(5_006));
    assert!(!belief.age().is_awaited(OVERDUE, at(5_006)));
}

#[test]
fn while_the_store_is_known_to_be_away_no_request_waits() {
    let mut belief = VersionTracker::default();
    belief.store_answered(1, 1, at(1_000), at(1_005));
    // The process ran, and the next question has no answer when it should.
    belief.age_mut().unanswered(at(1_505), DUE, at(2_255));
    assert!(!belief.age().is_awaited(OVERDUE, at(3_000)));
    assert!(!belief.age().is_awaited(OVERDUE, at(90_000)));
    // It is back, and lost again later; the first wait then is in vain.
    belief.store_unchanged(at(90_000), at(90_005));
    assert!(belief.age().is_awaited(OVERDUE, at(93_000)));
    belief.age_mut().wait_timed_out();
    assert!(!belief.age().is_awaited(OVERDUE, at(93_000)));
}

#[test]
fn what_others_knew_last_has_nobody_wait_for_a_store_that_is_away() {
    let mut belief = VersionTracker::default();
    belief.store_answered(1, 1, at(1_000), at(1_005));
    belief.age_mut().unanswered(at(1_505), DUE, at(2_255));
    // Another instance had its last answer a little later.
    let age = ClockSpan::from_millis(2_700);
    belief.instance_answered(1, age, at(4_000), at(4_005));
    assert_eq!(belief.age().at(at(4_000)), Some(age));
    assert!(!belief.age().is_awaited(OVERDUE, at(4_005)));
}

#[test]
fn a_question_that_nobody_listened_for_says_nothing_of_the_store() {
    let mut belief = VersionTracker::default();
    belief.store_answered(1, 1, at(1_000), at(1_005));
    // The process does not run from 1,600 to 5,000.
    belief.age_mut().unanswered(at(1_505), DUE, at(5_000));
    assert!(belief.age().is_awaited(OVERDUE, at(5_000)));
}
