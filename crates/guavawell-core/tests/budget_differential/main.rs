//! Differential tests: random runs of several zones against one global
//! ledger that sees everything.

#[path = "../budget_fleet/mod.rs"]
mod budget_fleet;
mod check;
mod ledger;
mod seen;
mod step;

use guavawell_core::clock::ClockSpan;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;

use ledger::Differential;
use seen::AnswerKinds;
use step::FleetStep;
use step::fleet_step;

/// Former holders report running attempts at their worst case after this.
const SHORT_WAIT: ClockSpan = ClockSpan::from_millis(20_000);
/// Former holders wait for every outcome, so that sums are exact.
const ENDLESS_WAIT: ClockSpan = ClockSpan::from_millis(1_000_000_000);
/// Cases of each property; the seed is fixed.
const CASES: u32 = 300;

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(0x6d6f_6e65_7931))]

    #[test]
    fn nothing_is_overspent_or_billed_twice(
        seed in 1..1_000_u64,
        float_percent in prop_oneof![Just(0_u8), Just(10), Just(50), Just(100)],
        steps in proptest::collection::vec(fleet_step(), 1..150),
    ) {
        let mut differential = Differential::new(seed, float_percent, SHORT_WAIT);
        for step in &steps {
            differential.apply(step);
        }
        differential.finish();
        differential.check_covered();
    }

    #[test]
    fn without_losses_the_rows_equal_the_global_ledger(
        seed in 1..1_000_u64,
        float_percent in prop_oneof![Just(0_u8), Just(10), Just(50), Just(100)],
        steps in proptest::collection::vec(fleet_step(), 1..150),
    ) {
        let mut differential = Differential::new(seed, float_percent, ENDLESS_WAIT);
        let is_kind = |step: &&FleetStep| {
            !matches!(step, FleetStep::Crash(_) | FleetStep::Seize(_))
        };
        for step in steps.iter().filter(is_kind) {
            differential.apply(step);
        }
        differential.finish();
        differential.check_equal();
    }
}

/// A slot seized as if its grants had lapsed spends them a second time.
#[test]
fn planted_lease_expiry_is_found() {
    let mut runner = TestRunner::new(ProptestConfig {
        max_shrink_iters: 0,
        ..config(0x6d6f_6e65_7933)
    });
    let steps = proptest::collection::vec(fleet_step(), 1..150);
    let found = runner.run(&steps, |steps| {
        let mut differential = Differential::new(1, 25, SHORT_WAIT);
        differential.fleet.plants_lease_expiry = true;
        for step in &steps {
            differential.apply(step);
        }
        Ok(())
    });
    assert!(found.is_err());
}

/// The random runs reach what they are meant to test.
#[test]
fn random_runs_reach_every_kind_of_answer() {
    let mut runner = TestRunner::new(config(0x6d6f_6e65_7932));
    let steps = proptest::collection::vec(fleet_step(), 150);
    let mut kinds = AnswerKinds::default();
    for seed in 1..100 {
        let steps = steps.new_tree(&mut runner).unwrap().current();
        let mut differential = Differential::new(seed, 25, SHORT_WAIT);
        for step in &steps {
            differential.apply(step);
        }
        differential.finish();
        kinds.add(&differential.kinds);
    }
    println!("{kinds:?}");
    assert!(kinds.witnessed > 1_000 && kinds.float > 50 && kinds.exhausted > 50);
    assert!(kinds.joined > 50 && kinds.billed > 50 && kinds.unreachable > 50);
    assert!(kinds.carried > 10 && kinds.frozen > 10);
}
