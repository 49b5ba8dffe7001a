//! Searches the grant protocol for overspending: exhaustively with one instance
//! and its successors, at random with three.

mod world;

use std::collections::HashSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use world::Fate;
use world::Plant;
use world::REQUEST;
use world::Step;
use world::World;

/// Steps after the world's beginning that the search goes through.
const DEPTH: usize = 7;
/// States after which the search gives up looking for a planted fault.
const MOST_STATES: usize = 400_000;
/// Steps of a random walk.
const WALK_STEPS: usize = 700;
/// Random walks among which a planted fault must show.
const PLANT_SEEDS: u64 = 6_000;

const STEPS: [Step; 13] = [
    Step::Request(0),
    Step::Tick,
    Step::WriteLines(0, Fate::Answered),
    Step::WriteLines(0, Fate::AnswerLost),
    Step::WriteLines(0, Fate::Late),
    Step::WriteBudget(0, Fate::Answered),
    Step::WriteBudget(0, Fate::AnswerLost),
    Step::WriteBudget(0, Fate::Late),
    Step::ReadLines(0),
    Step::ReadBudget(0),
    Step::Restart(0),
    Step::Land,
    Step::TopUp,
];

/// An instance that has begun and holds a grant, and has served a request.
fn begun(plant: Plant) -> World {
    let mut world = World::new(1, 4 * REQUEST, plant);
    for step in [
        Step::ReadLines(0),
        Step::WriteLines(0, Fate::Answered),
        Step::ReadBudget(0),
        Step::WriteBudget(0, Fate::Answered),
        Step::WriteLines(0, Fate::Answered),
        Step::Tick,
        Step::Request(0),
    ] {
        world.step(step);
    }
    world
}

struct Search {
    seen: HashSet<(u64, usize)>,
    overspent: Option<Vec<Step>>,
}

impl Search {
    fn run(plant: Plant, depth: usize) -> Self {
        let mut search = Self {
            seen: HashSet::new(),
            overspent: None,
        };
        search.visit(&begun(plant), depth, &mut Vec::new());
        search
    }

    fn visit(&mut self, world: &World, depth: usize, path: &mut Vec<Step>) {
        if self.overspent.is_some() || self.seen.len() >= MOST_STATES {
            return;
        }
        if world.spent > world.paid() {
            self.overspent = Some(path.clone());
            return;
        }
        if depth == 0 || !self.seen.insert((hash_of(world), depth)) {
            return;
        }
        for step in STEPS {
            let mut next = world.clone();
            if next.step(step) {
                path.push(step);
                self.visit(&next, depth - 1, path);
                path.pop();
            }
        }
    }
}

fn hash_of(world: &World) -> u64 {
    let mut hasher = DefaultHasher::new();
    format!("{world:?}").hash(&mut hasher);
    hasher.finish()
}

#[test]
fn no_interleaving_of_one_instance_overspends() {
    let search = Search::run(Plant::Sound, DEPTH);
    println!("{} states", search.seen.len());
    assert_eq!(search.overspent, None);
    assert!(search.seen.len() > 10_000);
}

#[test]
fn writes_without_a_condition_are_caught() {
    assert_caught(Plant::Unconditional);
}

#[test]
fn forgetting_a_lost_write_is_caught() {
    assert_caught(Plant::ForgetLost);
}

#[test]
fn a_clock_that_runs_ahead_is_caught() {
    assert_caught(Plant::ClockAhead);
}

#[test]
fn a_successor_with_a_stale_time_is_caught() {
    assert_caught(Plant::StaleSuccessor);
}

#[test]
fn a_start_that_is_taken_for_earlier_is_caught() {
    assert_caught(Plant::EarlyStart);
}

/// The random walk finds deep interleavings that the exhaustive search does
/// not reach; a planted fault must show in one of its seeds.
fn assert_caught(plant: Plant) {
    let deep = Search::run(plant, DEPTH).overspent.is_some();
    let caught = deep || (0..PLANT_SEEDS).any(|seed| walk(seed, plant).is_err());
    assert!(caught, "{plant:?} was not found");
}

#[test]
fn no_random_walk_of_three_instances_overspends() {
    let mut spent = 0;
    for seed in 0..400 {
        match walk(seed, Plant::Sound) {
            Ok(world) => spent += world.spent,
            Err(path) => panic!("seed {seed} overspends after {path:?}"),
        }
    }
    println!("{spent} tokens spent in all walks");
    // Nothing is proved by instances that refuse everything.
    assert!(spent > 400 * 20 * REQUEST, "only {spent} tokens were spent");
}

/// A walk of random steps; the steps so far if it overspends. Most requests of
/// a stretch of the walk meet the same instance, so that grants move.
fn walk(seed: u64, plant: Plant) -> Result<World, Vec<Step>> {
    let mut random = fastrand::Rng::with_seed(seed);
    let instances = 3;
    let mut world = World::new(instances, 60 * REQUEST, plant);
    let mut path = Vec::new();
    let mut busy = 0;
    for turn in 0..WALK_STEPS {
        if turn % 60 == 0 {
            busy = random.usize(..instances);
        }
        let index = random.usize(..instances);
        let asked = if random.u32(..4) == 0 { index } else { busy };
        let fate = match random.u32(..8) {
            0 => Fate::Late,
            1 => Fate::AnswerLost,
            _ => Fate::Answered,
        };
        let step = match random.u32(..200) {
            0..80 => Step::Request(asked),
            80..90 => Step::Tick,
            90..130 => Step::WriteLines(index, fate),
            130..175 => Step::WriteBudget(index, fate),
            175..180 => Step::ReadLines(index),
            180..185 => Step::ReadBudget(index),
            185..189 => Step::Restart(index),
            189..198 => Step::Land,
            _ => Step::TopUp,
        };
        world.step(step);
        path.push(step);
        if world.spent > world.paid() {
            return Err(path);
        }
    }
    Ok(world)
}
