//! The seeded load that every policy is given.

use crate::budget_fleet::SeededRandom;
use crate::scenario::Scenario;

/// Budgets; every tenth is within 5% of its end.
pub const BUDGETS: usize = 60;
/// Length of one step in milliseconds.
pub const STEP_MILLIS: u64 = 200;
/// Steps of one run: ten minutes.
pub const STEPS: usize = 3_000;
/// When a zone is cut off, when an instance crashes, and when small budgets
/// are topped up.
pub const CUT_AT: usize = 600;
pub const CRASH_AT: usize = 1_500;
pub const TOP_UP_AT: usize = 1_350;
/// Steps until the crash is acted on.
pub const TAKEOVER_AFTER: usize = 10;
/// Tokens of a budget that is far from its end.
const FULL_BUDGET: u64 = 2_600_000;
/// A budget with no more than this is near its end.
pub const NEAR_END: u64 = FULL_BUDGET / 20;
/// Tokens of a top-up.
pub const TOP_UP: u64 = NEAR_END / 2;
/// Requests a second in all zones.
const RATE: u64 = 40;

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub step: usize,
    pub zone: usize,
    pub budget: usize,
    /// Tokens reserved.
    pub worst: u64,
    /// Tokens used in the end.
    pub actual: u64,
    /// Steps that it runs.
    pub length: usize,
}

/// Whether a budget starts near its end.
pub const fn is_small(budget: usize) -> bool {
    budget.is_multiple_of(10)
}

/// The paid rest of a budget at the start.
pub const fn paid(budget: usize) -> u64 {
    if is_small(budget) {
        NEAR_END
    } else {
        FULL_BUDGET
    }
}

pub fn arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut random = SeededRandom::new(seed);
    let each_step = RATE * STEP_MILLIS / 1_000;
    let mut arrivals = Vec::new();
    for step in 0..STEPS {
        for _ in 0..each_step {
            let worst = 200 + random.below(1_800);
            arrivals.push(Arrival {
                step,
                zone: zone(scenario, &mut random),
                budget: usize::try_from(random.below(BUDGETS as u64)).unwrap_or_default(),
                worst,
                actual: worst * (20 + random.below(81)) / 100,
                length: 1 + usize::try_from(random.below(25)).unwrap_or_default(),
            });
        }
    }
    arrivals
}

fn zone(scenario: &Scenario, random: &mut SeededRandom) -> usize {
    let sum = (0..scenario.zones)
        .map(|zone| scenario.zone_weight(zone))
        .sum();
    let mut place = random.below(sum);
    for zone in 0..scenario.zones {
        let weight = scenario.zone_weight(zone);
        if place < weight {
            return zone;
        }
        place -= weight;
    }
    0
}
