//! Slots against two baselines, decision by decision: overspend, false
//! refusals and their causes, frozen tokens and table writes.
//!
//! ```text
//! cargo run --release -p guavawell-core --example budget_experiment
//! ```
//!
//! With a word as its argument it runs the scenarios whose name holds it.

mod baseline;
mod bound;
#[path = "../../tests/budget_fleet/mod.rs"]
mod budget_fleet;
mod outcome;
mod scenario;
mod slots;
mod workload;

use std::env;
use std::thread;

use guavawell_core::budget::HolderSettings;
use guavawell_core::clock::ClockSpan;

use bound::RestSplit;
use outcome::RunOutcome;
use scenario::Scenario;
use slots::SlotPolicy;
use workload::Arrival;

/// Seeds of the runs that each line sums up.
const SEEDS: [u64; 3] = [11, 12, 13];
/// Lengths of the partition, in seconds.
const CUTS: [u64; 4] = [0, 30, 120, 360];

/// Runs the seeds side by side and sums them up.
fn sum(scenario: &Scenario, run: impl Fn(&[Arrival], u64) -> RunOutcome + Sync) -> RunOutcome {
    let run = &run;
    let runs: Vec<RunOutcome> = thread::scope(|scope| {
        let threads =
            SEEDS.map(|seed| scope.spawn(move || run(&workload::arrivals(scenario, seed), seed)));
        let ended = threads.map(|thread| thread.join().expect("a run"));
        ended.into()
    });
    let mut total = RunOutcome::default();
    for run in &runs {
        total.add(run);
    }
    total
}

fn print(name: &str, policy: &str, outcome: &RunOutcome) {
    println!("{name:<18} {policy:<22} {outcome}");
    if !outcome.classes.is_empty() {
        println!("{:<18} {}", "", outcome.class_line());
    }
}

fn print_baselines(name: &str, scenario: &Scenario) {
    let fixed = sum(scenario, |arrivals, _| {
        baseline::fixed_shares(arrivals, scenario)
    });
    print(name, "fixed shares", &fixed);
    let leases = sum(scenario, |arrivals, _| {
        baseline::expiring_leases(arrivals, scenario)
    });
    print(name, "expiring leases", &leases);
    if scenario.cuts.is_empty() || scenario.crashes || scenario.zone_dies {
        return;
    }
    for (policy, split) in [
        ("bound: hindsight", RestSplit::Hindsight),
        ("bound: rates known", RestSplit::Rates),
    ] {
        let best = sum(scenario, |arrivals, _| {
            bound::bound(arrivals, scenario, split)
        });
        print(name, policy, &best);
    }
}

/// Sizes of the float: the least percent of a grant, the minutes of use that
/// it covers, and the most percent.
const FLOATS: [(u8, u64, u8); 5] = [(0, 0, 0), (5, 2, 10), (5, 2, 25), (5, 6, 50), (5, 6, 100)];

fn policies() -> Vec<(String, SlotPolicy)> {
    let mut policies = Vec::new();
    for prefers_near_witness in [false, true] {
        for (least, minutes, most) in FLOATS {
            let place = if prefers_near_witness { "near" } else { "far" };
            let policy = SlotPolicy {
                settings: HolderSettings {
                    float_percent: least,
                    float_cover: ClockSpan::from_millis(minutes * 60_000),
                    float_percent_most: most,
                    ..HolderSettings::default()
                },
                prefers_near_witness,
            };
            let label = format!("{place} {least}-{most}% {minutes} min");
            policies.push((label, policy));
        }
    }
    policies
}

fn compare(name: &str, scenario: &Scenario) {
    if env::args().nth(1).is_some_and(|word| !name.contains(&word)) {
        return;
    }
    print_baselines(name, scenario);
    for (label, policy) in policies() {
        let total = sum(scenario, |arrivals, seed| {
            slots::slots(arrivals, scenario, &policy, seed)
        });
        print(name, &label, &total);
    }
}

fn scenarios() -> Vec<(String, Scenario)> {
    let base = Scenario::default();
    let mut scenarios: Vec<(String, Scenario)> = CUTS
        .iter()
        .map(|seconds| (format!("cut {seconds} s"), base.clone().cut(*seconds)))
        .collect();
    let crash = Scenario {
        crashes: true,
        ..base.clone()
    };
    let death = Scenario {
        zone_dies: true,
        ..base.clone()
    };
    let wide = Scenario {
        zones: 7,
        ..base.clone()
    };
    let skewed = Scenario {
        skewed: true,
        ..base.clone()
    };
    let sharded = Scenario {
        shards: 2,
        ..crash.clone()
    };
    let slow = Scenario {
        table_lag: ClockSpan::from_millis(1_000),
        ..base.clone()
    };
    let topped = Scenario {
        tops_up: true,
        ..base.clone()
    };
    let more = [
        ("instance crashes", crash.clone()),
        ("zone dies", death),
        ("cut and crash", crash.cut(360)),
        ("two cuts", base.cut(120).cut_again(120)),
        ("top-up, cut", topped.cut(360)),
        ("skew, no cut", skewed.clone()),
        ("skew, cut", skewed.cut(360)),
        ("7 zones, no cut", wide.clone()),
        ("7 zones, cut", wide.cut(360)),
        ("2 slots, crash", sharded),
        ("slow table", slow.clone()),
        ("slow table, cut", slow.cut(120)),
    ];
    scenarios.extend(more.map(|(name, scenario)| (name.to_owned(), scenario)));
    scenarios
}

fn main() {
    println!("seeds {SEEDS:?}, sums over the seeds; writes per 1,000 requests");
    println!(
        "{:<18} {:<22} {:>8} {:>8} {:>8} {:>10} {:>10} {:>8}",
        "scenario", "policy", "requests", "refused", "false", "overspend", "frozen", "writes"
    );
    for (name, scenario) in scenarios() {
        compare(&name, &scenario);
    }
}
