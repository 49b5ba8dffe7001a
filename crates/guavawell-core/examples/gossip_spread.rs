//! How many ticks news takes to reach every instance: a leaving mark, a cut, its end.
//!
//! Runs the real state machines in the tests' message pump, without sockets:
//! `cargo run --release -p guavawell-core --example gossip_spread`.

#[path = "../tests/membership/pump.rs"]
#[allow(dead_code)] // the tests use the rest of it
mod pump;

use guavawell_core::instance::Reachability;

use pump::MessagePump;
use pump::PumpNode;
use pump::STEP;
use pump::instance;
use pump::routable;

/// Fleet sizes, with the zones that they are spread over.
const SIZES: [(usize, usize); 4] = [(6, 4), (50, 7), (100, 7), (390, 7)];

/// Percentages of messages lost.
const LOSSES: [u8; 2] = [0, 10];

/// Leaving marks measured for each row.
const MARKS: usize = 10;

/// Steps after which a mark counts as lost.
const LIMIT: usize = 100;

/// Fleet sizes of the cut, with the zones that they are spread over.
const CUT_SIZES: [(usize, usize); 3] = [(6, 3), (42, 7), (98, 7)];

/// Steps after which a cut counts as not noticed, or not healed.
const CUT_LIMIT: usize = 3_000;

fn main() {
    println!("one tick is {STEP}");
    println!("nodes  loss %  mean  worst (ticks until no instance routes to the leaving one)");
    for (size, zones) in SIZES {
        for loss in LOSSES {
            let ticks = spread(size, zones, loss);
            let worst = ticks.iter().max().copied().unwrap_or_default();
            let mean = ticks.iter().sum::<usize>() / ticks.len();
            println!("{size:>5}  {loss:>6}  {mean:>4}  {worst:>5}");
        }
    }
    println!(
        "nodes  zones  noticed inside  noticed outside  healed (ticks after one zone is cut off)"
    );
    for (size, zones) in CUT_SIZES {
        let ticks = cut_and_heal(size, zones);
        println!(
            "{size:>5}  {zones:>5}  {:>14}  {:>15}  {:>6}",
            ticks.inside, ticks.outside, ticks.healed
        );
    }
}

/// Ticks until a cut, and its end, were known everywhere.
struct CutTicks {
    /// Until all in the zone hold all others for unreachable.
    inside: usize,
    /// Until all others hold the zone for unreachable.
    outside: usize,
    /// From the end of the cut until all views agree.
    healed: usize,
}

fn cut_and_heal(size: usize, zones: usize) -> CutTicks {
    let mut pump = MessagePump::converged(size, zones, 1);
    for (index, node) in pump.nodes.iter_mut().enumerate() {
        node.partition = u8::from(index % zones == 0);
    }
    let alone = |pump: &MessagePump, partition: u8| {
        let members = pump
            .live()
            .filter(|node| node.partition == partition)
            .count();
        let mut group_nodes = pump.live().filter(|node| node.partition == partition);
        group_nodes
            .all(|node| routable(node).len() == members && unreachable(node) == size - members)
    };
    let mut ticks = CutTicks {
        inside: 0,
        outside: 0,
        healed: 0,
    };
    for step in 1..=CUT_LIMIT {
        pump.step();
        let inside = alone(&pump, 1);
        let outside = alone(&pump, 0);
        if inside && ticks.inside == 0 {
            ticks.inside = step;
        }
        if outside && ticks.outside == 0 {
            ticks.outside = step;
        }
        if inside && outside {
            break;
        }
    }
    for node in &mut pump.nodes {
        node.partition = 0;
    }
    while ticks.healed < CUT_LIMIT && !pump.is_converged() {
        pump.step();
        ticks.healed += 1;
    }
    ticks
}

fn unreachable(node: &PumpNode) -> usize {
    let view = node.membership.view();
    let members = view.members().iter();
    members
        .filter(|member| member.reachability == Reachability::Unreachable)
        .count()
}

/// Ticks until each of several marks was everywhere, one after the other.
fn spread(size: usize, zones: usize, loss_percent: u8) -> Vec<usize> {
    let mut pump = MessagePump::converged(size, zones, 1);
    pump.loss_percent = loss_percent;
    let marks = MARKS.min(size - 2);
    (0..marks)
        .map(|mark| {
            let number = mark * (size / marks);
            pump.leave(number);
            let mut ticks = 0;
            while ticks < LIMIT && !is_everywhere(&pump, number) {
                pump.step();
                ticks += 1;
            }
            ticks
        })
        .collect()
}

fn is_everywhere(pump: &MessagePump, number: usize) -> bool {
    let leaving = instance(number);
    pump.live().all(|node| !routable(node).contains(&leaving))
}
