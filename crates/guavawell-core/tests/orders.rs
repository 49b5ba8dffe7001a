//! Orders under lost answers, races and late duplicates; permits; placement.

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
use guavawell_core::order::PlacementRoom;
use guavawell_core::order::PlacementWish;
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

/// Feeds the events and returns the last effect.
fn feed(order: &mut OrderIssuer, events: Vec<IssueEvent>) -> IssueEffect {
    let handle = |event| order.handle(event, NOW);
    events.into_iter().map(handle).last().expect("an event")
}

/// Up to the first send, under fencing number 1.
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
fn of_two_issuers_one_goes_on() {
    let mut b = order("b", false);
    b.handle(IssueEvent::Row(None, 0), NOW);
    b.handle(IssueEvent::Written(WriteResult::Conflict), NOW);
    let held = b.handle(IssueEvent::Row(Some(row("a", 1, false)), 1), NOW);
    assert_eq!(held, IssueEffect::Finish(IssueOutcome::HeldByOther));
    let mut heir = order("b", true);
    let taken = heir.handle(IssueEvent::Row(Some(row("a", 1, false)), 1), NOW);
    assert_eq!(taken, IssueEffect::WriteRow(1, row("b", 2, false)));
}

#[test]
fn a_paused_issuer_that_was_replaced_sends_nothing_even_if_numbers_are_ignored() {
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
fn an_engine_that_never_follows_is_given_up() {
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
        slots: 2,
        ..PermitSettings::default()
    };
    let at = ClockTime::from_millis;
    let id = |name: &str| name.parse().expect("backend");
    let row = PermitRow::default();
    let row = row.take(&id("x"), &settings, at(0)).expect("free");
    let row = row.take(&id("y"), &settings, at(0)).expect("free");
    let again = row.take(&id("x"), &settings, at(1)).expect("held");
    assert_eq!(
        again.permits.len(),
        2,
        "a lost answer takes no second permit"
    );
    assert_eq!(row.take(&id("z"), &settings, at(1)), Err(at(10_001)));
    let row = row.give_back(&id("x"));
    assert_eq!(row.take(&id("z"), &settings, at(9_999)), Err(at(10_000)));
    let row = row.take(&id("z"), &settings, at(10_000)).expect("free");
    let lapse = ClockTime::from_millis(0) + ClockSpan::from_millis(600_000);
    let row = row.take(&id("w"), &settings, lapse).expect("y lapsed");
    assert_eq!(row.permits.len(), 2);
}

fn room(name: &str, zone: &str, models: &[&str]) -> PlacementRoom {
    PlacementRoom {
        backend: name.parse().expect("backend"),
        zone: zone.parse().expect("zone"),
        capacity: 1,
        hosts: vec!["m".parse().expect("model")],
        models: models.iter().map(|version| served(version)).collect(),
        loading: Vec::new(),
        closed: false,
        leaving: false,
    }
}

fn wish(version: &str, copies: usize) -> PlacementWish {
    PlacementWish {
        served: served(version),
        zones: vec!["a".parse().expect("zone"), "b".parse().expect("zone")],
        copies,
    }
}

fn orders(wishes: &[PlacementWish], rooms: &[PlacementRoom]) -> Vec<Box<str>> {
    let text = |kind: &OrderKind| match kind {
        OrderKind::Load(served) => format!("load {}", served.version),
        OrderKind::Unload(served) => format!("unload {}", served.version),
        OrderKind::Role(role) => format!("role {role}"),
    };
    let plan = plan(wishes, rooms);
    plan.iter()
        .map(|order| format!("{} {}", order.backend, text(&order.kind)).into())
        .collect()
}

#[test]
fn each_zone_gets_its_copies() {
    let rooms = [
        room("a-0", "a", &[]),
        room("b-0", "b", &["2"]),
        room("b-1", "b", &[]),
    ];
    assert_eq!(orders(&[wish("2", 1)], &rooms), ["a-0 load 2".into()]);
}

#[test]
fn a_leaving_server_is_replaced_before_it_has_gone() {
    let mut leaving = room("a-0", "a", &["2"]);
    leaving.leaving = true;
    leaving.closed = true;
    let rooms = [leaving, room("a-1", "a", &[]), room("b-0", "b", &["2"])];
    assert_eq!(orders(&[wish("2", 1)], &rooms), ["a-1 load 2".into()]);
}

#[test]
fn a_new_version_never_takes_the_last_copy_of_the_old() {
    let wishes = [wish("2", 1)];
    let single = [room("a-0", "a", &["1"]), room("b-0", "b", &["2"])];
    let first = orders(&wishes, &single);
    assert_eq!(
        first,
        [] as [Box<str>; 0],
        "no room: left as it is, and served"
    );
    let two = [
        room("a-0", "a", &["1"]),
        room("a-1", "a", &["1"]),
        room("b-0", "b", &["2"]),
    ];
    assert_eq!(orders(&wishes, &two), ["a-0 unload 1".into()]);
    let next = [
        room("a-0", "a", &[]),
        room("a-1", "a", &["1"]),
        room("b-0", "b", &["2"]),
    ];
    assert_eq!(orders(&wishes, &next), ["a-0 load 2".into()]);
    let mut loading = next;
    loading[0].loading.push(served("2"));
    let none: [Box<str>; 0] = [];
    assert_eq!(orders(&wishes, &loading), none, "not served yet");
}

#[test]
fn what_a_late_duplicate_loaded_is_ordered_back() {
    let mut doubled = room("a-0", "a", &["2", "1"]);
    doubled.capacity = 2;
    let rooms = [doubled, room("b-0", "b", &["2"])];
    assert_eq!(orders(&[wish("2", 1)], &rooms), ["a-0 unload 1".into()]);
}

#[test]
fn a_server_is_given_only_what_it_may_hold() {
    let mut other = room("a-0", "a", &[]);
    other.hosts = vec!["n".parse().expect("model")];
    let rooms = [other, room("a-1", "a", &[]), room("b-0", "b", &["2"])];
    assert_eq!(orders(&[wish("2", 2)], &rooms), ["a-1 load 2".into()]);
}
