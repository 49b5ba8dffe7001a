//! Choice of backend servers under the failures of the brief.

use std::sync::Arc;

use guavawell_core::backend::BackendLease;
use guavawell_core::backend::BackendSpec;
use guavawell_core::backend::BackendTable;
use guavawell_core::backend::CacheBatch;
use guavawell_core::backend::CacheChange;
use guavawell_core::backend::CacheEvent;
use guavawell_core::backend::ChoiceRequest;
use guavawell_core::backend::ConnectionAction;
use guavawell_core::backend::ConnectionSettings;
use guavawell_core::backend::ConnectionWatch;
use guavawell_core::backend::LeaseOutcome;
use guavawell_core::backend::LoadReport;
use guavawell_core::backend::NoBackend;
use guavawell_core::backend::PrefixHash;
use guavawell_core::backend::ProbeResult;
use guavawell_core::backend::RouteTarget;
use guavawell_core::backend::RoutingSettings;
use guavawell_core::backend::ServedModel;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::BackendId;
use guavawell_core::id::ModelId;
use guavawell_core::id::ZoneId;

/// Past slow start of a table made at zero.
const WARM: ClockTime = ClockTime::from_millis(60_000);

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn after(millis: u64) -> ClockTime {
    WARM + ClockSpan::from_millis(millis)
}

fn zone(name: &str) -> ZoneId {
    name.parse().expect("zone")
}

fn backend(name: &str) -> BackendId {
    name.parse().expect("backend")
}

fn served(model: &str, version: &str) -> ServedModel {
    ServedModel {
        model: model.parse().expect("model"),
        version: version.parse().expect("version"),
    }
}

fn model(name: &str) -> RouteTarget {
    RouteTarget::Model(name.parse().expect("model"))
}

fn spec(name: &str, zone_name: &str) -> BackendSpec {
    BackendSpec {
        id: backend(name),
        zone: zone(zone_name),
        models: vec![served("m", "1")],
        services: vec!["desk".parse().expect("service")],
        leaving: false,
    }
}

/// `count` servers `z-0`, `z-1`, ... in each named zone.
fn table(zones: &[&str], count: usize) -> Arc<BackendTable> {
    let specs = zones
        .iter()
        .flat_map(|name| (0..count).map(move |number| spec(&format!("{name}-{number}"), name)))
        .collect();
    let settings = RoutingSettings::default();
    Arc::new(BackendTable::new(settings, specs, ClockTime::default()))
}

/// A request in zone `a` for model `m`.
struct AskSample {
    target: RouteTarget,
    zone: ZoneId,
}

impl AskSample {
    fn new() -> Self {
        Self {
            target: model("m"),
            zone: zone("a"),
        }
    }

    fn ask(&self, draw: u64, now: ClockTime) -> ChoiceRequest<'_> {
        ChoiceRequest {
            target: &self.target,
            version: None,
            adapter: None,
            zone: &self.zone,
            prefix: None,
            exclude: &[],
            draw,
            now,
        }
    }
}

/// All servers chosen over 200 draws.
fn chosen(table: &Arc<BackendTable>, now: ClockTime) -> Vec<Box<str>> {
    let sample = AskSample::new();
    let pick = |draw| table.choose(&sample.ask(draw, now)).expect("pick");
    let mut names: Vec<Box<str>> = (0..200)
        .map(|draw| pick(draw).backend.id().as_str().into())
        .collect();
    names.sort();
    names.dedup();
    names
}

fn run(table: &Arc<BackendTable>, name: &str, now: ClockTime) -> BackendLease {
    let sample = AskSample::new();
    let others: Vec<BackendId> = table
        .specs()
        .iter()
        .map(|spec| spec.id.clone())
        .filter(|id| *id != backend(name))
        .collect();
    let mut ask = sample.ask(1, now);
    ask.exclude = &others;
    let pick = table.choose(&ask).expect("only one left");
    pick.begin(now).expect("not leaving")
}

fn fail(table: &Arc<BackendTable>, name: &str, times: usize, now: ClockTime) {
    for _ in 0..times {
        run(table, name, now).finish(LeaseOutcome::Failed, now);
    }
}

fn report(at_millis: u64, running: u32, queued: u32) -> LoadReport {
    LoadReport {
        at: at(at_millis),
        running,
        queued,
        slots: 16,
        models: vec![served("m", "1")],
        role: "serve".into(),
    }
}

#[test]
fn own_zone_goes_first_and_a_lost_zone_is_replaced() {
    let table = table(&["a", "b"], 2);
    assert_eq!(chosen(&table, WARM), ["a-0".into(), "a-1".into()]);
    for name in ["a-0", "a-1"] {
        assert!(table.set_leaving(&backend(name), true));
    }
    assert_eq!(chosen(&table, WARM), ["b-0".into(), "b-1".into()]);
}

