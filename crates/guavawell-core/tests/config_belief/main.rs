//! Random walks of instances that follow a configuration over a store and over
//! each other: late and lost answers, restarts, rows that cannot be read, and an
//! instance that tells versions that never were.

mod world;

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
