//! Slots a node: rendezvous hashing over letter 1's fleet.

use guavawell_core::budget::SlotId;
use guavawell_core::id::InstanceId;
use guavawell_core::id::ShardId;
use guavawell_core::instance::owner;

/// Nodes of the fleet, spread over the zones.
const NODES: usize = 390;
const ZONES: usize = 7;
const SHARDS: [u16; 5] = [64, 128, 256, 512, 1_024];

pub fn run() {
    println!("shards  slots  held by a node: mean  most  without any");
    for shards in SHARDS {
        let mut held = vec![0_usize; NODES];
        for zone in 0..ZONES {
            let members: Vec<usize> = (0..NODES).filter(|node| node % ZONES == zone).collect();
            count_zone(zone, shards, &members, &mut held);
        }
        let slots = ZONES * usize::from(shards);
        println!(
            "{shards:>6}  {slots:>5}  {:>20.1}  {:>4}  {:>11}",
            slots as f64 / NODES as f64,
            held.iter().max().copied().unwrap_or_default(),
            held.iter().filter(|held| **held == 0).count(),
        );
    }
}

fn count_zone(zone: usize, shards: u16, members: &[usize], held: &mut [usize]) {
    let names: Vec<InstanceId> = members.iter().map(|node| name(*node)).collect();
    for shard in 0..shards {
        let slot = SlotId {
            zone: format!("zone-{zone}").parse().expect("a good id"),
            shard: ShardId::new(shard),
        };
        let key = format!("slot/{slot}");
        let owner = owner(&names, key.as_bytes()).expect("the zone has nodes");
        let place = names.iter().position(|name| name == owner);
        held[members[place.expect("one of the zone")]] += 1;
    }
}

fn name(node: usize) -> InstanceId {
    format!("router-{node:03}").parse().expect("a good id")
}
