//! What gossip costs one node, as slopes over the fleet's size.
//!
//! One node runs the production driver (decisions, codec, authentication, a
//! real UDP socket) on a thread of its own; a second thread runs all other
//! nodes' state machines and talks to the one node over real sockets on
//! loopback. Run it with
//! `cargo run --release -p guavawell-fleet --example gossip_cost`.

mod load;
mod node;
mod report;

use std::process::ExitCode;

use load::FleetLoad;
use node::NodeCost;

/// Fleet sizes of the slope; the last is that of the first letter.
pub(crate) const SIZES: [usize; 4] = [6, 50, 100, 390];

/// Work that rides on gossip while it is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// Probes and comparisons only.
    Quiet,
    /// Reports, notes, manifest versions, and letter 1's replacements.
    Letter,
    /// The same, with an instance replaced every 4 s, 50 times as many.
    Busy,
    /// The same, with a tenth of all instances replaced at once.
    Tenth,
    /// The same, with one zone parted from the others for 20 s.
    Parted,
}

/// What is measured at each size.
const WORKS: [WorkKind; 3] = [WorkKind::Quiet, WorkKind::Letter, WorkKind::Busy];

/// Size from which a tenth is replaced and a zone parted.
const LARGE: usize = 100;

fn main() -> ExitCode {
    report(&sizes());
    ExitCode::SUCCESS
}

/// Measures one node in fleets of these sizes.
pub(crate) fn report(sizes: &[usize]) {
    println!(
        "letter: 5.6 backend servers a node, each reported every 0.5 to 1.5 s to its routers;"
    );
    println!("a zone note on servers alive every 10 s, a fleet note on a zone's use every 5 s;");
    println!("a manifest version every 12.7 s; an instance replaced every 197 s");
    println!("busy: the same, an instance replaced every 4 s; tenth: a tenth replaced at once;");
    println!("parted: a zone parted for 20 s, 40 s measured");
    println!("core: the node's thread; core+: all of the process but the load's thread");
    println!(
        "nodes  work     core %  core+ %  heap KB  sent B/s  received B/s  known 3 s  known  queued  load %"
    );
    for &size in sizes {
        for work in WORKS {
            show(size, work, &node::measure(FleetLoad::start(size, work)));
        }
        if size >= LARGE {
            for work in [WorkKind::Tenth, WorkKind::Parted] {
                show(size, work, &node::measure(FleetLoad::start(size, work)));
            }
        }
    }
}

/// The sizes named on the command line, or all of them.
fn sizes() -> Vec<usize> {
    let named: Vec<_> = std::env::args()
        .skip(1)
        .filter_map(|size| size.parse().ok())
        .collect();
    if named.is_empty() {
        return SIZES.to_vec();
    }
    named
}

fn show(size: usize, work: WorkKind, cost: &NodeCost) {
    let work = match work {
        WorkKind::Quiet => "quiet",
        WorkKind::Letter => "letter",
        WorkKind::Busy => "busy",
        WorkKind::Tenth => "tenth",
        WorkKind::Parted => "parted",
    };
    println!(
        "{size:>5}  {work:<7}  {:>6.3}  {:>7.3}  {:>7.0}  {:>8.0}  {:>12.0}  {:>9}  {:>5}  {:>6}  {:>6.1}",
        cost.thread_percent,
        cost.process_percent,
        cost.heap_kilobytes,
        cost.sent_per_second,
        cost.received_per_second,
        cost.known_early,
        cost.known,
        cost.queued,
        cost.load_percent,
    );
}
