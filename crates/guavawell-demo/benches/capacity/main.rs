//! Every slope from which docs/notes/CAPACITY-SLOTS.md is worked out, printed anew:
//! `cargo bench -p guavawell-demo --bench capacity`, or a part of it by
//! naming sections after `--`.
//!
//! All of it takes about five minutes and two gigabytes.

#![allow(
    clippy::cast_precision_loss,
    reason = "figures of a benchmark, printed with few digits"
)]

mod entry;
mod hashing;
mod holder;
mod measure;
mod money;
mod platform;
mod wire;

#[allow(dead_code)] // the tests use the rest of it
#[path = "../../../guavawell-core/tests/budget_large/rig.rs"]
mod rig;

#[allow(dead_code)] // only its cost per choice is asked for
#[path = "../../../guavawell-core/examples/routing_compare/main.rs"]
mod choice;
#[allow(dead_code)] // sizes are not named on this command line
#[path = "../../../guavawell-fleet/examples/gossip_cost/main.rs"]
mod gossip;
#[path = "../../../guavawell-core/examples/manifest_cost/main.rs"]
mod manifest;
#[allow(dead_code)] // two processes are not asked for
#[path = "../../../guavawell-fleet/examples/peer_cost.rs"]
mod peer;

use std::time::Instant;

/// A part of the benchmark.
struct BenchSection {
    name: &'static str,
    about: &'static str,
    run: fn(),
}

/// In this order, because memory is told best by a young process.
const SECTIONS: [BenchSection; 11] = [
    BenchSection {
        name: "manifest",
        about: "configuration reader",
        run: manifest::main,
    },
    BenchSection {
        name: "hashing",
        about: "slots a node by number of shards",
        run: hashing::run,
    },
    BenchSection {
        name: "holder",
        about: "slot holder and witness",
        run: holder::run,
    },
    BenchSection {
        name: "money",
        about: "table writes of budgets",
        run: money::run,
    },
    BenchSection {
        name: "platform",
        about: "claims, journal, polls, one contended row",
        run: platform::run,
    },
    BenchSection {
        name: "polls",
        about: "bytes of a backend server's poll",
        run: platform::engine_polls,
    },
    BenchSection {
        name: "wire",
        about: "bytes of calls between routers",
        run: wire::run,
    },
    BenchSection {
        name: "entry",
        about: "entry path",
        run: entry::run,
    },
    BenchSection {
        name: "choice",
        about: "backend choice",
        run: choice::print_cost,
    },
    BenchSection {
        name: "peer",
        about: "calls between routers",
        run: peer::both,
    },
    BenchSection {
        name: "gossip",
        about: "gossip member",
        run: run_gossip,
    },
];

fn main() {
    let names: Vec<String> = std::env::args()
        .skip(1)
        .filter(|word| !word.starts_with('-'))
        .collect();
    let wanted =
        |section: &&BenchSection| names.is_empty() || names.iter().any(|name| name == section.name);
    for section in SECTIONS.iter().filter(wanted) {
        println!("== {}: {}", section.name, section.about);
        let started = Instant::now();
        (section.run)();
        println!("   ({:.0?})", started.elapsed());
    }
}

fn run_gossip() {
    gossip::report(&gossip::SIZES);
}
