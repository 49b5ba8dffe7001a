//! Admission under bursts and under long overload, on a virtual clock.
//!
//! `cargo run --release -p guavawell-core --example admission_burst`

mod caller;
mod engine;
mod router;
mod sample;
mod setup;
mod world;

use self::setup::BurstSetup;
use self::setup::EngineSetup;
use self::setup::SteadyCallers;
use self::world::BurstWorld;

/// Tokens of a mean answer at the size of letter 1.
const STREAM_TOKENS: u64 = 316;
/// Tokens of a mean answer under overload: 2.5 s at an engine.
const SHORT_TOKENS: u64 = 80;
/// Milliseconds that an engine needs for an answer of so many tokens.
const STREAM_MS: f64 = 9_580.0;
const SHORT_MS: f64 = 2_500.0;
const PATIENT: u64 = 120_000;

fn main() {
    bursts();
    for load in [0.9, 1.1, 1.5, 3.0] {
        for tries in [1, 4] {
            overload(load, tries);
        }
    }
}

fn bursts() {
    println!(
        "bursts: refused (while a slot was free) | first token ms p50 p95 max | most waiting at an engine"
    );
    for (count, slots) in [(2, 4_096), (20, 64), (20, 16)] {
        for (name, used, reports, slowness) in [
            ("free", 0.0, true, 1),
            ("nearly full", 0.93, true, 1),
            ("no reports", 0.0, false, 1),
            ("one slow", 0.5, true, 4),
        ] {
            let engines = EngineSetup {
                count,
                slots,
                reports,
                slowness,
            };
            for routers in [2, 6] {
                for burst in [60, 300, 1_200] {
                    run_burst(name, used, engines.clone(), routers, burst);
                }
            }
        }
    }
}

fn slots(engines: &EngineSetup) -> f64 {
    let number = u32::try_from(engines.count * engines.slots);
    f64::from(number.expect("small"))
}

fn run_burst(name: &str, used: f64, engines: EngineSetup, routers: usize, burst: usize) {
    let rate = slots(&engines) * used * 1_000.0 / STREAM_MS;
    let steady = SteadyCallers { rate, tries: 1 };
    let label = format!(
        "{}x{} {name}, {routers} routers, {burst}",
        engines.count, engines.slots
    );
    let result = BurstWorld::run(BurstSetup {
        routers,
        engines,
        steady: if used > 0.0 { vec![steady] } else { Vec::new() },
        burst,
        tokens: STREAM_TOKENS,
        span: 80_000,
        patience: PATIENT,
    });
    let own = result.organisations.last().expect("the burst");
    let [p50, p95, most] = [50, 95, 100].map(|percent| own.first_token.percentile(percent));
    let others = &result.organisations[..result.organisations.len() - 1];
    let others: u64 = others.iter().map(|other| other.refusals).sum();
    println!(
        "{label:<40} | {:>4} ({:>4}) | {p50:>6} {p95:>6} {most:>6} | {:>4}, steady callers refused {others}",
        own.refusals, own.false_refusals, result.engine_queue
    );
}

/// A small organisation offers a tenth of the engines, a large one the rest of
/// `load`, for three minutes.
fn overload(load: f64, tries: usize) {
    let engines = EngineSetup {
        count: 20,
        slots: 16,
        reports: true,
        slowness: 1,
    };
    let full = slots(&engines) * 1_000.0 / SHORT_MS;
    let span = 180_000;
    let callers = |share: f64| SteadyCallers {
        rate: full * share,
        tries,
    };
    let result = BurstWorld::run(BurstSetup {
        routers: 6,
        engines,
        steady: vec![callers(0.1), callers(load - 0.1)],
        burst: 0,
        tokens: SHORT_TOKENS,
        span,
        patience: 10_000,
    });
    #[expect(clippy::cast_precision_loss, reason = "small")]
    let capacity = full * span as f64 / 1_000.0;
    println!("load {load}, {tries} tries: full engines answer {capacity:.0}");
    for (name, own) in ["small", "large"].iter().zip(&result.organisations) {
        let [p50, p95, p99] = [50, 95, 99].map(|percent| own.first_token.percentile(percent));
        println!(
            "  {name}: offered {}, answered {}, refusals {} ({} false), given up {}, left {}, first token ms {p50} {p95} {p99}",
            own.offered, own.answered, own.refusals, own.false_refusals, own.given_up, own.left
        );
    }
    #[expect(clippy::cast_precision_loss, reason = "small")]
    let waste = result.wasted as f64 * 100.0 / (result.useful + result.wasted) as f64;
    println!(
        "  wasted work {waste:.1} %, refused by engines {}",
        result.engine_refusals
    );
}
