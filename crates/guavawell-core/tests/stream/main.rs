//! Where streams began: what an instance keeps, whom it tells, and walks over fleets.

mod walk;

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::grant::FleetMember;
use guavawell_core::grant::spread_over_zones;
use guavawell_core::id::OrganisationId;
use guavawell_core::poison::OrganisationTag;
use guavawell_core::poison::RequestFingerprint;
use guavawell_core::stream::MAX_STREAM_AGE;
use guavawell_core::stream::MAX_VERSION_BYTES;
use guavawell_core::stream::OriginSettings;
use guavawell_core::stream::OriginTable;
use guavawell_core::stream::SharedOrigin;
use guavawell_core::stream::SoftwareVersion;
use guavawell_core::stream::StreamOrigin;
use guavawell_core::stream::StreamTag;

use crate::walk::PlantedFault;
use crate::walk::WalkSettings;
use crate::walk::walk;

const START: ClockTime = ClockTime::from_millis(1_000_000);
const LIFE: ClockSpan = ClockSpan::from_millis(24_000);

fn organisation(name: &str) -> OrganisationId {
    name.parse().expect("a valid id")
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: "pool".parse().expect("a valid id"),
        version: version.parse().expect("a short version"),
    }
}

fn fingerprint(request: u64) -> RequestFingerprint {
    RequestFingerprint::new(u128::from(request))
}

fn shared(stream: u64, owner: &str, version: &str) -> SharedOrigin {
    SharedOrigin {
        stream: StreamTag::new(stream),
        fingerprint: fingerprint(stream),
        organisation: OrganisationTag::of(Some(&organisation(owner))),
        origin: origin(version),
        lasts: LIFE,
    }
}

fn members(zones: usize, per_zone: usize) -> Vec<FleetMember> {
    let instances = (0..zones * per_zone).map(|number| FleetMember {
        instance: format!("n-{number:03}").parse().expect("a valid id"),
        zone: format!("z{}", number % zones).parse().expect("a valid id"),
    });
    instances.collect()
}

#[test]
fn the_tag_of_a_stream_depends_on_its_organisation() {
    let own = StreamTag::of(Some(&organisation("acme")), "id-1");
    assert_eq!(own, StreamTag::of(Some(&organisation("acme")), "id-1"));
    assert_ne!(own, StreamTag::of(Some(&organisation("rival")), "id-1"));
    assert_ne!(own, StreamTag::of(None, "id-1"));
    assert_ne!(own, StreamTag::of(Some(&organisation("acme")), "id-2"));
    assert_eq!(own.to_string().parse(), Ok(own));
}

#[test]
fn versions_are_equal_only_byte_by_byte() {
    let version = |text: &str| text.parse::<SoftwareVersion>().expect("a short version");
    for other in ["V1", " v1", "v1 ", "v1.0", ""] {
        assert_ne!(version("v1"), version(other));
    }
    assert!(
        "v".repeat(MAX_VERSION_BYTES)
            .parse::<SoftwareVersion>()
            .is_ok()
    );
    assert!(
        "v".repeat(MAX_VERSION_BYTES + 1)
            .parse::<SoftwareVersion>()
            .is_err()
    );
}

#[test]
fn a_stream_is_kept_for_its_life() {
    let mut table = OriginTable::default();
    table.add(&shared(1, "acme", "v1"), START);
    let end = START + LIFE;
    let before = end.before(ClockSpan::from_millis(1));
    assert_eq!(table.find(StreamTag::new(1), before), Some(&origin("v1")));
    assert_eq!(table.find(StreamTag::new(1), end), None);
    table.sweep(end);
    assert!(table.is_empty());
}

#[test]
fn a_stream_told_with_two_origins_is_not_known() {
    let mut table = OriginTable::default();
    table.add(&shared(1, "acme", "v1"), START);
    table.add(&shared(1, "acme", "v1"), START);
    assert_eq!(table.find(StreamTag::new(1), START), Some(&origin("v1")));
    table.add(&shared(1, "acme", "v2"), START);
    table.add(&shared(1, "acme", "v1"), START);
    assert_eq!(table.find(StreamTag::new(1), START), None);
}

#[test]
fn a_request_with_streams_of_two_versions_is_not_known() {
    let mut table = OriginTable::default();
    let same_request = |stream, version| SharedOrigin {
        fingerprint: fingerprint(7),
        ..shared(stream, "acme", version)
    };
    table.add(&same_request(1, "v1"), START);
    table.add(&same_request(2, "v1"), START);
    let found = |table: &OriginTable| table.find_request(fingerprint(7), START).cloned();
    assert_eq!(found(&table), Some(origin("v1")));
    table.add(&same_request(3, "v2"), START);
    assert_eq!(found(&table), None);
    assert_eq!(table.find(StreamTag::new(3), START), Some(&origin("v2")));
}

