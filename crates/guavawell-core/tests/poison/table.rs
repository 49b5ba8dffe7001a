//! What one instance believes.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::grant::encode_row;
use guavawell_core::poison::CrashedServers;
use guavawell_core::poison::OrganisationTag;
use guavawell_core::poison::PoisonSettings;
use guavawell_core::poison::PoisonTable;
use guavawell_core::poison::PoisonVerdict;
use guavawell_core::poison::RequestFingerprint;
use guavawell_core::poison::ServerTag;
use guavawell_core::poison::SharedSuspicion;
use guavawell_core::poison::SuspicionList;
use guavawell_core::poison::SuspicionMark;

const NOW: ClockTime = ClockTime::from_millis(10_000_000);
const REQUEST: RequestFingerprint = RequestFingerprint::new(7);

fn table() -> PoisonTable {
    PoisonTable::new(PoisonSettings::default())
}

fn tag(name: &str) -> OrganisationTag {
    OrganisationTag::of(Some(&name.parse().expect("an id")))
}

/// A server crashes under an attempt that begins now.
fn crash(table: &mut PoisonTable, fingerprint: RequestFingerprint, now: ClockTime) {
    let began = table.mark(fingerprint);
    let server = server(&format!("{fingerprint}-{began}"));
    table.crashed(fingerprint, tag("acme"), began, server, now);
}

/// A server of its own.
fn server(id: &str) -> ServerTag {
    ServerTag::of(&ServerIncarnation {
        id: id.parse().expect("an id"),
        born: None,
    })
}

fn is_refused(table: &PoisonTable, fingerprint: RequestFingerprint, now: ClockTime) -> bool {
    matches!(table.verdict(fingerprint, now), PoisonVerdict::Refused(_))
}

fn later(millis: u64) -> ClockTime {
    NOW + ClockSpan::from_millis(millis)
}

#[test]
fn a_request_is_refused_after_three_crashes_in_a_row() {
    let mut table = table();
    for crashes in 0..3 {
        assert!(!is_refused(&table, REQUEST, NOW), "after {crashes}");
        crash(&mut table, REQUEST, NOW);
    }
    let settles = PoisonSettings::default().settles_in;
    assert_eq!(
        table.verdict(REQUEST, NOW),
        PoisonVerdict::Undecided(settles)
    );
    assert!(is_refused(&table, REQUEST, NOW + settles));
    assert_eq!(
        table.verdict(RequestFingerprint::new(8), NOW),
        PoisonVerdict::Clear
    );
}

#[test]
fn one_request_takes_two_servers_at_its_first_sight_at_most() {
    let mut table = table();
    crash(&mut table, REQUEST, NOW);
    assert!(table.may_repeat(REQUEST));
    crash(&mut table, REQUEST, NOW);
    assert!(!table.may_repeat(REQUEST));
}

#[test]
fn servers_that_fail_together_are_one_crash_to_a_popular_request() {
    let mut table = table();
    let began = table.mark(REQUEST);
    for number in 0..6 {
        let server = server(&format!("s{number}"));
        table.crashed(REQUEST, tag("acme"), began, server, NOW);
    }
    assert_eq!(table.mark(REQUEST).crashes, 1);
}

/// The newest crashes are the ones that others still see.
#[test]
fn the_last_servers_that_crashed_are_remembered() {
    let mut servers = CrashedServers::default();
    let tags = ["s1", "s2", "s3", "s4", "s5"].map(server);
    for tag in &tags {
        servers.add(*tag);
    }
    servers.add(tags[4]);
    let held = tags.map(|tag| servers.contains(tag));
    assert_eq!(held, [false, false, true, true, true]);
}

