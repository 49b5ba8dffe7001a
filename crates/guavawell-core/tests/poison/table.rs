//! The table of suspected requests of one instance.

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

/// Records the crash of a new server during an attempt that starts now.
fn crash(table: &mut PoisonTable, fingerprint: RequestFingerprint, now: ClockTime) {
    let began = table.mark(fingerprint);
    let server = server(&format!("{fingerprint}-{began}"));
    table.crashed(fingerprint, tag("acme"), began, server, now);
}

/// The tag of the server with this id.
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
    let settles = PoisonSettings::default().settle_span;
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
fn no_retry_follows_a_second_crash() {
    let mut table = table();
    crash(&mut table, REQUEST, NOW);
    assert!(table.may_retry(REQUEST));
    crash(&mut table, REQUEST, NOW);
    assert!(!table.may_retry(REQUEST));
}

#[test]
fn servers_that_crash_together_count_as_one_crash() {
    let mut table = table();
    let began = table.mark(REQUEST);
    for number in 0..6 {
        let server = server(&format!("s{number}"));
        table.crashed(REQUEST, tag("acme"), began, server, NOW);
    }
    assert_eq!(table.mark(REQUEST).crashes, 1);
}

/// The newest crashes are the ones that other instances may still report.
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

/// Guards against refusing a harmless request. In a network partition that resets
/// connections, two instances saw the same crash one after the other, and each
/// counted it.
#[test]
fn a_crash_seen_by_two_instances_counts_once() {
    let (mut first, mut second) = (table(), table());
    let began = first.mark(REQUEST);
    first.crashed(REQUEST, tag("acme"), began, server("s1"), NOW);
    let suspicion = first.shared(REQUEST, NOW).expect("a suspicion");
    second.learn(suspicion, false, NOW);
    let began = second.mark(REQUEST);
    let seen = second.crashed(REQUEST, tag("acme"), began, server("s1"), NOW);
    assert_eq!((seen, second.mark(REQUEST).crashes), (None, 1));
    second.crashed(REQUEST, tag("acme"), began, server("s2"), NOW);
    let suspicion = second.shared(REQUEST, NOW).expect("a suspicion");
    first.learn(suspicion, false, NOW);
    let began = first.mark(REQUEST);
    for again in ["s1", "s2"] {
        first.crashed(REQUEST, tag("acme"), began, server(again), NOW);
    }
    assert_eq!(first.mark(REQUEST).crashes, 2);
    first.crashed(REQUEST, tag("acme"), began, server("s3"), NOW);
    assert_eq!(first.mark(REQUEST).crashes, 3);
    // An answer also clears the remembered servers.
    first.answered(REQUEST, NOW);
    let began = first.mark(REQUEST);
    first.crashed(REQUEST, tag("acme"), began, server("s1"), later(60_000));
    assert_eq!(first.mark(REQUEST).crashes, 1);
}

#[test]
fn a_complete_answer_clears_a_request_and_late_suspicions_change_nothing() {
    let mut table = table();
    for _ in 0..3 {
        crash(&mut table, REQUEST, NOW);
    }
    let suspicion = table.shared(REQUEST, NOW).expect("a suspicion");
    let began = table.mark(REQUEST);
    assert!(table.answered(REQUEST, NOW).is_some());
    assert_eq!(table.verdict(REQUEST, NOW), PoisonVerdict::Clear);
    assert_eq!(table.learn(suspicion, false, NOW), None);
    // An attempt that started before the answer does not count either.
    table.crashed(REQUEST, tag("acme"), began, server("late"), NOW);
    assert_eq!(table.verdict(REQUEST, NOW), PoisonVerdict::Clear);
    assert_eq!(table.answered(REQUEST, NOW), None);
}

#[test]
fn a_recent_answer_clears_a_crash_that_is_reported_later() {
    let answer_span = PoisonSettings::default().answer_span.as_millis();
    let mut other = table();
    for _ in 0..3 {
        crash(&mut other, REQUEST, NOW);
    }
    let suspicion = other.shared(REQUEST, NOW).expect("a suspicion");
    let mut table = table();
    table.answered(REQUEST, NOW);
    crash(&mut table, REQUEST, later(answer_span - 1));
    assert_eq!(table.mark(REQUEST), SuspicionMark::default());
    let change = table.learn(suspicion, false, later(answer_span - 1));
    assert_eq!(
        change.map(|change| change.mark),
        Some(suspicion.mark.after_answer())
    );
    // The answer no longer counts once its span has passed.
    crash(&mut table, REQUEST, later(answer_span));
    assert_eq!(table.mark(REQUEST).crashes, 1);
}

