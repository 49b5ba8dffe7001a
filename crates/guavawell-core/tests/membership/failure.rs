//! Single failures, played on the membership state machines over a simulated network.

use guavawell_core::instance::Reachability;

use crate::pump::MessagePump;
use crate::pump::PumpNode;
use crate::pump::instance;
use crate::pump::listed;
use crate::pump::own_id;
use crate::pump::routable;

/// Steps within which a leave announcement must reach every instance: 3 s.
const LEAVE_ANNOUNCEMENT_STEPS: usize = 30;

fn knows_unreachable(node: &PumpNode, number: usize) -> bool {
    let view = node.membership.view();
    let member = view.find(&instance(number));
    member.is_some_and(|member| member.reachability == Reachability::Unreachable)
}

#[test]
fn instances_of_one_zone_each_find_each_other_from_one_seed() {
    let mut pump = MessagePump::new(4, 1);
    for number in 0..6 {
        pump.add(number);
    }
    let seed = [pump.nodes[0].address];
    for node in &mut pump.nodes {
        node.membership.set_seeds(&seed);
    }
    assert!(pump.run_until(300, MessagePump::is_converged));
}

#[test]
fn leave_announcement_reaches_everyone_within_three_seconds() {
    for seed in 0..10 {
        let mut pump = MessagePump::converged(60, 7, seed);
        pump.loss_percent = 10;
        pump.leave(7);
        let removed = |pump: &MessagePump| {
            pump.live()
                .all(|node| !routable(node).contains(&instance(7)))
        };
        assert!(
            pump.run_until(LEAVE_ANNOUNCEMENT_STEPS, removed),
            "seed {seed}"
        );
    }
}

#[test]
fn killed_instance_is_suspected_then_unreachable() {
    let mut pump = MessagePump::converged(20, 3, 2);
    pump.nodes[4].running = false;
    let known = |pump: &MessagePump| pump.live().all(|node| knows_unreachable(node, 4));
    assert!(pump.run_until(300, known));
    assert!(pump.is_converged());
}

#[test]
fn paused_instance_returns_and_refutes() {
    let mut pump = MessagePump::converged(20, 3, 3);
    pump.nodes[5].paused = true;
    assert!(pump.run_until(300, |pump| knows_unreachable(&pump.nodes[0], 5)));
    pump.nodes[5].paused = false;
    assert!(pump.run_until(300, MessagePump::is_converged));
    let node = &pump.nodes[5];
    assert_eq!(node.membership.counts().pauses, 1);
    assert!(node.membership.counts().refutations >= 1);
    assert!(!node.superseded);
}

#[test]
fn restarted_instance_at_the_same_address_replaces_its_older_incarnation() {
    let mut pump = MessagePump::converged(12, 3, 4);
    let former = pump.nodes[6].membership.view().own().incarnation;
    pump.add(6);
    let seeds = [listed(&pump.nodes[0])];
    pump.nodes[6].membership.set_listed(&seeds);
    let replaced = |pump: &MessagePump| {
        let mut views = pump.live().map(|node| node.membership.view());
        views.all(|view| {
            let member = view.find(&instance(6));
            member.is_some_and(|member| member.incarnation > former)
        })
    };
    assert!(pump.run_until(300, replaced));
    assert!(pump.run_until(300, MessagePump::is_converged));
}

#[test]
fn other_instance_at_the_same_address_does_not_answer_for_the_former_one() {
    let mut pump = MessagePump::converged(12, 3, 5);
    let index = pump.add_as(99, 6);
    pump.list_all();
    let known = |pump: &MessagePump| {
        let mut others = pump.live().filter(|node| own_id(node) != instance(99));
        others.all(|node| knows_unreachable(node, 6))
    };
    assert!(pump.run_until(400, known));
    assert!(pump.run_until(300, MessagePump::is_converged));
    assert_eq!(own_id(&pump.nodes[index]), instance(99));
}

#[test]
fn older_incarnation_that_still_runs_learns_that_it_is_superseded() {
    let mut pump = MessagePump::converged(6, 2, 6);
    pump.now = pump.now + guavawell_core::clock::ClockSpan::from_millis(1);
    let index = pump.add_as(3, 50);
    pump.list_all();
    assert!(pump.run_until(300, |pump| pump.nodes[3].superseded));
    assert!(!pump.nodes[index].superseded);
}

#[test]
fn zone_cut_off_and_healed_converges() {
    for seed in 0..3 {
        let mut pump = MessagePump::converged(42, 7, seed);
        let cut = pump.nodes.iter_mut().enumerate();
        for (_, node) in cut.filter(|(index, _)| index % 7 == 2) {
            node.partition = 1;
        }
        let separated = |pump: &MessagePump| {
            pump.live().all(|node| {
                let expected = if node.partition == 0 { 36 } else { 6 };
                routable(node).len() == expected
            })
        };
        assert!(pump.run_until(1_200, separated), "seed {seed}");
        for node in &mut pump.nodes {
            node.partition = 0;
        }
        assert!(
            pump.run_until(600, MessagePump::is_converged),
            "seed {seed}"
        );
    }
}

#[test]
fn tenth_of_the_fleet_replaced_at_once_converges() {
    let mut pump = MessagePump::converged(60, 7, 8);
    for number in 0..6 {
        pump.add_as(100 + number, number * 7);
    }
    pump.list_all();
    assert!(pump.run_until(600, MessagePump::is_converged));
}

#[test]
fn lossy_network_does_not_make_anybody_unreachable() {
    let mut pump = MessagePump::converged(30, 3, 9);
    pump.loss_percent = 10;
    for _ in 0..600 {
        pump.step();
        let unreachable = pump
            .live()
            .any(|node| (0..30).any(|number| knows_unreachable(node, number)));
        assert!(!unreachable, "at {}", pump.now);
    }
}
