//! A simulated fleet refuses the request that crashes servers and no other one
//! while servers, racks and instances fail. Each injected fault breaks this.

use crate::simulation::InjectedFault;
use crate::simulation::Outcome;
use crate::simulation::Scenario;
use crate::simulation::run_scenario;

const SEEDS: u64 = 120;
/// Most attempts of the crashing request after all instances know of it.
const MAX_LATE: usize = 3;

fn run_all_seeds(scenario: Scenario) -> Vec<Outcome> {
    (0..SEEDS)
        .map(|seed| run_scenario(scenario, seed))
        .collect()
}

fn meets_bounds(outcome: &Outcome) -> bool {
    outcome.late <= MAX_LATE && outcome.refused == 0
}

fn assert_meets_bounds(scenario: Scenario) {
    for (seed, outcome) in run_all_seeds(scenario).iter().enumerate() {
        assert!(meets_bounds(outcome), "seed {seed}: {outcome:?}");
        assert!(outcome.answered > 100, "seed {seed}: {outcome:?}");
    }
}

fn assert_fault_detected(scenario: Scenario) {
    let caught = run_all_seeds(scenario)
        .iter()
        .any(|outcome| !meets_bounds(outcome));
    assert!(caught, "no seed shows it");
}

/// One request that crashes servers among hundreds of others.
const CRASHER: Scenario = Scenario {
    fault: InjectedFault::NoFault,
    crasher_ms: 400,
    popular_ms: 30,
    harmless_ms: 25,
    crash_ms: 0,
    rack_ms: 0,
    restart_ms: 0,
    popular_from_ms: 0,
    rack_at_ms: 0,
    length_ms: 40_000,
};

/// A request that has just become popular when a rack fails, so that no answer
/// to it has reset its crashes yet.
const NEWLY_POPULAR: Scenario = Scenario {
    crasher_ms: 0,
    popular_ms: 15,
    popular_from_ms: 3_500,
    rack_at_ms: 3_700,
    ..CRASHER
};

#[test]
fn a_request_that_crashes_servers_is_stopped_among_hundreds_of_others() {
    assert_meets_bounds(CRASHER);
}

#[test]
fn a_request_that_crashes_servers_is_stopped_while_racks_fail_and_instances_restart() {
    assert_meets_bounds(Scenario {
        rack_ms: 8_000,
        restart_ms: 3_000,
        ..CRASHER
    });
}

#[test]
fn a_request_that_crashes_servers_slowly_is_stopped() {
    assert_meets_bounds(Scenario {
        crasher_ms: 6_000,
        restart_ms: 5_000,
        length_ms: 200_000,
        ..CRASHER
    });
}

#[test]
fn a_popular_request_is_served_while_a_sixth_of_the_servers_crash() {
    assert_meets_bounds(Scenario {
        crasher_ms: 0,
        popular_ms: 20,
        crash_ms: 1_500,
        restart_ms: 5_000,
        ..CRASHER
    });
}

#[test]
fn a_popular_request_is_served_while_racks_fail_one_after_the_other() {
    assert_meets_bounds(Scenario {
        crasher_ms: 0,
        popular_ms: 20,
        rack_ms: 3_000,
        ..CRASHER
    });
}

#[test]
fn a_request_that_has_just_become_popular_is_served_when_a_rack_fails() {
    assert_meets_bounds(NEWLY_POPULAR);
}

#[test]
fn an_answer_that_clears_nothing_is_caught() {
    assert_fault_detected(Scenario {
        fault: InjectedFault::AnswerClearsNothing,
        crasher_ms: 0,
        popular_ms: 20,
        crash_ms: 1_500,
        ..CRASHER
    });
}

#[test]
fn unpublished_suspicions_are_caught() {
    assert_fault_detected(Scenario {
        fault: InjectedFault::NothingPublished,
        ..CRASHER
    });
}

#[test]
fn rows_that_are_not_stored_are_caught() {
    assert_fault_detected(Scenario {
        fault: InjectedFault::RowsNotStored,
        restart_ms: 400,
        length_ms: 120_000,
        ..CRASHER
    });
}
