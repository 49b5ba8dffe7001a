//! Servers that lose every comparison are tried again; those that lose to a
//! hedge are known as slow.

use std::sync::Arc;

use guavawell_core::backend::BackendLease;
use guavawell_core::backend::BackendSpec;
use guavawell_core::backend::BackendTable;
use guavawell_core::backend::ChoiceRequest;
use guavawell_core::backend::LeaseOutcome;
use guavawell_core::backend::LoadReport;
use guavawell_core::backend::RouteTarget;
use guavawell_core::backend::RoutingSettings;
use guavawell_core::backend::ServedModel;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::BackendId;

const FAST: &str = "a-0";
const SLOW: &str = "a-1";

/// Times to first token, as the fault test's engines were measured.
const FAST_MILLIS: u64 = 2;
const SLOW_MILLIS: u64 = 5;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

/// Past slow start, and without a request for longer than the trial's span.
const LATER: ClockTime = ClockTime::from_millis(60_000);

fn served() -> ServedModel {
    ServedModel {
        model: "m".parse().expect("model"),
        version: "1".parse().expect("version"),
    }
}

fn spec(name: &str) -> BackendSpec {
    BackendSpec {
        id: name.parse().expect("backend"),
        zone: "a".parse().expect("zone"),
        models: vec![served()],
        services: Vec::new(),
        leaving: false,
    }
}

fn table() -> Arc<BackendTable> {
    let specs = vec![spec(FAST), spec(SLOW)];
    let settings = RoutingSettings::default();
    Arc::new(BackendTable::new(settings, specs, at(0)))
}

fn begin(table: &Arc<BackendTable>, draw: u64, tried: &[&str], now: ClockTime) -> BackendLease {
    let exclude: Vec<BackendId> = tried.iter().map(|id| id.parse().expect("id")).collect();
    let ask = ChoiceRequest {
        target: &RouteTarget::Model("m".parse().expect("model")),
        version: None,
        adapter: None,
        zone: &"a".parse().expect("zone"),
        prefix: None,
        exclude: &exclude,
        draw,
        now,
    };
    let pick = table.choose(&ask).expect("a server");
    pick.begin(now).expect("not leaving")
}

/// One request served by the server that is not `other`, at the given speed.
fn measure(table: &Arc<BackendTable>, other: &str, millis: u64, now: ClockTime) {
    let mut lease = begin(table, 1, &[other], now);
    let first = now + ClockSpan::from_millis(millis);
    lease.first_token(first);
    lease.finish(LeaseOutcome::Served, first);
}

/// Requests of `count`, one after the other at one moment, that the slow
/// server got.
fn slow_share(table: &Arc<BackendTable>, count: u64, now: ClockTime) -> usize {
    let served = (0..count).map(|draw| begin(table, draw, &[], now));
    served
        .map(|lease| {
            let is_slow = lease.backend().id().as_str() == SLOW;
            lease.finish(LeaseOutcome::Served, now);
            is_slow
        })
        .filter(|is_slow| *is_slow)
        .count()
}

#[test]
fn a_server_once_measured_slower_is_tried_again_by_one_request() {
    let table = table();
    measure(&table, SLOW, FAST_MILLIS, at(0));
    measure(&table, FAST, SLOW_MILLIS, at(0));
    assert_eq!(slow_share(&table, 200, LATER), 1);
    let soon = LATER + ClockSpan::from_millis(9_000);
    assert_eq!(slow_share(&table, 200, soon), 0, "tried a moment ago");
    let due = LATER + ClockSpan::from_millis(10_000);
    assert_eq!(slow_share(&table, 200, due), 1);
}

#[test]
fn a_server_never_measured_is_tried_beside_a_fast_one() {
    let table = table();
    measure(&table, SLOW, FAST_MILLIS, at(0));
    assert_eq!(slow_share(&table, 200, LATER), 1);
}

#[test]
fn a_crowded_or_failing_server_is_not_tried() {
    let table = table();
    measure(&table, SLOW, FAST_MILLIS, at(0));
    let report = LoadReport {
        at: LATER,
        running: 15,
        queued: 0,
        slots: 16,
        models: vec![served()],
        role: "serve".into(),
    };
    let slow = SLOW.parse().expect("backend");
    assert!(!table.apply_report(&slow, &report, LATER).ignored);
    assert_eq!(slow_share(&table, 200, LATER), 0);
    let lease = begin(&table, 1, &[FAST], LATER);
    lease.finish(LeaseOutcome::Unreachable, LATER);
    let ejected = LATER + ClockSpan::from_millis(11_000);
    assert_eq!(slow_share(&table, 200, ejected), 0, "no report since");
}

#[test]
fn a_server_that_loses_to_a_hedge_is_known_as_slow() {
    let table = table();
    measure(&table, SLOW, FAST_MILLIS, at(0));
    measure(&table, FAST, FAST_MILLIS, at(0));
    for round in 0..10 {
        let now = at(round * 1_000);
        let lease = begin(&table, 1, &[FAST], now);
        lease.overtaken(now + ClockSpan::from_millis(500));
    }
    let views = table.views(at(10_000));
    assert!(views[1].first_token_ms > 250, "{views:?}");
    assert_eq!(views[0].first_token_ms, FAST_MILLIS);
    assert_eq!((views[1].own, views[1].ejected), (0, false));
}
