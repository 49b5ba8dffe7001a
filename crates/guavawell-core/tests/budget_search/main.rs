//! Exhaustive search over small interleavings of holder, witness and table.
//!
//! The search drives the real state machines. Each planted fault leaves one
//! rule of the protocol out and has to be found.

mod plant;
mod world;

use std::collections::HashSet;

use plant::PlantedFault;
use world::World;
use world::WorldLimits;
use world::WorldStep;
use world::digest;

/// What a search found.
struct SearchOutcome {
    states: usize,
    is_whole: bool,
    broken: Option<(&'static str, Vec<WorldStep>)>,
}

/// How a state was reached.
struct SearchNode {
    parent: usize,
    step: Option<WorldStep>,
}

fn search(start: World, most: usize) -> SearchOutcome {
    let mut seen = HashSet::from([digest(&start)]);
    let mut nodes = vec![SearchNode {
        parent: 0,
        step: None,
    }];
    let mut level = vec![(0, start)];
    while !level.is_empty() {
        let mut next = Vec::new();
        for (parent, world) in level {
            for step in world.steps() {
                let mut after = world.clone();
                after.apply(step);
                if !seen.insert(digest(&after)) {
                    continue;
                }
                let broken = after.broken();
                nodes.push(SearchNode {
                    parent,
                    step: Some(step),
                });
                if let Some(promise) = broken {
                    let trace = trace(&nodes);
                    return outcome(&seen, true, Some((promise, trace)));
                }
                if seen.len() >= most {
                    return outcome(&seen, false, None);
                }
                next.push((nodes.len() - 1, after));
            }
        }
        level = next;
    }
    outcome(&seen, true, None)
}

fn outcome(
    seen: &HashSet<u64>,
    is_whole: bool,
    broken: Option<(&'static str, Vec<WorldStep>)>,
) -> SearchOutcome {
    SearchOutcome {
        states: seen.len(),
        is_whole,
        broken,
    }
}

fn trace(nodes: &[SearchNode]) -> Vec<WorldStep> {
    let mut steps = Vec::new();
    let mut place = nodes.len() - 1;
    while let Some(step) = nodes[place].step {
        steps.push(step);
        place = nodes[place].parent;
    }
    steps.reverse();
    steps
}

fn holds(name: &str, start: World, most: usize) {
    let found = search(start, most_by_hand().unwrap_or(most));
    let extent = if found.is_whole { "all" } else { "first" };
    println!("{name}: {extent} {} states", found.states);
    assert!(found.broken.is_none(), "{name}: {:?}", found.broken);
}

fn most_by_hand() -> Option<usize> {
    std::env::var("GUAVAWELL_SEARCH_STATES")
        .ok()
        .and_then(|text| text.parse().ok())
}

fn is_found(start: World) {
    let plant = start.plant;
    let found = search(start, MOST_PLANTED);
    println!(
        "{plant:?}: {:?} after {} states",
        found.broken, found.states
    );
    assert!(found.broken.is_some(), "{plant:?} was not found");
}

/// States visited by a search that must hold.
///
/// `GUAVAWELL_SEARCH_STATES` asks for more by hand.
const MOST_HOLDING: usize = 40_000;
/// Covers every state of the search over changes of witness.
const MOST_CHANGES: usize = 200_000;
/// States visited before a planted fault counts as not found.
const MOST_PLANTED: usize = 200_000;

const TAKEOVER: WorldLimits = WorldLimits {
    asks: 1,
    ticks: 0,
    crashes: 0,
    witness_changes: 0,
    takeovers: 1,
    settles: 0,
    repeats: 0,
    joins: 0,
    agains: 0,
    releases: 0,
    lapses: 0,
};

const CHANGE: WorldLimits = WorldLimits {
    witness_changes: 1,
    ..TAKEOVER
};

/// Request 0 is released at any holder and asked for by other attempts.
const RELEASES: WorldLimits = WorldLimits {
    asks: 0,
    ticks: 1,
    repeats: 2,
    releases: 2,
    ..TAKEOVER
};

/// A second attempt of a new request, whose first one may be asked again.
const JOINS: WorldLimits = WorldLimits {
    ticks: 1,
    joins: 1,
    agains: 1,
    ..TAKEOVER
};

#[test]
fn takeover_keeps_every_promise() {
    let left = WorldLimits {
        asks: 2,
        ticks: 1,
        settles: 1,
        repeats: 1,
        ..TAKEOVER
    };
    holds(
        "takeover",
        World::new(PlantedFault::None, left),
        MOST_HOLDING,
    );
}

#[test]
fn last_tokens_are_spent_once() {
    let left = WorldLimits {
        asks: 5,
        ..TAKEOVER
    };
    holds(
        "last tokens",
        World::new(PlantedFault::None, left),
        MOST_HOLDING,
    );
}

#[test]
fn two_takeovers_keep_every_promise() {
    let left = WorldLimits {
        takeovers: 2,
        ..CHANGE
    };
    holds(
        "two takeovers",
        World::new(PlantedFault::None, left),
        MOST_HOLDING,
    );
}

#[test]
fn changes_of_witness_keep_every_promise() {
    let left = WorldLimits {
        witness_changes: 2,
        ..CHANGE
    };
    let world = World::with_late_ack(PlantedFault::None, left);
    holds("changes of witness", world, MOST_CHANGES);
}

#[test]
fn crashes_keep_every_promise() {
    let left = WorldLimits {
        crashes: 2,
        settles: 1,
        ticks: 1,
        ..CHANGE
    };
    holds(
        "crashes",
        World::new(PlantedFault::None, left),
        MOST_HOLDING,
    );
}

#[test]
fn an_answered_release_is_never_joined() {
    holds(
        "releases",
        World::new(PlantedFault::None, RELEASES),
        MOST_HOLDING,
    );
}

#[test]
fn a_joined_attempt_runs() {
    holds("joins", World::new(PlantedFault::None, JOINS), MOST_HOLDING);
}

#[test]
fn releases_and_joins_keep_every_promise_through_a_change_of_witness() {
    let left = WorldLimits {
        releases: 1,
        witness_changes: 1,
        ..JOINS
    };
    holds(
        "releases and joins",
        World::new(PlantedFault::None, left),
        MOST_HOLDING,
    );
}

#[test]
fn a_release_before_its_acknowledgement_is_found() {
    is_found(World::new(PlantedFault::EarlyRelease, RELEASES));
}

#[test]
fn a_join_before_the_acknowledgement_is_found() {
    is_found(World::new(PlantedFault::EarlyJoin, JOINS));
}

#[test]
fn lease_expiry_is_found() {
    let left = WorldLimits {
        lapses: 1,
        ..TAKEOVER
    };
    is_found(World::new(PlantedFault::LeaseExpiry, left));
}

#[test]
fn renaming_before_the_ledger_is_found() {
    is_found(World::new(PlantedFault::RenameBeforeLedger, CHANGE));
}

#[test]
fn handover_without_pause_is_found() {
    is_found(World::new(PlantedFault::HandoverWithoutPause, CHANGE));
}

#[test]
fn late_ack_is_found() {
    is_found(World::with_late_ack(PlantedFault::LateAck, CHANGE));
}

#[test]
fn restarted_witness_that_answers_is_found() {
    let left = WorldLimits {
        crashes: 1,
        ..TAKEOVER
    };
    is_found(World::new(PlantedFault::RestartedWitnessAnswers, left));
}

#[test]
fn takeover_without_stop_is_found() {
    is_found(World::new(PlantedFault::TakeoverWithoutStop, TAKEOVER));
}

#[test]
fn takeover_that_returns_the_float_is_found() {
    let left = WorldLimits {
        asks: 4,
        ticks: 1,
        ..TAKEOVER
    };
    is_found(World::new(PlantedFault::TakeoverReturnsFloat, left));
}

#[test]
fn missing_epoch_rise_is_found() {
    is_found(World::with_late_ack(PlantedFault::NoEpochRise, CHANGE));
}

/// The search found this one in an earlier version of the witness: a late
/// handover revived a ledger that the witness had taken over before.
#[test]
fn forgotten_epoch_is_found() {
    let left = WorldLimits {
        witness_changes: 2,
        ..CHANGE
    };
    is_found(World::with_late_ack(PlantedFault::ForgottenEpoch, left));
}