/// Guards against a request that is refused though it crashed no server: a cut that
/// answers with resets let two instances see the same crash one after the other.
#[test]
fn a_server_whose_crash_two_instances_saw_crashed_once() {
    let (mut first, mut second) = (table(), table());
    let began = first.mark(REQUEST);
    first.crashed(REQUEST, tag("acme"), began, server("s1"), NOW);
    let told = first.shared(REQUEST, NOW).expect("a suspicion");
    second.learn(told, false, NOW);
    let began = second.mark(REQUEST);
    let seen = second.crashed(REQUEST, tag("acme"), began, server("s1"), NOW);
    assert_eq!((seen, second.mark(REQUEST).crashes), (None, 1));
    second.crashed(REQUEST, tag("acme"), began, server("s2"), NOW);
    let told = second.shared(REQUEST, NOW).expect("a suspicion");
    first.learn(told, false, NOW);
    let began = first.mark(REQUEST);
    for again in ["s1", "s2"] {
        first.crashed(REQUEST, tag("acme"), began, server(again), NOW);
    }
    assert_eq!(first.mark(REQUEST).crashes, 2);
    first.crashed(REQUEST, tag("acme"), began, server("s3"), NOW);
    assert_eq!(first.mark(REQUEST).crashes, 3);
    // After an answer all counts anew.
    first.answered(REQUEST, NOW);
    let began = first.mark(REQUEST);
    first.crashed(REQUEST, tag("acme"), began, server("s1"), later(60_000));
    assert_eq!(first.mark(REQUEST).crashes, 1);
}

#[test]
fn a_complete_answer_takes_all_evidence_back_and_what_is_told_late_changes_nothing() {
    let mut table = table();
    for _ in 0..3 {
        crash(&mut table, REQUEST, NOW);
    }
    let told = table.shared(REQUEST, NOW).expect("a suspicion");
    let began = table.mark(REQUEST);
    assert!(table.answered(REQUEST, NOW).is_some());
    assert_eq!(table.verdict(REQUEST, NOW), PoisonVerdict::Clear);
    assert_eq!(table.learn(told, false, NOW), None);
    // An attempt that began before the answer does not count either.
    table.crashed(REQUEST, tag("acme"), began, server("late"), NOW);
    assert_eq!(table.verdict(REQUEST, NOW), PoisonVerdict::Clear);
    assert_eq!(table.answered(REQUEST, NOW), None);
}

#[test]
fn an_answer_shortly_before_a_crash_is_known_tells_as_much() {
    let tells = PoisonSettings::default().answer_tells.as_millis();
    let mut told = table();
    for _ in 0..3 {
        crash(&mut told, REQUEST, NOW);
    }
    let told = told.shared(REQUEST, NOW).expect("a suspicion");
    let mut table = table();
    table.answered(REQUEST, NOW);
    crash(&mut table, REQUEST, later(tells - 1));
    assert_eq!(table.mark(REQUEST), SuspicionMark::default());
    let change = table.learn(told, false, later(tells - 1));
    assert_eq!(
        change.map(|change| change.mark),
        Some(told.mark.after_answer())
    );
    // A request that was answered long ago may crash servers now.
    crash(&mut table, REQUEST, later(tells));
    assert_eq!(table.mark(REQUEST).crashes, 1);
}

#[test]
fn belief_lasts_while_the_request_comes_and_ends_with_a_pause() {
    let lasts = PoisonSettings::default().lasts.as_millis();
    let mut table = table();
    for _ in 0..3 {
        crash(&mut table, REQUEST, NOW);
    }
    let PoisonVerdict::Refused(rest) = table.verdict(REQUEST, later(lasts - 1)) else {
        panic!("it is refused");
    };
    assert_eq!(rest.as_millis(), 1);
    table.refused(REQUEST, later(lasts - 1));
    table.sweep(later(lasts));
    assert!(is_refused(&table, REQUEST, later(lasts)));
    assert!(!is_refused(&table, REQUEST, later(2 * lasts)));
    table.sweep(later(2 * lasts));
    assert!(table.entries().is_empty());
}

