//! What routers ask of a platform of 500 writes a second, and how long their
//! claims wait: fixed shares against shares of one budget of 400.
//!
//! `cargo run --release -p guavawell-core --example platform_share`

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    reason = "small numbers of a report"
)]
#![allow(dead_code, reason = "the tests use the rest of the world")]

#[path = "../../tests/platform_share/simulation.rs"]
mod simulation;

use simulation::Sharing;
use simulation::Simulation;
use simulation::WriteLoad;

const ZONES: usize = 7;
/// What a fixed share meets.
const LIMIT: u64 = 500;
const WARM_SECONDS: u64 = 60;
const SECONDS: u64 = 120;
const SEED: u64 = 11;

/// One node's part of letter 1's worst sum, in thousandths a second: claims
/// 310, refills 57 and closings of former grants 64, reports 1,298 by 390; and
/// 896 slots.
const NODE: WriteLoad = WriteLoad {
    claims: 795,
    money: 310,
    reports: 3_328,
    slots: 2_297,
};
/// The same with settled use reported after a day and segments of 20 s, by the
/// operator's hand.
const NODE_BY_HAND: WriteLoad = WriteLoad {
    reports: 0,
    slots: 574,
    ..NODE
};
/// A burst of claims at one router.
const BUSY_CLAIMS: u64 = 1_000_000;

fn main() {
    println!(
        "platform {LIMIT} writes/s, or a quarter more than a budget; {SECONDS} s after {WARM_SECONDS} s, seed {SEED}"
    );
    println!(
        "routers  share        writes/s mean  most  overloads  claims  wait ms p50   p99    most"
    );
    for routers in [6, 50, 100, 390] {
        for sharing in sharings() {
            let world = run(routers, sharing, |_| ());
            row(routers, sharing, &world);
        }
    }
    println!(
        "one router with {} claims a second among idle ones",
        BUSY_CLAIMS / 1_000
    );
    for routers in [6, 390] {
        for sharing in sharings() {
            let world = run(routers, sharing, |world| {
                world.load_all(WriteLoad::default());
                world.routers[0].load.claims = BUSY_CLAIMS;
            });
            row(routers, sharing, &world);
        }
    }
}

const fn sharings() -> [Sharing; 4] {
    [
        Sharing::Fixed(20),
        Sharing::Fixed(1),
        Sharing::Fleet(400),
        Sharing::Fleet(500),
    ]
}

fn run(routers: usize, sharing: Sharing, prepare: impl Fn(&mut Simulation)) -> Simulation {
    let (limit, load) = match sharing {
        Sharing::Fixed(1) => (LIMIT, NODE_BY_HAND),
        Sharing::Fixed(_) => (LIMIT, NODE),
        Sharing::Fleet(budget) => (budget * 5 / 4, NODE),
    };
    let mut world = Simulation::new(routers, ZONES, sharing, limit, SEED);
    world.load_all(load);
    prepare(&mut world);
    world.run(WARM_SECONDS);
    world.reset_outcome();
    world.run(SECONDS);
    world
}

fn row(routers: usize, sharing: Sharing, world: &Simulation) {
    let outcome = &world.outcome;
    println!(
        "{routers:>7}  {:<12} {:>13}  {:>4}  {:>9}  {:>6}  {:>11}  {:>5}  {:>6}  {:>11.1}",
        name(sharing),
        outcome.mean_offered(),
        outcome.max_offered(),
        outcome.overloads,
        outcome.claim_waits.len(),
        outcome.claim_wait(50),
        outcome.claim_wait(99),
        outcome.claim_wait(100),
        world.announces as f64 / (WARM_SECONDS + SECONDS) as f64,
    );
}

fn name(sharing: Sharing) -> String {
    match sharing {
        Sharing::Fixed(rate) => format!("fixed {rate}/s"),
        Sharing::Fleet(rate) => format!("of {rate}/s"),
    }
}
