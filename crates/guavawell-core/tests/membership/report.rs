//! Load reports and notes with passing scope, which share the send allowance with
//! membership.

use guavawell_core::id::ManifestVersion;
use guavawell_core::instance::GossipNote;
use guavawell_core::instance::MembershipSettings;
use guavawell_core::instance::NoteScope;

use crate::pump::MessagePump;
use crate::pump::PumpNode;

/// Payload of one datagram of load reports, in bytes; larger than routers send.
const REPORT_BYTES: usize = 400;

fn passing(key: &str, version: u64, size: usize) -> GossipNote {
    GossipNote {
        key: key.into(),
        scope: NoteScope::Passing,
        version,
        bytes: vec![1; size].into(),
    }
}

fn knows_all(node: &PumpNode, count: usize) -> bool {
    node.membership.view().members().len() == count
}

/// Has every node send as many load reports as its allowance permits and renew a note.
fn flood(pump: &mut MessagePump, version: u64) {
    let now = pump.now;
    for (index, node) in pump.nodes.iter_mut().enumerate() {
        while node.membership.charge_report(REPORT_BYTES, now) {}
        let note = passing(&format!("room/{index}"), version, 100);
        node.membership.publish(&note, now).expect("taken");
    }
}

#[test]
fn a_joining_node_knows_all_members_within_seconds_of_a_flood_of_reports() {
    const MEMBERS: usize = 120;
    let mut pump = MessagePump::converged(MEMBERS, 7, 31);
    let settings = MembershipSettings::default();
    let began = pump.now;
    let before: Vec<_> = pump
        .nodes
        .iter()
        .map(|node| node.membership.counts().bytes_sent)
        .collect();
    for version in 0..50 {
        flood(&mut pump, version);
        pump.step();
    }
    let joined = pump.add(MEMBERS);
    pump.list_all();
    let joined_at = pump.now;
    let mut version = 50;
    while !knows_all(&pump.nodes[joined], MEMBERS + 1) {
        flood(&mut pump, version);
        pump.step();
        version += 1;
        let waited = pump.now.since(joined_at).as_millis();
        assert!(waited <= 5_000, "still not known after {waited} ms");
    }
    let elapsed = pump.now.since(began).as_millis();
    let allowed = settings.burst_bytes + settings.bytes_per_second * elapsed / 1_000;
    for (node, before) in pump.nodes.iter().zip(&before) {
        let counts = node.membership.counts();
        assert!(counts.bytes_sent - before <= allowed, "bytes stay bounded");
        assert!(counts.reports_withheld > 0, "the flood was too small");
    }
    // The reports did not displace probes and their answers.
    assert!(pump.nodes.iter().all(|node| {
        let view = node.membership.view();
        view.routable().count() == view.members().len()
    }));
}

#[test]
fn a_passing_note_reaches_every_zone_and_expires_unless_renewed() {
    let mut pump = MessagePump::converged(12, 3, 32);
    pump.loss_percent = 20;
    let now = pump.now;
    let has = |pump: &MessagePump, version: u64| {
        let mut views = pump.nodes.iter().map(|node| node.membership.view());
        views.all(|view| {
            view.note("room/a")
                .is_some_and(|note| note.version == version)
        })
    };
    let first = &mut pump.nodes[0].membership;
    first
        .publish(&passing("room/a", 1, 100), now)
        .expect("taken");
    // A later version reaches the nodes that missed one by message loss; an older
    // version is ignored.
    let mut version = 1;
    while !has(&pump, version) {
        for _ in 0..50 {
            pump.step();
        }
        let now = pump.now;
        version += 1;
        let first = &mut pump.nodes[0].membership;
        first
            .publish(&passing("room/a", version, 100), now)
            .expect("taken");
        first
            .publish(&passing("room/a", 1, 100), now)
            .expect("ignored");
        for _ in 0..20 {
            pump.step();
        }
        assert!(version < 10, "did not reach every node");
    }
    let expired = |pump: &MessagePump| {
        let mut views = pump.nodes.iter().map(|node| node.membership.view());
        views.all(|view| view.note("room/a").is_none())
    };
    assert!(pump.run_until(700, expired));
}

#[test]
fn a_manifest_version_is_announced_once_however_many_instances_run_it() {
    let mut pump = MessagePump::converged(60, 7, 33);
    for _ in 0..100 {
        pump.step();
    }
    let sent = |pump: &MessagePump| -> u64 {
        let counts = pump.nodes.iter().map(|node| node.membership.counts());
        counts.map(|counts| counts.bytes_sent).sum()
    };
    let sent_at_start = sent(&pump);
    for _ in 0..50 {
        pump.step();
    }
    let quiet = sent(&pump) - sent_at_start;
    let version = ManifestVersion::new(2);
    pump.nodes[0].membership.set_manifest(version);
    let learned = |pump: &MessagePump| {
        pump.nodes.iter().all(|node| {
            let view = node.membership.view();
            view.members()
                .iter()
                .any(|member| member.manifest == version)
        })
    };
    let sent_before = sent(&pump);
    assert!(pump.run_until(30, learned), "not known after 3 s");
    // The others apply it too, which must not cause further rumours.
    for node in &mut pump.nodes {
        node.membership.set_manifest(version);
    }
    for _ in 0..50 {
        pump.step();
    }
    let announcement_bytes = sent(&pump) - sent_before;
    assert!(
        announcement_bytes < 6 * quiet,
        "{announcement_bytes} bytes, {quiet} while quiet"
    );
}
