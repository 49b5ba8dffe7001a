//! Slots against two baselines, decision by decision: overspend, false
//! refusals, frozen tokens and table writes.
//!
//! ```text
//! cargo run --release -p guavawell-core --example budget_experiment
//! ```

mod baseline;
#[path = "../../tests/budget_fleet/mod.rs"]
mod budget_fleet;
mod outcome;
mod scenario;
mod slots;
mod workload;

use outcome::RunOutcome;
use scenario::Scenario;
use slots::SlotPolicy;
use workload::Arrival;
use workload::STEP_MILLIS;

/// Seeds of the runs that each line sums up.
const SEEDS: [u64; 3] = [11, 12, 13];
/// Lengths of the partition, in seconds.
const CUTS: [u64; 4] = [0, 30, 120, 360];
/// Sizes of the float, in percent of a grant.
const FLOATS: [u8; 5] = [0, 10, 25, 50, 100];

fn sum(run: impl Fn(&[Arrival], u64) -> RunOutcome) -> RunOutcome {
    let mut total = RunOutcome::default();
    for seed in SEEDS {
        total.add(run(&workload::arrivals(seed), seed));
    }
    total
}

fn cut(seconds: u64) -> Scenario {
    Scenario {
        cut_steps: usize::try_from(seconds * 1_000 / STEP_MILLIS).unwrap_or(usize::MAX),
        ..Scenario::default()
    }
}

fn compare(name: &str, scenario: &Scenario) {
    let fixed = sum(|arrivals, _| baseline::fixed_shares(arrivals, scenario));
    println!("{name:<18} {:<22} {fixed}", "fixed shares");
    let leases = sum(|arrivals, _| baseline::expiring_leases(arrivals, scenario));
    println!("{name:<18} {:<22} {leases}", "expiring leases");
    for prefers_near_witness in [false, true] {
        for float_percent in FLOATS {
            let policy = SlotPolicy {
                float_percent,
                prefers_near_witness,
            };
            let total = sum(|arrivals, seed| slots::slots(arrivals, scenario, policy, seed));
            let place = if prefers_near_witness { "near" } else { "far" };
            let label = format!("slots {place} float {float_percent}%");
            println!("{name:<18} {label:<22} {total}");
        }
    }
}

fn main() {
    println!("seeds {SEEDS:?}, sums over the seeds; writes per 1,000 requests");
    println!(
        "{:<18} {:<22} {:>8} {:>8} {:>8} {:>10} {:>10} {:>8}",
        "scenario", "policy", "requests", "refused", "false", "overspend", "frozen", "writes"
    );
    for seconds in CUTS {
        compare(&format!("cut {seconds} s"), &cut(seconds));
    }
    let crash = Scenario {
        crashes: true,
        ..Scenario::default()
    };
    compare("instance crashes", &crash);
    let death = Scenario {
        zone_dies: true,
        ..Scenario::default()
    };
    compare("zone dies", &death);
    let both = Scenario {
        crashes: true,
        ..cut(360)
    };
    compare("cut and crash", &both);
}