#[test]
fn a_suspicion_is_kept_while_the_request_recurs_and_expires_otherwise() {
    let retention = PoisonSettings::default().retention.as_millis();
    let mut table = table();
    for _ in 0..3 {
        crash(&mut table, REQUEST, NOW);
    }
    let PoisonVerdict::Refused(rest) = table.verdict(REQUEST, later(retention - 1)) else {
        panic!("it is refused");
    };
    assert_eq!(rest.as_millis(), 1);
    table.refused(REQUEST, later(retention - 1));
    table.sweep(later(retention));
    assert!(is_refused(&table, REQUEST, later(retention)));
    assert!(!is_refused(&table, REQUEST, later(2 * retention)));
    table.sweep(later(2 * retention));
    assert!(table.entries().is_empty());
}

#[test]
fn an_expired_suspicion_is_not_merged() {
    let retention = PoisonSettings::default().retention;
    let suspicion = |age| SharedSuspicion {
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
        written_at: Some(later(0)),
        entries: vec![suspicion(ClockSpan::default())],
    };
    let ages = |now| -> Vec<u64> { list.aged(now).map(|entry| entry.age.as_millis()).collect() };
    assert_eq!(ages(Some(later(40))), [40]);
    assert_eq!(ages(None), [0]);
    let mut table = table();
    assert_eq!(table.learn(suspicion(retention), false, NOW), None);
    let nearly = ClockSpan::from_millis(retention.as_millis() - 5);
    assert!(table.learn(suspicion(nearly), false, NOW).is_some());
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
    let flood = settings.max_requests_per_organisation * 3;
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
    assert_eq!(
        table.entries().len(),
        settings.max_requests_per_organisation + 1
    );
    assert!(is_refused(&table, REQUEST, later(1_000)));
}

#[test]
fn a_flood_of_first_crashes_pushes_out_no_request_that_is_refused() {
    let settings = PoisonSettings::default();
    let mut table = table();
    for _ in 0..3 {
        crash(&mut table, REQUEST, NOW);
    }
    for number in 0..settings.max_requests * 2 {
        let fingerprint = RequestFingerprint::new(1_000 + number as u128);
        let name = format!("o{}", number % 50);
        let began = SuspicionMark::default();
        let server = server(&format!("s{number}"));
        table.crashed(fingerprint, tag(&name), began, server, later(number as u64));
    }
    assert_eq!(table.entries().len(), settings.max_requests);
    assert!(is_refused(&table, REQUEST, later(1_000)));
    let published = table.published_entries(later(0));
    assert_eq!(published.len(), settings.max_published);
    assert_eq!(published[0].fingerprint, REQUEST);
}

#[test]
fn an_instance_publishes_what_it_saw_and_its_previous_row() {
    let mut table = table();
    let suspicion = |fingerprint| SharedSuspicion {
        fingerprint: RequestFingerprint::new(fingerprint),
        organisation: tag("acme"),
        mark: SuspicionMark::default().after_crash(),
        servers: CrashedServers::default(),
        age: ClockSpan::default(),
    };
    table.learn(suspicion(1), false, NOW);
    table.learn(suspicion(2), true, NOW);
    // First learned from another instance, then also found in the own row.
    table.learn(suspicion(3), false, NOW);
    table.learn(suspicion(3), true, NOW);
    crash(&mut table, REQUEST, NOW);
    let mut fingerprints: Vec<_> = table
        .published_entries(NOW)
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
    for number in 0..settings.max_published * 2 {
        let fingerprint = RequestFingerprint::new(u128::MAX - number as u128);
        crash(&mut table, fingerprint, NOW);
    }
    let encoded_bytes = |count: usize| {
        let mut entries = table.published_entries(later(3_600_000));
        entries.truncate(count);
        let list = SuspicionList {
            written_at: Some(later(3_600_000)),
            entries,
        };
        encode_row(&list).expect("a row").len()
    };
    println!(
        "bytes of 1, 20, all entries: {}, {}, {}",
        encoded_bytes(1),
        encoded_bytes(20),
        encoded_bytes(settings.max_published)
    );
    assert!(encoded_bytes(settings.max_published) <= 16 * 1024);
}
