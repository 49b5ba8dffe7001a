//! Compares backend choice with round robin and least reported load, and
//! measures fairness, the retry budget and the cost of a choice.
//!
//! `cargo run --release -p guavawell-core --example routing_compare`

mod cost;
mod engine;
mod sample;
mod subset;
mod ways;
mod world;

use guavawell_core::limits::RetryBudget;
use guavawell_core::limits::RetrySettings;

use self::sample::LatencySamples;
use self::sample::RandomDraws;
use self::world::ChoicePolicy;
use self::world::ExperimentWorld;
use self::world::SpillSetup;
use self::world::WorldFault;
use self::world::WorldSetup;

/// Requests a second that one full engine completes.
const ENGINE_RATE: f64 = 6.1;
/// Routers of a small fleet.
const ROUTERS: usize = 6;
const POLICIES: [ChoicePolicy; 3] = [
    ChoicePolicy::RoundRobin,
    ChoicePolicy::LeastReported,
    ChoicePolicy::Guavawell,
];
const FAULTS: [WorldFault; 4] = [
    WorldFault::None,
    WorldFault::SlowServer,
    WorldFault::Leaving,
    WorldFault::ZoneLost,
];

fn main() {
    if std::env::args().any(|word| word == "subsets") {
        return subset::compare_subsets();
    }
    if std::env::args().any(|word| word == "ways") {
        return ways::compare_ways();
    }
    if std::env::args().any(|word| word == "spills") {
        return subset::compare_spills();
    }
    println!("first token ms p50 p95 p99 | token ms p50 p95 p99 | refused, late work");
    compare_policies(20, 4);
    compare_policies(10, 3);
    for engines in [4, 5, 6, 8] {
        compare_loads(engines, 1, WorldFault::SlowServer, &[0.5, 0.8]);
    }
    compare_fairness();
    compare_equals();
    compare_retries();
    ways::compare_ways();
    subset::compare_subsets();
    subset::compare_spills();
    print_cost();
}

/// Prints the time of a choice by number of backend servers.
pub(crate) fn print_cost() {
    cost::print_cost();
}

fn compare_policies(engines: usize, zones: usize) {
    for fault in FAULTS {
        compare_loads(engines, zones, fault, &[0.5, 0.8, 0.95]);
    }
}

fn compare_loads(engines: usize, zones: usize, fault: WorldFault, loads: &[f64]) {
    for &load in loads {
        for policy in POLICIES {
            let rate = ENGINE_RATE * f64::from(u32::try_from(engines).expect("small"));
            let setup = WorldSetup {
                policy,
                fault,
                engines,
                zones,
                routers: ROUTERS,
                subset: 0,
                spill: SpillSetup::default(),
                rates: vec![rate * load],
            };
            let result = ExperimentWorld::run(setup);
            let label = format!("{engines} {fault:?} {load} {policy:?}");
            let first = result.first_token[0].summary();
            let between = result.between.summary();
            let (refused, late) = (result.refused[0], result.late_work);
            println!("{label:<34} | {first} | {between} | {refused} {late}");
        }
    }
}

/// Two organisations with equal shares: the small one offers a fifth of its
/// share, the large one ten times its share.
fn compare_fairness() {
    let share = ENGINE_RATE * 20.0 / 2.0;
    for policy in POLICIES {
        for rates in [vec![share / 5.0], vec![share / 5.0, share * 10.0]] {
            let others = rates.len() - 1;
            let setup = WorldSetup {
                policy,
                fault: WorldFault::None,
                engines: 20,
                zones: 4,
                routers: ROUTERS,
                subset: 0,
                spill: SpillSetup::default(),
                rates,
            };
            let result = ExperimentWorld::run(setup);
            let samples = &result.first_token[0];
            let (first, served) = (samples.summary(), samples.0.len());
            let large = result.first_token.get(1).map_or(0, |large| large.0.len());
            let refused = result.refused[0];
            println!(
                "fairness {policy:?}, {others} large: small's first token ms {first}, served {served}, refused {refused}, large's served {large}"
            );
        }
    }
}

/// Four organisations that offer the same: fairness must not cost refusals.
fn compare_equals() {
    for load in [0.8, 0.95, 1.1] {
        let setup = WorldSetup {
            policy: ChoicePolicy::Guavawell,
            fault: WorldFault::None,
            engines: 20,
            zones: 4,
            routers: ROUTERS,
            subset: 0,
            spill: SpillSetup::default(),
            rates: vec![ENGINE_RATE * 20.0 * load / 4.0; 4],
        };
        let result = ExperimentWorld::run(setup);
        let firsts = result.first_token.iter().map(LatencySamples::summary);
        let firsts = firsts.collect::<Vec<_>>().join(" |");
        let served: usize = result.first_token.iter().map(|first| first.0.len()).sum();
        let refused: u64 = result.refused.iter().sum();
        println!(
            "four equal at {load}: first token ms {firsts}, served {served}, refused {refused}"
        );
    }
}

/// Attempts per request in a brown-out in which nine of ten attempts fail.
fn compare_retries() {
    for budgeted in [false, true] {
        let budget = RetryBudget::new(RetrySettings::default());
        let mut draws = RandomDraws(11);
        let (requests, mut attempts) = (20_000_u32, 0_u32);
        for _ in 0..requests {
            for _ in 0..4 {
                attempts += 1;
                if draws.below(10) == 0 {
                    budget.deposit();
                    break;
                }
                if budgeted && !budget.withdraw() {
                    break;
                }
            }
        }
        let factor = f64::from(attempts) / f64::from(requests);
        println!("brown-out, retry budget {budgeted}: {factor:.2} attempts per request");
    }
}
