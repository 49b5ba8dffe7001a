//! How many ticks a leaving mark and a note take to reach every instance.
//!
//! Runs the real state machines in the tests' message pump, without sockets:
//! `cargo run --release -p guavawell-core --example gossip_spread`.

#[path = "../tests/membership/pump.rs"]
#[allow(dead_code)] // the tests use the rest of it
mod pump;

use pump::MessagePump;
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