#[test]
fn a_queueing_zone_spills_to_another() {
    let table = table(&["a", "b"], 2);
    for name in ["a-0", "a-1"] {
        let effect = table.apply_report(&backend(name), &report(60_000, 16, 40), WARM);
        assert!(!effect.ignored);
    }
    assert_eq!(chosen(&table, WARM), ["b-0".into(), "b-1".into()]);
}

#[test]
fn a_stale_report_counts_own_requests_since_its_moment() {
    let table = table(&["a"], 1);
    let id = backend("a-0");
    let _first = run(&table, "a-0", after(0));
    let _second = run(&table, "a-0", after(1_000));
    // Taken at 500: 5 running, one of them ours; arrives at 1,500.
    let lag = table.apply_report(&id, &report(60_000, 0, 0), after(0));
    assert!(!lag.ignored);
    let _ = table.apply_report(&id, &report(60_500, 5, 0), after(1_500));
    let view = &table.views(after(1_500))[0];
    assert_eq!((view.own, view.load), (2, 6));
    let older = table.apply_report(&id, &report(60_400, 50, 0), after(1_600));
    assert!(older.ignored, "a crossed, older report changes nothing");
}

#[test]
fn the_other_routers_reaction_to_a_report_is_counted() {
    let table = table(&["a"], 1);
    table.set_routers(6);
    let effect = table.apply_report(&backend("a-0"), &report(60_000, 4, 0), WARM);
    assert!(!effect.ignored);
    let _own = run(&table, "a-0", after(200));
    assert_eq!(table.views(after(200))[0].load, 4 + 6);
}

#[test]
fn a_report_of_waiting_requests_limits_each_router_to_its_share() {
    let table = table(&["a"], 1);
    let id = backend("a-0");
    let held: Vec<BackendLease> = (0..6).map(|_| run(&table, "a-0", WARM)).collect();
    let now = after(1_000);
    let _ = table.apply_report(&id, &report(61_000, 16, 16), now);
    assert_eq!(table.capacity(&model("m"), now), 3, "6 of 32, for 16 slots");
    drop(held);
    let later = after(3_000);
    let _two = [run(&table, "a-0", now), run(&table, "a-0", now)];
    // So many routers that none has a whole free slot for its part.
    table.set_routers(16);
    let _ = table.apply_report(&id, &report(63_000, 2, 0), later);
    assert_eq!(
        table.capacity(&model("m"), later),
        4,
        "free slots let it grow"
    );
    table.set_routers(2);
    let _ = table.apply_report(&id, &report(63_500, 2, 0), after(3_500));
    assert_eq!(
        table.capacity(&model("m"), after(3_500)),
        9,
        "2 of its own and half of the free 14"
    );
}

#[test]
fn a_slow_server_gets_less_and_is_tried_again_later() {
    let table = table(&["a"], 2);
    for number in 0..20 {
        let now = after(number * 100);
        let mut lease = run(&table, "a-0", now);
        lease.first_token(now + ClockSpan::from_millis(5_000));
        lease.finish(LeaseOutcome::Served, now + ClockSpan::from_millis(6_000));
        let mut lease = run(&table, "a-1", now);
        lease.first_token(now + ClockSpan::from_millis(100));
        lease.finish(LeaseOutcome::Served, now + ClockSpan::from_millis(900));
    }
    assert_eq!(chosen(&table, after(8_000)), ["a-1".into()]);
    let slow = |now| table.views(now)[0].first_token_ms;
    assert!(slow(after(8_000)) > 4_000);
    assert!(slow(after(200_000)) < 500, "the measurement fades");
}

#[test]
fn a_leaving_server_gets_no_new_work_from_the_mark_on() {
    let table = table(&["a"], 2);
    let sample = AskSample::new();
    let pick = loop_until(&table, &sample, "a-0");
    let running = run(&table, "a-0", WARM);
    let mut leaving = report(60_100, 1, 0);
    leaving.role = "leaving".into();
    let effect = table.apply_report(&backend("a-0"), &leaving, after(200));
    assert!(effect.leaving);
    assert_eq!(
        pick.begin(after(200)).err(),
        Some(NoBackend::Leaving),
        "chosen before the mark, begun after it"
    );
    assert_eq!(chosen(&table, after(200)), ["a-1".into()]);
    running.finish(LeaseOutcome::Served, after(900));
    assert!(table.set_leaving(&backend("a-1"), true));
    let none = table.choose(&sample.ask(1, after(900)));
    assert_eq!(none.err(), Some(NoBackend::Unavailable));
}

