//! Admission of bursts: many requests at once to servers that are free, are full
//! or send no load reports.

use guavawell_core::backend::BackendSpec;
use guavawell_core::backend::BackendTable;
use guavawell_core::backend::LoadReport;
use guavawell_core::backend::RouteTarget;
use guavawell_core::backend::RoutingSettings;
use guavawell_core::backend::ServedModel;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::limits::Admission;
use guavawell_core::limits::AdmissionAnswer;
use guavawell_core::limits::AdmissionRequest;
use guavawell_core::limits::AdmissionSettings;
use guavawell_core::limits::AdmissionTicket;
use guavawell_core::limits::FairWeight;
use guavawell_core::limits::RequestPriority;

const NOW: ClockTime = ClockTime::from_millis(60_000);

fn later(millis: u64) -> ClockTime {
    NOW + ClockSpan::from_millis(millis)
}

fn served() -> ServedModel {
    ServedModel {
        model: "m".parse().expect("model"),
        version: "1".parse().expect("version"),
    }
}

fn target() -> RouteTarget {
    RouteTarget::Model(served().model)
}

/// The backend table of one of `routers` routers, with two servers.
fn table(routers: u32) -> BackendTable {
    let spec = |name: &str| BackendSpec {
        id: name.parse().expect("backend"),
        zone: "a".parse().expect("zone"),
        models: vec![served()],
        services: Vec::new(),
        leaving: false,
    };
    let specs = vec![spec("one"), spec("two")];
    let table = BackendTable::new(RoutingSettings::default(), specs, ClockTime::default());
    table.set_routers(routers);
    table
}

fn report(table: &BackendTable, running: u32, slots: u32, now: ClockTime) {
    let report = LoadReport {
        at: now,
        running,
        queued: 0,
        slots,
        models: vec![served()],
        role: "serve".into(),
    };
    for name in ["one", "two"] {
        let id = name.parse().expect("backend");
        assert!(!table.apply_report(&id, &report, now).ignored);
    }
}

/// Admission control with the slots and the limit of `table`.
fn reviewed(table: &BackendTable) -> Admission {
    let mut admission = Admission::new(AdmissionSettings::default());
    admission.set_slots(table.slot_share(&target(), NOW));
    admission.set_limit(table.capacity(&target(), NOW), NOW, &mut Vec::new());
    admission
}

fn request(ticket: u64, organisation: &str) -> AdmissionRequest {
    AdmissionRequest {
        ticket: AdmissionTicket::new(ticket),
        organisation: organisation.parse().expect("organisation"),
        weight: FairWeight::default(),
        priority: RequestPriority::default(),
        cost: 100,
        deadline: None,
        first_token: ClockSpan::from_millis(100),
    }
}

/// Submits `count` requests at once and counts those that run, are queued and are
/// refused.
fn burst(admission: &mut Admission, count: u64, organisations: &[&str]) -> [usize; 3] {
    let mut outcome = [0; 3];
    for (ticket, name) in (0..count).zip(organisations.iter().cycle()) {
        match admission.submit(request(ticket, name), NOW, &mut Vec::new()) {
            AdmissionAnswer::Run => outcome[0] += 1,
            AdmissionAnswer::Queued => outcome[1] += 1,
            AdmissionAnswer::Refused(_) => outcome[2] += 1,
        }
    }
    outcome
}

#[test]
fn a_burst_into_free_servers_runs_at_once() {
    let table = table(2);
    report(&table, 0, 4_096, NOW);
    let mut admission = reviewed(&table);
    let organisations = ["a", "b", "c", "d"];
    assert_eq!(burst(&mut admission, 600, &organisations), [600, 0, 0]);
}

#[test]
fn the_routers_parts_of_the_free_slots_add_up_to_them() {
    let table = table(6);
    report(&table, 3_496, 4_096, NOW);
    assert_eq!(table.capacity(&target(), NOW), 2 * 600 / 6);
}

#[test]
fn a_full_server_takes_no_burst() {
    let table = table(2);
    report(&table, 0, 4_096, NOW);
    report(&table, 5_000, 4_096, later(500));
    let least = RoutingSettings::default().concurrency_min;
    assert_eq!(table.capacity(&target(), later(500)), 2 * least);
}

#[test]
fn a_server_without_reports_is_not_limited_by_a_guess_of_its_slots() {
    let mut admission = reviewed(&table(2));
    let organisations = ["a", "b", "c", "d"];
    let [run, queued, refused] = burst(&mut admission, 128, &organisations);
    assert_eq!([run + queued, refused], [128, 0]);
    assert!(run > 100, "{run} of 128");
}

/// Admission control with this limit and a queue of one request.
fn small_queue(limit: u32) -> Admission {
    Admission::new(AdmissionSettings {
        limit,
        queue: 1,
        max_wait: ClockSpan::from_millis(3_000),
        hold_guess: ClockSpan::from_millis(1_000),
    })
}

#[test]
fn as_many_may_wait_as_may_run_if_the_wait_is_short() {
    let mut admission = small_queue(100);
    assert_eq!(burst(&mut admission, 300, &["a"]), [100, 100, 100]);
}

#[test]
fn the_expected_wait_follows_a_raised_limit() {
    let mut admission = Admission::new(AdmissionSettings {
        limit: 1,
        ..AdmissionSettings::default()
    });
    // One request at a time, each taking one second.
    burst(&mut admission, 2, &["a"]);
    let organisation = "a".parse().expect("id");
    for seconds in 1..=3 {
        let now = later(seconds * 1_000);
        admission.finish(&organisation, now, &mut Vec::new());
        admission.submit(request(10 + seconds, "a"), now, &mut Vec::new());
    }
    let now = later(3_000);
    admission.set_limit(100, now, &mut Vec::new());
    for ticket in 100..250 {
        let answer = admission.submit(request(ticket, "a"), now, &mut Vec::new());
        assert!(!matches!(answer, AdmissionAnswer::Refused(_)), "{ticket}");
    }
    // The waiting requests, at a hundred per second.
    let expected = admission.view().waiting as u64 * 10;
    let wait = admission.expected_wait(&request(250, "a"), now).as_millis();
    assert!((expected..=expected + 20).contains(&wait), "{wait}");
}

#[test]
fn requests_that_end_together_do_not_lengthen_the_expected_wait() {
    let mut admission = small_queue(64);
    burst(&mut admission, 128, &["a"]);
    let organisation = "a".parse().expect("id");
    let mut effects = Vec::new();
    (0..32).for_each(|_| admission.finish(&organisation, later(1_000), &mut effects));
    let wait = admission.expected_wait(&request(200, "a"), later(1_100));
    assert!(wait.as_millis() <= 1_000, "{wait}");
}

#[test]
fn organisations_that_begin_together_leave_no_slot_empty() {
    let mut admission = small_queue(24);
    admission.set_slots(24);
    admission.set_limit(24, NOW, &mut Vec::new());
    burst(&mut admission, 40, &["a", "b"]);
    admission.set_limit(24, later(10), &mut Vec::new());
    assert_eq!(admission.view().running, 24);
}

#[test]
fn several_routers_share_one_free_server_by_the_same_report() {
    let tables = [table(3), table(3), table(3)];
    let taken = tables.iter().map(|table| {
        report(table, 0, 300, NOW);
        table.capacity(&target(), NOW)
    });
    let taken: u32 = taken.sum();
    assert_eq!(taken, 2 * 300);
}
