//! What gossip costs one node, as slopes over the fleet's size.
//!
//! One node runs the production driver (decisions, codec, authentication, a
//! real UDP socket) on a thread of its own; a second thread runs all other
//! nodes' state machines and talks to the one node over real sockets on
//! loopback. Run it with
//! `cargo run --release -p guavawell-fleet --example gossip_cost`.

mod load;
mod node;

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
    /// Load reports, manifest versions and replaced instances as well.
    Busy,
    /// As busy, but a small report of each backend server instead of one note.
    Reports,
}

fn main() -> ExitCode {
    report(&sizes());
    ExitCode::SUCCESS
}

/// Measures one node in fleets of these sizes.
pub(crate) fn report(sizes: &[usize]) {
    println!("busy: each node a 64-byte note to its zone every 4 s, a new manifest version in");
    println!(
        "force on all nodes every 12.7 s, an instance replaced every 4 s (a day's 390 in 26 min)"
    );
    println!("reports: as busy, but 6 notes of 12 bytes a node every 4 s, one a backend server");
    println!("core: the node's thread; core+: all of the process but the load's thread");
    println!(
        "nodes  work     core %  core+ %  heap KB  sent B/s  received B/s  known  queued  load %"
    );
    for &size in sizes {
        for work in [WorkKind::Quiet, WorkKind::Busy, WorkKind::Reports] {
            let cost = node::measure(FleetLoad::start(size, work));
            show(size, work, &cost);
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
        WorkKind::Busy => "busy",
        WorkKind::Reports => "reports",
    };
    println!(
        "{size:>5}  {work:<7}  {:>6.3}  {:>7.3}  {:>7.0}  {:>8.0}  {:>12.0}  {:>5}  {:>6}  {:>6.1}",
        cost.thread_percent,
        cost.process_percent,
        cost.heap_kilobytes,
        cost.sent_per_second,
        cost.received_per_second,
        cost.known,
        cost.queued,
        cost.load_percent,
    );
}
