//! Tests of order issuing with lost responses, races and late duplicates, of
//! permits, and of placement.

use guavawell_core::backend::ServedModel;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::FenceNumber;
use guavawell_core::id::IncarnationId;
use guavawell_core::order::EngineReading;
use guavawell_core::order::IssueEffect;
use guavawell_core::order::IssueEvent;
use guavawell_core::order::IssueOutcome;
use guavawell_core::order::IssuerId;
use guavawell_core::order::OrderIssuer;
use guavawell_core::order::OrderKind;
use guavawell_core::order::OrderRow;
use guavawell_core::order::OrderSettings;
use guavawell_core::order::PermitRow;
use guavawell_core::order::PermitSettings;
use guavawell_core::order::PlacementEngine;
use guavawell_core::order::PlacementGoal;
use guavawell_core::order::SendResult;
use guavawell_core::order::WriteResult;
use guavawell_core::order::plan;

const NOW: ClockTime = ClockTime::from_millis(1_000);

fn served(version: &str) -> ServedModel {
    ServedModel {
        model: "m".parse().expect("model"),
        version: version.parse().expect("version"),
    }
}

fn issuer(name: &str) -> IssuerId {
    IssuerId {
        instance: name.parse().expect("instance"),
        incarnation: IncarnationId::new(1),
    }
}

fn order(name: &str, take_over: bool) -> OrderIssuer {
    let kind = OrderKind::Load(served("2"));
    OrderIssuer::new(OrderSettings::default(), issuer(name), kind, take_over)
}

fn row(name: &str, fence: u64, done: bool) -> OrderRow {
    OrderRow {
        owner: issuer(name),
        fence: FenceNumber::new(fence),
        kind: OrderKind::Load(served("2")),
        done,
    }
}

fn empty_engine() -> IssueEvent {
    IssueEvent::Engine(EngineReading::default())
}

fn loaded_engine() -> IssueEvent {
    IssueEvent::Engine(EngineReading {
        models: vec![served("2")],
        ..EngineReading::default()
    })
}

/// Feeds all events to `order` and returns the last effect.
fn feed(order: &mut OrderIssuer, events: Vec<IssueEvent>) -> IssueEffect {
    let handle = |event| order.handle(event, NOW);
    events.into_iter().map(handle).last().expect("an event")
}

/// Drives a new order up to its first send, with fencing number 1.
fn first_send(order: &mut OrderIssuer, name: &str) -> IssueEffect {
    let events = vec![
        IssueEvent::Row(None, 0),
        IssueEvent::Written(WriteResult::Done),
        empty_engine(),
        IssueEvent::Permit(Ok(())),
        empty_engine(),
        IssueEvent::Row(Some(row(name, 1, false)), 1),
    ];
    feed(order, events)
}

#[test]
fn an_order_is_recorded_before_it_is_sent_and_closed_after() {
    let mut a = order("a", false);
    let recorded = a.handle(IssueEvent::Row(None, 0), NOW);
    assert_eq!(recorded, IssueEffect::WriteRow(0, row("a", 1, false)));
    let mut a = order("a", false);
    let send = IssueEffect::Send(FenceNumber::new(1), OrderKind::Load(served("2")));
    assert_eq!(first_send(&mut a, "a"), send);
    let close = feed(
        &mut a,
        vec![
            IssueEvent::Sent(SendResult::Accepted),
            IssueEvent::Woken,
            loaded_engine(),
            IssueEvent::Row(Some(row("a", 1, false)), 1),
        ],
    );
    assert_eq!(close, IssueEffect::WriteRow(1, row("a", 1, true)));
    let end = a.handle(IssueEvent::Written(WriteResult::Done), NOW);
    assert_eq!(end, IssueEffect::Finish(IssueOutcome::Applied));
}

