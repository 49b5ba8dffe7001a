//! Searches the grant protocol for overspending: exhaustively with one instance
//! and its successors, at random with three.

mod simulation;

use std::collections::HashSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use simulation::InjectedFault;
use simulation::REQUEST;
use simulation::Simulation;
use simulation::Step;
use simulation::WriteOutcome;

/// Steps after the initial state that the exhaustive search explores.
const DEPTH: usize = 7;
/// States after which the search for an injected fault gives up.
const MAX_STATES: usize = 400_000;
/// Steps of a random walk.
const WALK_STEPS: usize = 700;
/// Random walks of which one must reveal an injected fault.
const FAULT_SEEDS: u64 = 6_000;

const STEPS: [Step; 13] = [
    Step::Request(0),
    Step::Tick,
    Step::WriteLimits(0, WriteOutcome::Answered),
    Step::WriteLimits(0, WriteOutcome::AnswerLost),
    Step::WriteLimits(0, WriteOutcome::Late),
    Step::WriteBudget(0, WriteOutcome::Answered),
    Step::WriteBudget(0, WriteOutcome::AnswerLost),
    Step::WriteBudget(0, WriteOutcome::Late),
    Step::ReadLimits(0),
    Step::ReadBudget(0),
    Step::Restart(0),
    Step::ApplyLate,
    Step::TopUp,
];

/// An instance that has started, holds a grant and has served a request.
fn started_simulation(fault: InjectedFault) -> Simulation {
    let mut simulation = Simulation::new(1, 4 * REQUEST, fault);
    for step in [
        Step::ReadLimits(0),
        Step::WriteLimits(0, WriteOutcome::Answered),
        Step::ReadBudget(0),
        Step::WriteBudget(0, WriteOutcome::Answered),
        Step::WriteLimits(0, WriteOutcome::Answered),
        Step::Tick,
        Step::Request(0),
    ] {
        simulation.step(step);
    }
    simulation
}

struct Search {
    seen: HashSet<(u64, usize)>,
    overspent: Option<Vec<Step>>,
}

impl Search {
    fn run(fault: InjectedFault, depth: usize) -> Self {
        let mut search = Self {
            seen: HashSet::new(),
            overspent: None,
        };
        search.visit(&started_simulation(fault), depth, &mut Vec::new());
        search
    }

    fn visit(&mut self, simulation: &Simulation, depth: usize, path: &mut Vec<Step>) {
        if self.overspent.is_some() || self.seen.len() >= MAX_STATES {
            return;
        }
        if simulation.spent > simulation.paid() {
            self.overspent = Some(path.clone());
            return;
        }
        if depth == 0 || !self.seen.insert((hash_of(simulation), depth)) {
            return;
        }
        for step in STEPS {
            let mut next = simulation.clone();
            if next.step(step) {
                path.push(step);
                self.visit(&next, depth - 1, path);
                path.pop();
            }
        }
    }
}

fn hash_of(simulation: &Simulation) -> u64 {
    let mut hasher = DefaultHasher::new();
    format!("{simulation:?}").hash(&mut hasher);
    hasher.finish()
}

#[test]
fn no_interleaving_of_one_instance_overspends() {
    let search = Search::run(InjectedFault::NoFault, DEPTH);
    println!("{} states", search.seen.len());
    assert_eq!(search.overspent, None);
    assert!(search.seen.len() > 10_000);
}

#[test]
fn writes_without_a_condition_are_caught() {
    assert_caught(InjectedFault::Unconditional);
}

#[test]
fn forgetting_a_lost_write_is_caught() {
    assert_caught(InjectedFault::ForgetLost);
}

#[test]
fn a_clock_that_runs_ahead_is_caught() {
    assert_caught(InjectedFault::ClockAhead);
}

#[test]
fn a_successor_with_a_stale_time_is_caught() {
    assert_caught(InjectedFault::StaleSuccessor);
}

#[test]
fn a_process_start_assumed_too_early_is_caught() {
    assert_caught(InjectedFault::EarlyStart);
}

/// Fails if neither search reveals a fault. Random walks find deep
/// interleavings that the exhaustive search does not reach.
fn assert_caught(fault: InjectedFault) {
    let deep = Search::run(fault, DEPTH).overspent.is_some();
    let caught = deep || (0..FAULT_SEEDS).any(|seed| walk(seed, fault).is_err());
    assert!(caught, "{fault:?} was not found");
}

#[test]
fn no_random_walk_of_three_instances_overspends() {
    let mut spent = 0;
    for seed in 0..400 {
        match walk(seed, InjectedFault::NoFault) {
            Ok(simulation) => spent += simulation.spent,
            Err(path) => panic!("seed {seed} overspends after {path:?}"),
        }
    }
    println!("{spent} tokens spent in all walks");
    // Instances that refuse everything would prove nothing.
    assert!(spent > 400 * 20 * REQUEST, "only {spent} tokens were spent");
}

#[test]
fn no_random_walk_overspends_while_tokens_follow_callers() {
    let mut spent = 0;
    for seed in 0..800 {
        let simulation = Simulation::following_callers(3, 60 * REQUEST, InjectedFault::NoFault);
        match walk_of(simulation, seed) {
            Ok(simulation) => spent += simulation.spent,
            Err(path) => panic!("seed {seed} overspends after {path:?}"),
        }
    }
    println!("{spent} tokens spent in all walks");
    assert!(spent > 800 * 20 * REQUEST, "only {spent} tokens were spent");
}

#[test]
fn a_walk_while_tokens_follow_callers_catches_faults() {
    for fault in [InjectedFault::Unconditional, InjectedFault::ForgetLost] {
        let caught = (0..FAULT_SEEDS).any(|seed| {
            let simulation = Simulation::following_callers(3, 60 * REQUEST, fault);
            walk_of(simulation, seed).is_err()
        });
        assert!(caught, "{fault:?} was not found");
    }
}

/// Takes random steps; returns those taken so far if the budget is overspent.
/// Most requests in a section of the walk go to the same instance, so that
/// grants move.
fn walk(seed: u64, fault: InjectedFault) -> Result<Simulation, Vec<Step>> {
    walk_of(Simulation::new(3, 60 * REQUEST, fault), seed)
}

fn walk_of(mut simulation: Simulation, seed: u64) -> Result<Simulation, Vec<Step>> {
    let mut random = fastrand::Rng::with_seed(seed);
    let instances = 3;
    let mut path = Vec::new();
    let mut busy = 0;
    for turn in 0..WALK_STEPS {
        if turn % 60 == 0 {
            busy = random.usize(..instances);
        }
        let index = random.usize(..instances);
        let asked = if random.u32(..4) == 0 { index } else { busy };
        let outcome = match random.u32(..8) {
            0 => WriteOutcome::Late,
            1 => WriteOutcome::AnswerLost,
            _ => WriteOutcome::Answered,
        };
        let step = match random.u32(..200) {
            0..80 => Step::Request(asked),
            80..90 => Step::Tick,
            90..130 => Step::WriteLimits(index, outcome),
            130..175 => Step::WriteBudget(index, outcome),
            175..180 => Step::ReadLimits(index),
            180..185 => Step::ReadBudget(index),
            185..189 => Step::Restart(index),
            189..198 => Step::ApplyLate,
            _ => Step::TopUp,
        };
        simulation.step(step);
        path.push(step);
        if simulation.spent > simulation.paid() {
            return Err(path);
        }
    }
    Ok(simulation)
}