// Guards against a stream that goes on where a later one of the same request began, because
// the instances that knew of it have ended.
#[test]
fn a_request_is_not_known_while_its_streams_may_be_older_than_the_table() {
    let mut table = OriginTable::default().kept_since(START);
    let add = |table: &mut OriginTable, now| {
        let lasting = SharedOrigin {
            lasts: MAX_STREAM_AGE,
            ..shared(1, "acme", "v1")
        };
        table.add(&lasting, now);
    };
    let found = |table: &OriginTable, now| table.find_request(fingerprint(1), now).cloned();
    add(&mut table, START);
    let end = START + MAX_STREAM_AGE;
    let before = end.before(ClockSpan::from_millis(1));
    assert_eq!(found(&table, before), None);
    assert_eq!(table.find(StreamTag::new(1), before), Some(&origin("v1")));
    add(&mut table, before);
    assert_eq!(found(&table, end), Some(origin("v1")));
    let mut first = OriginTable::default().kept_since(START);
    add(&mut first, START);
    first.note_first_start();
    assert_eq!(found(&first, START), Some(origin("v1")));
}

#[test]
fn an_organisation_evicts_no_stream_of_another() {
    let settings = OriginSettings {
        max_streams: 20,
        max_streams_per_organisation: 10,
        ..OriginSettings::default()
    };
    let mut table = OriginTable::new(settings);
    for stream in 0..10 {
        table.add(&shared(stream, "acme", "v1"), START);
    }
    for stream in 100..200 {
        table.add(&shared(stream, "rival", "v1"), START);
    }
    assert_eq!(table.len(), 20);
    assert!((0..10).all(|stream| table.find(StreamTag::new(stream), START).is_some()));
}

#[test]
fn the_first_holders_are_of_different_zones() {
    let fleet = members(4, 8);
    for stream in 0..200 {
        let order = spread_over_zones(&fleet, fingerprint(stream).short());
        assert_eq!(order.len(), fleet.len());
        let zone = |place: usize| {
            let member = fleet.iter().find(|member| member.instance == *order[place]);
            member.expect("a member").zone.clone()
        };
        let mut zones: Vec<_> = (0..4).map(zone).collect();
        zones.sort();
        zones.dedup();
        assert_eq!(zones.len(), 4);
    }
}

const SEEDS: u64 = 300;

#[test]
fn no_stream_goes_on_at_another_version_in_any_order_of_events() {
    for seed in 0..SEEDS {
        let report = walk(seed, WalkSettings::default());
        assert_eq!(report.mixed, 0, "seed {seed}");
    }
}

#[test]
fn every_stream_goes_on_while_no_instance_ends_and_no_message_is_lost() {
    for seed in 0..SEEDS {
        let settings = WalkSettings {
            ends: false,
            losses: false,
            ..WalkSettings::default()
        };
        let report = walk(seed, settings);
        assert!(report.continued > 0);
        assert_eq!((report.mixed, report.unknown), (0, 0), "seed {seed}");
    }
}

/// Continuations that went on, and those that nobody knew, of walks whose instances end.
fn count_after_ends(fault: Option<PlantedFault>) -> (usize, usize) {
    let settings = WalkSettings {
        losses: false,
        fault,
        ..WalkSettings::default()
    };
    let reports = (0..SEEDS).map(|seed| walk(seed, settings));
    reports.fold((0, 0), |(continued, unknown), report| {
        (continued + report.continued, unknown + report.unknown)
    })
}

#[test]
fn most_streams_go_on_after_their_instance_ended() {
    let (continued, unknown) = count_after_ends(None);
    assert!(
        unknown * 2 < continued,
        "{unknown} unknown, {continued} went on"
    );
    let (continued_untold, _) = count_after_ends(Some(PlantedFault::NobodyTold));
    assert!(continued_untold < continued);
}

#[test]
fn planted_faults_are_found() {
    let faults = [
        PlantedFault::LastRequestCounts,
        PlantedFault::FirstListedVersion,
    ];
    for fault in faults {
        let settings = WalkSettings {
            fault: Some(fault),
            ..WalkSettings::default()
        };
        let is_found = (0..SEEDS).any(|seed| walk(seed, settings).mixed > 0);
        assert!(is_found, "{fault:?}");
    }
}