fn loop_until(
    table: &Arc<BackendTable>,
    sample: &AskSample,
    name: &str,
) -> guavawell_core::backend::BackendPick {
    (0..100)
        .map(|draw| table.choose(&sample.ask(draw, WARM)).expect("pick"))
        .find(|pick| *pick.backend.id() == backend(name))
        .expect("chosen within 100 draws")
}

#[test]
fn the_mark_survives_a_new_table_until_lifted() {
    let old = table(&["a"], 2);
    assert!(old.set_leaving(&backend("a-0"), true));
    let new = Arc::new(old.with_specs(old.specs().to_vec(), WARM));
    assert_eq!(chosen(&new, WARM), ["a-1".into()]);
    assert!(new.set_leaving(&backend("a-0"), false));
    assert_eq!(chosen(&old, WARM).len(), 2, "both tables share the state");
}

#[test]
fn failures_eject_up_to_the_floor_and_one_more_ejects_again() {
    let table = table(&["a"], 4);
    for name in ["a-0", "a-1", "a-2"] {
        fail(&table, name, 5, WARM);
    }
    let ejected = |now| table.views(now).iter().filter(|view| view.ejected).count();
    assert_eq!(ejected(WARM), 2, "half of the group at most");
    assert_eq!(chosen(&table, WARM), ["a-2".into(), "a-3".into()]);
    assert_eq!(ejected(after(5_000)), 0, "back after the ejection");
    fail(&table, "a-0", 1, after(5_000));
    assert_eq!(ejected(after(14_999)), 1, "twice as long the second time");
    assert_eq!(ejected(after(15_000)), 0);
}

#[test]
fn a_lost_zone_is_ejected_whole_and_waits_for_a_sign_of_life() {
    let table = table(&["a", "b"], 3);
    let lost = ["a-0", "a-1", "a-2"];
    for name in lost {
        let _ = table.apply_report(&backend(name), &report(59_000, 0, 0), WARM);
        run(&table, name, after(100)).finish(LeaseOutcome::Unreachable, after(1_100));
    }
    let others = ["b-0".into(), "b-1".into(), "b-2".into()];
    assert_eq!(chosen(&table, after(1_100)), others);
    assert_eq!(chosen(&table, after(60_000)), others, "no report, no try");
    let healed = table.apply_report(&backend("a-1"), &report(119_000, 0, 0), after(60_000));
    assert!(!healed.ignored);
    let ejected = |now| table.views(now).iter().filter(|view| view.ejected).count();
    assert_eq!(ejected(after(60_000)), 2);
    assert_eq!(
        ejected(after(121_100)),
        0,
        "tried again without a report, too"
    );
}

#[test]
fn with_all_others_leaving_an_ejected_server_still_serves() {
    let table = table(&["a"], 2);
    fail(&table, "a-0", 5, WARM);
    assert!(table.set_leaving(&backend("a-1"), true));
    assert_eq!(chosen(&table, WARM), ["a-0".into()]);
}

#[test]
fn a_new_server_starts_slowly() {
    let old = table(&["a"], 3);
    let mut specs = old.specs().to_vec();
    specs.push(spec("a-new", "a"));
    let new = Arc::new(old.with_specs(specs, WARM));
    assert!(!chosen(&new, after(100)).contains(&"a-new".into()));
    assert!(chosen(&new, after(10_000)).contains(&"a-new".into()));
}

#[test]
fn a_prefix_returns_to_the_server_that_holds_it_unless_overloaded() {
    let table = table(&["a"], 50);
    let sample = AskSample::new();
    let prefix = PrefixHash::of_contents(b"You are a registry clerk.");
    let holder = backend("a-7");
    let stored = CacheEvent {
        seq: 1,
        kind: CacheChange::Stored,
        prefix,
    };
    let batch = |events: Vec<CacheEvent>, next| CacheBatch { events, next };
    assert_eq!(
        table.apply_cache_events(&holder, &batch(vec![stored], 1)),
        0
    );
    let hits = || {
        let picks = (0..100).map(|draw| {
            let mut ask = sample.ask(draw, WARM);
            ask.prefix = Some(prefix);
            table.choose(&ask).expect("pick")
        });
        picks.filter(|pick| *pick.backend.id() == holder).count()
    };
    assert_eq!(hits(), 100);
    let _ = table.apply_report(&holder, &report(60_000, 16, 8), WARM);
    assert_eq!(hits(), 0, "a queue costs more than a prefill");
    let _ = table.apply_report(&holder, &report(60_001, 0, 0), WARM);
    assert_eq!(
        table.apply_cache_events(&holder, &batch(vec![], 5_000)),
        4_999
    );
    assert!(hits() < 20, "forgotten after the gap");
    assert_eq!(table.cache_next(&holder), 5_000);
}

