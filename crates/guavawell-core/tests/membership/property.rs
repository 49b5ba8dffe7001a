//! Properties under random sequences of faults, drawn from fixed seeds.

use guavawell_core::id::IncarnationId;
use guavawell_core::id::InstanceId;

use crate::pump::MessagePump;
use crate::pump::own_id;

/// Number of fault sequences, each drawn from its own seed.
const SEED_COUNT: u64 = 24;

/// Number of faults in one sequence.
const FAULTS_PER_SEED: usize = 12;

/// Steps within which all views must agree after all faults end: 120 s.
const HEALING_STEPS: usize = 1_200;

/// The highest incarnation of each member that each observing incarnation has
/// shown in its view.
#[derive(Default)]
struct SeenIncarnations {
    incarnations: Vec<(InstanceId, IncarnationId, InstanceId, IncarnationId)>,
}

impl SeenIncarnations {
    /// Fails if a view shows an older incarnation than it did before.
    fn check(&mut self, pump: &MessagePump) {
        for node in &pump.nodes {
            let view = node.membership.view();
            let own = view.own();
            for member in view.members() {
                self.see(
                    (&own.instance, own.incarnation),
                    (&member.instance, member.incarnation),
                );
            }
        }
    }

    fn see(&mut self, observer: (&InstanceId, IncarnationId), seen: (&InstanceId, IncarnationId)) {
        let key = (observer.0, observer.1, seen.0);
        let position = self
            .incarnations
            .binary_search_by(|(a, b, c, _)| (a, *b, c).cmp(&key));
        match position {
            Ok(index) => {
                let highest = &mut self.incarnations[index].3;
                assert!(
                    seen.1 >= *highest,
                    "{observer:?} returned to the older incarnation {seen:?}"
                );
                *highest = seen.1;
            }
            Err(index) => {
                let entry = (observer.0.clone(), observer.1, seen.0.clone(), seen.1);
                self.incarnations.insert(index, entry);
            }
        }
    }
}

fn inject(pump: &mut MessagePump, random: &mut fastrand::Rng) {
    let count = pump.nodes.len();
    let index = random.usize(0..count);
    match random.u8(0..7) {
        0 => pump.nodes[index].running = false,
        1 => {
            let address_number = index;
            pump.add(address_number);
            pump.list_all();
        }
        2 => pump.nodes[index].paused = true,
        3 => pump.nodes[index].paused = false,
        4 => {
            let zones = random.usize(2..=4);
            for (position, node) in pump.nodes.iter_mut().enumerate() {
                node.partition = u8::from(position % zones == 0);
            }
        }
        5 => pump.loss_percent = random.u8(0..30),
        _ => pump.leave(index),
    }
}

fn heal(pump: &mut MessagePump) {
    pump.loss_percent = 0;
    for index in 0..pump.nodes.len() {
        pump.nodes[index].partition = 0;
        pump.nodes[index].paused = false;
        let ended = !pump.nodes[index].running || pump.nodes[index].superseded;
        if ended {
            pump.add(index);
        }
    }
    pump.list_all();
}

#[test]
fn views_converge_after_any_faults_and_never_return_to_an_older_incarnation() {
    for seed in 0..SEED_COUNT {
        let mut random = fastrand::Rng::with_seed(seed);
        let count = random.usize(6..=30);
        let zones = random.usize(1..=7);
        let mut pump = MessagePump::converged(count, zones, seed);
        let mut seen = SeenIncarnations::default();
        for _ in 0..FAULTS_PER_SEED {
            inject(&mut pump, &mut random);
            for _ in 0..random.usize(1..80) {
                pump.step();
                seen.check(&pump);
            }
        }
        heal(&mut pump);
        let mut steps = 0;
        while !pump.is_converged() {
            assert!(steps < HEALING_STEPS, "seed {seed} with {count} nodes");
            pump.step();
            seen.check(&pump);
            steps += 1;
        }
        let ids: Vec<_> = pump.live().map(own_id).collect();
        assert!(!ids.is_empty(), "no live instances with seed {seed}");
    }
}
