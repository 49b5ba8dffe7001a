//! Limits on sent bytes, stored members and tombstones, and notes.

use guavawell_core::clock::ClockSpan;
use guavawell_core::instance::GossipNote;
use guavawell_core::instance::MembershipSettings;
use guavawell_core::instance::NoteError;
use guavawell_core::instance::NoteScope;

use crate::pump::MessagePump;
use crate::pump::STEP;
use crate::pump::instance;
use crate::pump::zone;

fn note(key: &str, scope: NoteScope, version: u64, size: usize) -> GossipNote {
    GossipNote {
        key: key.into(),
        scope,
        version,
        bytes: vec![1; size].into(),
    }
}

fn knows(pump: &MessagePump, index: usize, number: usize) -> bool {
    let view = pump.nodes[index].membership.view();
    view.find(&instance(number)).is_some()
}

/// Has every node publish a large note with fleet scope.
fn flood(pump: &mut MessagePump, version: u64) {
    let now = pump.now;
    for (index, node) in pump.nodes.iter_mut().enumerate() {
        let note = note(&format!("flood/{index}"), NoteScope::Fleet, version, 500);
        node.membership.publish(&note, now).expect("taken");
    }
}

#[test]
fn bytes_sent_stay_within_the_limit_in_a_flood_and_a_leave_announcement_still_spreads() {
    let mut pump = MessagePump::converged(30, 7, 11);
    let settings = MembershipSettings::default();
    let began = pump.now;
    let sent = |pump: &MessagePump| -> Vec<u64> {
        let counts = pump.nodes.iter().map(|node| node.membership.counts());
        counts.map(|counts| counts.bytes_sent).collect()
    };
    let before = sent(&pump);
    let mut left_at = None;
    for step in 0..300 {
        if step % 10 == 0 {
            flood(&mut pump, step);
        }
        if step == 200 {
            pump.leave(7);
        }
        pump.step();
        if left_at.is_none() && step >= 200 && pump.is_converged() {
            left_at = Some(step);
        }
        let elapsed = pump.now.since(began).as_millis();
        let allowed = settings.burst_bytes + settings.bytes_per_second * elapsed / 1_000;
        let after = sent(&pump);
        let sent_bytes = after
            .iter()
            .zip(&before)
            .map(|(after, before)| after - before);
        assert!(
            sent_bytes.max().expect("nodes") <= allowed,
            "at {}",
            pump.now
        );
    }
    assert!(left_at.expect("the leave announcement spread") <= 230);
    let withheld: u64 = pump
        .nodes
        .iter()
        .map(|node| node.membership.counts().withheld)
        .sum();
    assert!(withheld > 0, "the flood was too small to show anything");
}

#[test]
fn delisted_members_are_forgotten_and_their_incarnation_is_not_readmitted() {
    let mut pump = MessagePump::new(2, 12);
    pump.settings.forget_delisted_span = ClockSpan::from_millis(20_000);
    for number in 0..8 {
        pump.add(number);
    }
    pump.list_all();
    assert!(pump.run_until(300, MessagePump::is_converged));
    // Instance 7 is paused while it still has the record of instance 3.
    pump.nodes[7].paused = true;
    pump.nodes[3].running = false;
    pump.list_all();
    let forgotten = |pump: &MessagePump| (0..7).all(|index| index == 3 || !knows(pump, index, 3));
    assert!(pump.run_until(1_000, forgotten));
    assert_eq!(pump.nodes[0].membership.counts().tombstones, 1);
    assert!(knows(&pump, 7, 3));
    pump.nodes[7].paused = false;
    for _ in 0..100 {
        pump.step();
        assert!(forgotten(&pump), "readmitted at {}", pump.now);
    }
    // A later incarnation is admitted.
    pump.add(3);
    pump.list_all();
    assert!(pump.run_until(600, MessagePump::is_converged));
}

#[test]
fn an_empty_list_removes_no_member() {
    let mut pump = MessagePump::converged(6, 2, 13);
    for node in &mut pump.nodes {
        node.membership.set_listed(&[]);
    }
    for _ in 0..200 {
        pump.step();
        assert!(pump.is_converged());
    }
}

#[test]
fn unreachable_members_and_tombstones_stay_within_their_limits() {
    let mut pump = MessagePump::new(1, 14);
    pump.settings.max_unreachable = 3;
    pump.settings.max_tombstones = 2;
    for number in 0..12 {
        pump.add(number);
    }
    pump.list_all();
    assert!(pump.run_until(300, MessagePump::is_converged));
    for node in &mut pump.nodes[4..] {
        node.running = false;
    }
    let within_limits = |pump: &MessagePump| {
        pump.live().all(|node| {
            let view = node.membership.view();
            view.members().len() == 4 + 3 && node.membership.counts().tombstones == 2
        })
    };
    assert!(pump.run_until(1_000, within_limits));
}

#[test]
fn zone_notes_stay_in_their_zone_and_fleet_notes_go_everywhere() {
    let mut pump = MessagePump::converged(12, 3, 15);
    let now = pump.now;
    let load = note("load/0", NoteScope::Zone(zone(0)), 1, 64);
    let version = note("manifest", NoteScope::Fleet, 1, 32);
    let first = &mut pump.nodes[0].membership;
    first.publish(&load, now).expect("taken");
    first.publish(&version, now).expect("taken");
    let spread = |pump: &MessagePump| {
        pump.nodes.iter().all(|node| {
            let view = node.membership.view();
            let in_zone = view.own().zone == zone(0);
            view.note("manifest") == Some(&version) && view.note("load/0").is_some() == in_zone
        })
    };
    assert!(pump.run_until(300, spread));
    // A new instance learns notes with fleet scope by sync.
    pump.add(12);
    pump.list_all();
    let learned = |pump: &MessagePump| {
        let view = pump.nodes[12].membership.view();
        view.note("manifest") == Some(&version)
    };
    assert!(pump.run_until(300, learned));
    // A note with zone scope that is not renewed expires after a minute.
    let expired = |pump: &MessagePump| {
        let mut views = pump.nodes.iter().map(|node| node.membership.view());
        views.all(|view| view.note("load/0").is_none())
    };
    assert!(pump.run_until(700, expired));
}

#[test]
fn newest_note_wins_and_bad_notes_are_refused() {
    let mut pump = MessagePump::new(1, 16);
    pump.settings.max_notes = 2;
    pump.add(0);
    let now = pump.now + STEP;
    let membership = &mut pump.nodes[0].membership;
    let mut publish = |note: GossipNote| membership.publish(&note, now);
    publish(note("a", NoteScope::Fleet, 5, 1)).expect("taken");
    publish(note("a", NoteScope::Fleet, 4, 2)).expect("ignored");
    let large = publish(note("a", NoteScope::Fleet, 6, 513));
    assert!(matches!(large, Err(NoteError::TooLarge { limit: 512, .. })));
    let long = publish(note(&"k".repeat(65), NoteScope::Fleet, 1, 1));
    assert!(matches!(long, Err(NoteError::KeyTooLong(_))));
    let foreign = publish(note("b", NoteScope::Zone(zone(5)), 1, 1));
    assert_eq!(foreign, Err(NoteError::OtherZone("b".into())));
    publish(note("b", NoteScope::Fleet, 1, 1)).expect("taken");
    let third = publish(note("c", NoteScope::Fleet, 1, 1));
    assert_eq!(third, Err(NoteError::TooMany("c".into())));
    let view = pump.nodes[0].membership.view();
    assert_eq!(view.note("a").expect("kept").version, 5);
}