#[test]
fn a_lost_answer_to_a_send_is_read_back_and_not_repeated() {
    let mut a = order("a", false);
    first_send(&mut a, "a");
    let wait = a.handle(IssueEvent::Sent(SendResult::Unknown), NOW);
    assert!(matches!(wait, IssueEffect::Wait(_)));
    assert_eq!(a.handle(IssueEvent::Woken, NOW), IssueEffect::ReadEngine);
    let loading = IssueEvent::Engine(EngineReading {
        loading: vec![served("2")],
        ..EngineReading::default()
    });
    assert!(matches!(a.handle(loading, NOW), IssueEffect::Wait(_)));
    assert_eq!(a.handle(IssueEvent::Woken, NOW), IssueEffect::ReadEngine);
    assert_eq!(a.handle(loaded_engine(), NOW), IssueEffect::ReadRow);
}

#[test]
fn a_lost_answer_to_the_write_is_resolved_by_reading_the_row() {
    let mut a = order("a", false);
    a.handle(IssueEvent::Row(None, 0), NOW);
    let read = a.handle(IssueEvent::Written(WriteResult::Unknown), NOW);
    assert_eq!(read, IssueEffect::ReadRow);
    let kept = a.handle(IssueEvent::Row(Some(row("a", 1, false)), 1), NOW);
    assert_eq!(kept, IssueEffect::ReadEngine, "same number, no second row");
}

#[test]
fn only_one_of_two_issuers_continues() {
    let mut b = order("b", false);
    b.handle(IssueEvent::Row(None, 0), NOW);
    b.handle(IssueEvent::Written(WriteResult::Conflict), NOW);
    let held = b.handle(IssueEvent::Row(Some(row("a", 1, false)), 1), NOW);
    assert_eq!(held, IssueEffect::Finish(IssueOutcome::HeldByOther));
    let mut successor = order("b", true);
    let taken = successor.handle(IssueEvent::Row(Some(row("a", 1, false)), 1), NOW);
    assert_eq!(taken, IssueEffect::WriteRow(1, row("b", 2, false)));
}

#[test]
fn a_replaced_issuer_sends_nothing_even_if_the_engine_ignores_fencing_numbers() {
    let mut a = order("a", false);
    first_send(&mut a, "a");
    let replaced = vec![
        IssueEvent::Sent(SendResult::Unknown),
        IssueEvent::Woken,
        empty_engine(),
        IssueEvent::Row(Some(row("b", 2, false)), 2),
    ];
    let end = IssueEffect::Finish(IssueOutcome::Superseded);
    assert_eq!(feed(&mut a, replaced), end);
    let mut a = order("a", false);
    first_send(&mut a, "a");
    let stale = a.handle(IssueEvent::Sent(SendResult::Stale), NOW);
    assert_eq!(stale, end, "where the engine checks");
}

#[test]
fn an_order_fails_after_the_maximum_number_of_sends() {
    let mut a = order("a", false);
    first_send(&mut a, "a");
    let mut last = IssueEffect::ReadRow;
    for _ in 0..3 {
        last = feed(
            &mut a,
            vec![
                IssueEvent::Sent(SendResult::Accepted),
                IssueEvent::Woken,
                empty_engine(),
            ],
        );
        if last == IssueEffect::ReadRow {
            a.handle(IssueEvent::Row(Some(row("a", 1, false)), 1), NOW);
        }
    }
    assert_eq!(last, IssueEffect::Finish(IssueOutcome::Failed));
}

#[test]
fn loads_keep_to_one_fleet_wide_rate() {
    let settings = PermitSettings {
        max_loads: 2,
        ..PermitSettings::default()
    };
    let at = ClockTime::from_millis;
    let id = |name: &str| name.parse().expect("backend");
    let row = PermitRow::default();
    let row = row.acquire(&id("x"), &settings, at(0)).expect("free");
    let row = row.acquire(&id("y"), &settings, at(0)).expect("free");
    let again = row.acquire(&id("x"), &settings, at(1)).expect("held");
    assert_eq!(
        again.permits.len(),
        2,
        "a lost answer takes no second permit"
    );
    assert_eq!(row.acquire(&id("z"), &settings, at(1)), Err(at(10_001)));
    let row = row.release(&id("x"));
    assert_eq!(row.acquire(&id("z"), &settings, at(9_999)), Err(at(10_000)));
    let row = row.acquire(&id("z"), &settings, at(10_000)).expect("free");
    let expired_at = ClockTime::from_millis(0) + ClockSpan::from_millis(600_000);
    let row = row
        .acquire(&id("w"), &settings, expired_at)
        .expect("y lapsed");
    assert_eq!(row.permits.len(), 2);
}

