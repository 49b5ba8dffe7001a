//! The seeded load that every policy is given.

use crate::budget_fleet::SeededRandom;

/// Availability zones.
pub const ZONES: usize = 3;
/// Budgets; every tenth is within 5% of its end.
pub const BUDGETS: usize = 60;
/// Length of one step in milliseconds.
pub const STEP_MILLIS: u64 = 200;
/// Steps of one run: ten minutes.
pub const STEPS: usize = 3_000;
/// When a zone is cut off, and when an instance crashes.
pub const CUT_AT: usize = 600;
pub const CRASH_AT: usize = 1_500;
/// The zone that is cut off.
pub const CUT_ZONE: usize = 2;
/// Steps until the crash is acted on.
pub const TAKEOVER_AFTER: usize = 10;
/// Tokens of a budget that is far from its end.
const FULL_BUDGET: u64 = 2_600_000;
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

/// The paid rest of a budget at the start.
pub const fn paid(budget: usize) -> u64 {
    if budget.is_multiple_of(10) {
        FULL_BUDGET / 20
    } else {
        FULL_BUDGET
    }
}

pub fn arrivals(seed: u64) -> Vec<Arrival> {
    let mut random = SeededRandom::new(seed);
    let each_step = RATE * STEP_MILLIS / 1_000;
    let mut arrivals = Vec::new();
    for step in 0..STEPS {
        for _ in 0..each_step {
            let worst = 200 + random.below(1_800);
            arrivals.push(Arrival {
                step,
                zone: usize::try_from(random.below(ZONES as u64)).unwrap_or_default(),
                budget: usize::try_from(random.below(BUDGETS as u64)).unwrap_or_default(),
                worst,
                actual: worst * (20 + random.below(81)) / 100,
                length: 1 + usize::try_from(random.below(25)).unwrap_or_default(),
            });
        }
    }
    arrivals
}
