//! `instance` and `manifest show`: what instances tell of themselves.

use guavawell_core::clock::ClockTime;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::manifest::VersionProof;
use guavawell_fleet::operator::InstanceStatus;

use crate::support::FakeInstance;
use crate::support::TestFleet;

fn status(name: &str, version: u64) -> InstanceStatus {
    InstanceStatus {
        instance: name.parse().expect("a good id"),
        zone: "tln-a".parse().expect("a good id"),
        incarnation: IncarnationId::new(7),
        version: Some(ManifestVersion::new(version)),
        since: Some(ClockTime::from_millis(1_764_700_000_000)),
        proof: Some(VersionProof::Table),
        not_ready: None,
        leaving: false,
    }
}

/// A fleet of four instances: ready, behind, leaving, and gone.
fn fleet_of_four(name: &str) -> (TestFleet, Vec<FakeInstance>) {
    let fleet = TestFleet::with_desk(name);
    let ready = status("entry-1", 1);
    let mut fresh = status("entry-2", 1);
    (fresh.version, fresh.since, fresh.proof) = (None, None, None);
    fresh.not_ready = Some("no manifest yet: version 1 is being loaded".into());
    let mut leaving = status("entry-3", 1);
    leaving.proof = Some(VersionProof::Peers);
    leaving.leaving = true;
    let statuses = [ready, fresh, leaving];
    let instances = statuses.each_ref().map(FakeInstance::start);
    for (status, instance) in statuses.iter().zip(&instances) {
        fleet.put_instance(status, instance.address);
    }
    let gone = FakeInstance::start(&status("entry-4", 1)).address;
    fleet.put_instance(&status("entry-4", 1), gone);
    (fleet, instances.into())
}

#[test]
fn show_tells_which_instance_runs_which_version_since_when() {
    let (fleet, _instances) = fleet_of_four("show");
    let result = fleet.run(&["manifest", "show"]).assert_code(0);
    let (head, table) = result.stdout.split_once('\n').expect("a head and a table");
    assert!(
        head.starts_with("version 1 on top of 0, accepted by anna at 20"),
        "{head}"
    );
    let (shown, gone) = table.split_at(table.find("entry-4").expect("all are shown"));
    insta::assert_snapshot!(shown);
    assert!(gone.contains("no answer"), "{gone}");
    let json = fleet
        .run(&["--json", "manifest", "show"])
        .assert_code(0)
        .json();
    assert_eq!(json["version"]["version"], 1);
    assert_eq!(json["instances"][0]["since"], 1_764_700_000_000_u64);
    assert_eq!(json["instances"][2]["proof"], "peers");
}

#[test]
fn instances_are_listed_with_their_addresses() {
    let (fleet, _instances) = fleet_of_four("instances");
    let result = fleet.run(&["instance", "list"]).assert_code(0);
    assert_eq!(result.stdout.lines().count(), 5);
    assert!(result.stdout.contains("127.0.0.1:8001"));
}

#[test]
fn a_drain_reaches_the_instance() {
    let (fleet, instances) = fleet_of_four("instance-drain");
    fleet.run(&["instance", "drain", "entry-1"]).assert_code(0);
    let calls = instances[0]
        .drained
        .lock()
        .expect("no panic in a test")
        .clone();
    assert_eq!(calls, ["POST /drain"]);
    let gone = fleet.run(&["instance", "drain", "entry-4"]).assert_code(5);
    assert!(gone.stderr.contains("instance `entry-4` does not answer"));
    let unknown = fleet.run(&["instance", "drain", "entri-1"]).assert_code(7);
    assert!(unknown.stderr.contains("the nearest is `entry-1`"));
}

#[test]
fn another_life_behind_an_address_is_told() {
    let fleet = TestFleet::with_desk("restarted");
    let mut answering = status("entry-1", 1);
    answering.incarnation = IncarnationId::new(8);
    let instance = FakeInstance::start(&answering);
    fleet.put_instance(&status("entry-1", 1), instance.address);
    let json = fleet
        .run(&["--json", "instance", "list"])
        .assert_code(0)
        .json();
    assert_eq!(json[0]["state"], "restarted");
}