fn engine(name: &str, zone: &str, models: &[&str]) -> PlacementEngine {
    PlacementEngine {
        backend: name.parse().expect("backend"),
        zone: zone.parse().expect("zone"),
        capacity: 1,
        loadable: vec!["m".parse().expect("model")],
        models: models.iter().map(|version| served(version)).collect(),
        loading: Vec::new(),
        blocked: false,
        leaving: false,
    }
}

fn goal(version: &str, replicas: usize) -> PlacementGoal {
    PlacementGoal {
        served: served(version),
        zones: vec!["a".parse().expect("zone"), "b".parse().expect("zone")],
        replicas,
    }
}

fn orders(goals: &[PlacementGoal], engines: &[PlacementEngine]) -> Vec<Box<str>> {
    let text = |kind: &OrderKind| match kind {
        OrderKind::Load(served) => format!("load {}", served.version),
        OrderKind::Unload(served) => format!("unload {}", served.version),
        OrderKind::Role(role) => format!("role {role}"),
    };
    let plan = plan(goals, engines);
    plan.iter()
        .map(|order| format!("{} {}", order.backend, text(&order.kind)).into())
        .collect()
}

#[test]
fn each_zone_gets_its_replicas() {
    let engines = [
        engine("a-0", "a", &[]),
        engine("b-0", "b", &["2"]),
        engine("b-1", "b", &[]),
    ];
    assert_eq!(orders(&[goal("2", 1)], &engines), ["a-0 load 2".into()]);
}

#[test]
fn a_leaving_server_is_replaced_before_it_has_gone() {
    let mut leaving = engine("a-0", "a", &["2"]);
    leaving.leaving = true;
    leaving.blocked = true;
    let engines = [leaving, engine("a-1", "a", &[]), engine("b-0", "b", &["2"])];
    assert_eq!(orders(&[goal("2", 1)], &engines), ["a-1 load 2".into()]);
}

#[test]
fn a_new_version_never_replaces_the_last_replica_of_the_old_one() {
    let goals = [goal("2", 1)];
    let single = [engine("a-0", "a", &["1"]), engine("b-0", "b", &["2"])];
    let first = orders(&goals, &single);
    assert_eq!(
        first,
        [] as [Box<str>; 0],
        "no room: left as it is, and served"
    );
    let two = [
        engine("a-0", "a", &["1"]),
        engine("a-1", "a", &["1"]),
        engine("b-0", "b", &["2"]),
    ];
    assert_eq!(orders(&goals, &two), ["a-0 unload 1".into()]);
    let next = [
        engine("a-0", "a", &[]),
        engine("a-1", "a", &["1"]),
        engine("b-0", "b", &["2"]),
    ];
    assert_eq!(orders(&goals, &next), ["a-0 load 2".into()]);
    let mut loading = next;
    loading[0].loading.push(served("2"));
    let none: [Box<str>; 0] = [];
    assert_eq!(orders(&goals, &loading), none, "not served yet");
}

#[test]
fn a_model_loaded_by_a_late_duplicate_order_is_unloaded() {
    let mut doubled = engine("a-0", "a", &["2", "1"]);
    doubled.capacity = 2;
    let engines = [doubled, engine("b-0", "b", &["2"])];
    assert_eq!(orders(&[goal("2", 1)], &engines), ["a-0 unload 1".into()]);
}

#[test]
fn a_server_loads_only_models_listed_for_it() {
    let mut other = engine("a-0", "a", &[]);
    other.loadable = vec!["n".parse().expect("model")];
    let engines = [other, engine("a-1", "a", &[]), engine("b-0", "b", &["2"])];
    assert_eq!(orders(&[goal("2", 2)], &engines), ["a-1 load 2".into()]);
}