#[test]
fn what_is_too_old_when_it_is_told_is_not_believed() {
    let lasts = PoisonSettings::default().lasts;
    let told = |age| SharedSuspicion {
        fingerprint: REQUEST,
        organisation: tag("acme"),
        mark: SuspicionMark {
            cleared: 0,
            crashes: 3,
        },
        servers: CrashedServers::default(),
        age,
    };
    let list = SuspicionList {
        told_at: Some(later(0)),
        entries: vec![told(ClockSpan::default())],
    };
    let ages = |now| -> Vec<u64> { list.aged(now).map(|entry| entry.age.as_millis()).collect() };
    assert_eq!(ages(Some(later(40))), [40]);
    assert_eq!(ages(None), [0]);
    let mut table = table();
    assert_eq!(table.learn(told(lasts), false, NOW), None);
    let nearly = ClockSpan::from_millis(lasts.as_millis() - 5);
    assert!(table.learn(told(nearly), false, NOW).is_some());
    assert!(is_refused(&table, REQUEST, later(4)));
    assert!(!is_refused(&table, REQUEST, later(5)));
}

#[test]
fn a_flood_of_one_organisation_pushes_out_nothing_of_another() {
    let settings = PoisonSettings::default();
    let mut table = table();
    for _ in 0..3 {
        crash(&mut table, REQUEST, NOW);
    }
    let flood = settings.most_each * 3;
    for number in 0..flood {
        let fingerprint = RequestFingerprint::new(1_000 + number as u128);
        for _ in 0..4 {
            let began = table.mark(fingerprint);
            let server = server(&format!("s{began}"));
            table.crashed(
                fingerprint,
                tag("flood"),
                began,
                server,
                later(number as u64),
            );
        }
    }
    assert_eq!(table.entries().len(), settings.most_each + 1);
    assert!(is_refused(&table, REQUEST, later(1_000)));
}

#[test]
fn a_flood_of_first_crashes_pushes_out_no_request_that_is_refused() {
    let settings = PoisonSettings::default();
    let mut table = table();
    for _ in 0..3 {
        crash(&mut table, REQUEST, NOW);
    }
    for number in 0..settings.most * 2 {
        let fingerprint = RequestFingerprint::new(1_000 + number as u128);
        let name = format!("o{}", number % 50);
        let began = SuspicionMark::default();
        let server = server(&format!("s{number}"));
        table.crashed(fingerprint, tag(&name), began, server, later(number as u64));
    }
    assert_eq!(table.entries().len(), settings.most);
    assert!(is_refused(&table, REQUEST, later(1_000)));
    let told = table.told(later(0));
    assert_eq!(told.len(), settings.most_told);
    assert_eq!(told[0].fingerprint, REQUEST);
}

#[test]
fn an_instance_tells_what_it_saw_and_what_its_earlier_life_told() {
    let mut table = table();
    let told = |fingerprint| SharedSuspicion {
        fingerprint: RequestFingerprint::new(fingerprint),
        organisation: tag("acme"),
        mark: SuspicionMark::default().after_crash(),
        servers: CrashedServers::default(),
        age: ClockSpan::default(),
    };
    table.learn(told(1), false, NOW);
    table.learn(told(2), true, NOW);
    // First learned of another, then found in the own row as well.
    table.learn(told(3), false, NOW);
    table.learn(told(3), true, NOW);
    crash(&mut table, REQUEST, NOW);
    let mut fingerprints: Vec<_> = table
        .told(NOW)
        .iter()
        .map(|entry| entry.fingerprint)
        .collect();
    fingerprints.sort();
    assert_eq!(fingerprints, [2, 3, 7].map(RequestFingerprint::new));
}

#[test]
fn a_full_row_stays_far_below_what_the_store_takes() {
    let settings = PoisonSettings::default();
    let mut table = table();
    for number in 0..settings.most_told * 2 {
        let fingerprint = RequestFingerprint::new(u128::MAX - number as u128);
        crash(&mut table, fingerprint, NOW);
    }
    let told = |count: usize| {
        let mut entries = table.told(later(3_600_000));
        entries.truncate(count);
        let list = SuspicionList {
            told_at: Some(later(3_600_000)),
            entries,
        };
        encode_row(&list).expect("a row").len()
    };
    println!(
        "bytes of 1, 20, all entries: {}, {}, {}",
        told(1),
        told(20),
        told(settings.most_told)
    );
    assert!(told(settings.most_told) <= 16 * 1024);
}