#[test]
fn adapter_and_version_decide_before_load() {
    let base = table(&["a"], 4);
    let both = [served("m", "2"), served("lora", "1")];
    let table = Arc::new(base.with_models(&backend("a-3"), &both, WARM));
    let sample = AskSample::new();
    let adapter: ModelId = "lora".parse().expect("model");
    let version = "2".parse().expect("version");
    for draw in 0..50 {
        let mut ask = sample.ask(draw, WARM);
        ask.adapter = Some(&adapter);
        let pick = table.choose(&ask).expect("pick");
        assert_eq!(*pick.backend.id(), backend("a-3"));
        let mut ask = sample.ask(draw, WARM);
        ask.version = Some(&version);
        let pick = table.choose(&ask).expect("pick");
        assert_eq!(*pick.backend.id(), backend("a-3"));
    }
    let missing = model("unknown");
    let mut ask = sample.ask(0, WARM);
    ask.target = &missing;
    assert_eq!(table.choose(&ask).err(), Some(NoBackend::Unserved));
}

#[test]
fn plain_services_share_the_rules() {
    let table = table(&["a", "b"], 2);
    let sample = AskSample::new();
    let service = RouteTarget::Service("desk".parse().expect("service"));
    assert!(table.set_leaving(&backend("a-0"), true));
    for draw in 0..50 {
        let mut ask = sample.ask(draw, WARM);
        ask.target = &service;
        let pick = table.choose(&ask).expect("pick");
        assert_eq!(*pick.backend.id(), backend("a-1"));
    }
}

#[test]
fn refusing_servers_lower_the_limit_until_saturated() {
    let table = table(&["a"], 1);
    for step in 0..100 {
        let now = after(step * 600);
        run(&table, "a-0", now).finish(LeaseOutcome::Overloaded, now);
    }
    let now = after(70_000);
    let _held = [run(&table, "a-0", now), run(&table, "a-0", now)];
    let sample = AskSample::new();
    let full = table.choose(&sample.ask(1, now));
    // Two run for 2 s each, as far as is known.
    let retry_after = ClockSpan::from_millis(1_000);
    assert_eq!(full.err(), Some(NoBackend::Saturated { retry_after }));
    assert_eq!(table.capacity(&model("m"), now), 2);
    let lie = table.apply_report(&backend("a-0"), &report(60_000, 2, 0), after(60_000));
    assert!(!lie.ignored);
    assert_eq!(
        table.capacity(&model("m"), now),
        3,
        "one more, whatever is free by the word of a server that refuses"
    );
}

#[test]
fn a_dropped_lease_leaves_nothing_in_flight() {
    let table = table(&["a"], 1);
    drop(run(&table, "a-0", WARM));
    assert_eq!(table.views(after(1))[0].own, 0);
}

#[test]
fn a_silent_connection_condemns_the_connection_only() {
    let mut watch = ConnectionWatch::new(ConnectionSettings::default(), at(0));
    watch.heard(at(500));
    assert_eq!(watch.tick(at(2_400)), ConnectionAction::Wait(at(2_500)));
    assert_eq!(watch.tick(at(2_500)), ConnectionAction::Probe);
    assert_eq!(
        watch.probed(ProbeResult::Answered),
        ConnectionAction::Replace
    );
    let table = table(&["a"], 1);
    for _ in 0..20 {
        run(&table, "a-0", WARM).finish(LeaseOutcome::Silent, WARM);
    }
    assert!(!table.views(WARM)[0].ejected);
}

#[test]
fn a_silent_server_is_found_within_both_bounds() {
    let mut watch = ConnectionWatch::new(ConnectionSettings::default(), at(0));
    assert_eq!(watch.tick(at(2_000)), ConnectionAction::Probe);
    assert_eq!(watch.tick(at(2_999)), ConnectionAction::Wait(at(3_000)));
    assert_eq!(watch.tick(at(3_000)), ConnectionAction::Fail);
    let mut late = ConnectionWatch::new(ConnectionSettings::default(), at(0));
    assert_eq!(late.tick(at(2_000)), ConnectionAction::Probe);
    late.heard(at(2_100));
    let waits = ConnectionAction::Wait(at(4_100));
    assert_eq!(late.probed(ProbeResult::Answered), waits, "it spoke first");
}

#[test]
fn a_silent_connection_is_not_the_servers_speed() {
    let table = table(&["a"], 3);
    let mut lease = run(&table, "a-0", at(0));
    lease.resumed();
    lease.first_token(at(4_000));
    lease.finish(LeaseOutcome::Served, at(8_000));
    assert!(chosen(&table, at(8_100)).contains(&"a-0".into()));
}
