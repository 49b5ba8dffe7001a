//! Orders on a whole fleet: first loads, a rollout under load, a crash, a late
//! copy of an old order, an issuer that is gone.

use std::time::Duration;
use std::time::Instant;

use guavawell_core::clock::ClockSpan;
use guavawell_core::id::ManifestVersion;
use guavawell_core::order::OrderKind;
use guavawell_core::order::OrderRow;
use guavawell_demo::fleet::DemoFleet;
use guavawell_demo::fleet::FleetSettings;
use guavawell_demo::fleet::organisation_key;
use guavawell_fleet::engine::EngineClient;
use guavawell_fleet::engine::EngineOrder;
use guavawell_load::LoadHooks;
use guavawell_load::LoadPlan;
use guavawell_load::LoadReport;
use guavawell_load::plan::ArrivalMode;
use guavawell_load::plan::CallKind;
use guavawell_load::plan::ChatCall;
use guavawell_load::plan::RequestProfile;
use guavawell_load::plan::RetryPolicy;
use guavawell_standin::engine::Engine;
use guavawell_standin::fault::FaultChange;
use smol::Timer;

/// Longest wait for something that must happen.
const PATIENCE: Duration = Duration::from_secs(60);

/// A fleet whose orders and weight store are quick.
fn settings(replicas: u16) -> FleetSettings {
    let mut settings = FleetSettings {
        replicas,
        load_time: ClockSpan::from_millis(50),
        ..FleetSettings::default()
    };
    settings.router.orders.review_ms = ClockSpan::from_millis(100);
    settings.router.orders.load_hold_ms = ClockSpan::from_millis(100);
    settings
}

async fn start(settings: FleetSettings) -> DemoFleet {
    DemoFleet::start(settings).await.expect("the fleet starts")
}

fn held(engine: &Engine) -> Vec<String> {
    let models = engine.load().models;
    models.iter().map(ToString::to_string).collect()
}

fn all_hold(fleet: &DemoFleet, models: &[&str]) -> bool {
    fleet.engines.iter().all(|engine| held(engine) == models)
}

async fn wait_until(what: &str, happened: impl Fn() -> bool) {
    let started = Instant::now();
    while !happened() {
        assert!(started.elapsed() < PATIENCE, "never: {what}");
        Timer::after(Duration::from_millis(5)).await;
    }
}

/// The ids of the orders that an engine carried out.
async fn applied(engine: &Engine) -> Vec<String> {
    let engines = EngineClient::default();
    let body = engines.fetch(engine.address(), "/v1/orders").await;
    let answer: serde_json::Value =
        serde_json::from_slice(&body.expect("an answer")).expect("JSON");
    serde_json::from_value(answer["applied"].clone()).expect("a list")
}

/// Sends `requests` chats without retries while the fleet goes on.
async fn chats(fleet: &DemoFleet, requests: u64) -> LoadReport {
    let plan = LoadPlan {
        targets: fleet.caller_addresses().into(),
        arrival: ArrivalMode::Closed { connections: 4 },
        duration: None,
        requests: Some(requests),
        idle_timeout: ClockSpan::from_millis(20_000),
        retry: RetryPolicy {
            max_tries: 1,
            ..RetryPolicy::default()
        },
        profiles: Box::new([RequestProfile {
            key: organisation_key(0).into(),
            call: CallKind::Chat(ChatCall {
                model: "draft-7b".parse().expect("a constant id"),
                ..ChatCall::default()
            }),
            ..RequestProfile::default()
        }]),
        ..LoadPlan::default()
    };
    let report = smol::unblock(move || guavawell_load::run(plan, LoadHooks::default())).await;
    report.expect("the load runs")
}

fn row(fleet: &DemoFleet, backend: &str) -> OrderRow {
    let value = fleet.platform.row(&format!("order/{backend}"));
    serde_json::from_slice(&value.expect("an order row")).expect("a row that can be read")
}

async fn crash(engine: &Engine) {
    for crash in [true, false] {
        let change = FaultChange {
            crash: Some(crash),
            ..FaultChange::default()
        };
        engine
            .set_faults(change)
            .await
            .expect("its address is free");
    }
}

#[test]
fn empty_engines_are_loaded_and_routed_to() {
    smol::block_on(async {
        let mut fleet = start(FleetSettings {
            preloaded: false,
            ..settings(2)
        })
        .await;
        let holders = |zone: usize| {
            let engines = fleet.engines.iter().skip(zone * 3).take(3);
            engines.filter(|engine| !held(engine).is_empty()).count()
        };
        wait_until("two copies in each zone", || {
            holders(0) == 2 && holders(1) == 2
        })
        .await;
        // What the routers know follows the engines' reports.
        while chats(&fleet, 8).await.counts.answered < 8 {}
        assert_eq!(chats(&fleet, 40).await.counts.answered, 40);
        assert_eq!((holders(0), holders(1)), (2, 2), "and not one more");
        fleet.stop();
    });
}

#[test]
fn a_new_version_is_rolled_out_and_no_request_is_refused_meanwhile() {
    for fence_orders in [true, false] {
        smol::block_on(async {
            let mut fleet = start(FleetSettings {
                fence_orders,
                ..settings(1)
            })
            .await;
            fleet.settings.model_version = "2".into();
            let accepted = fleet.accept_settings(ManifestVersion::new(1)).await;
            accepted.expect("the manifest is accepted");
            while !all_hold(&fleet, &["draft-7b:2"]) {
                let report = chats(&fleet, 20).await;
                assert_eq!(report.counts.answered, 20, "{}", report.to_json());
                let empty = |engine: &Engine| held(engine).is_empty();
                assert!(!fleet.engines.iter().any(empty), "an engine lost its model");
            }
            assert_eq!(chats(&fleet, 40).await.counts.answered, 40);
            for engine in &fleet.engines {
                let name = engine.name();
                wait_until("both orders closed", || row(&fleet, name).done).await;
                let sent = [format!("{name}-1"), format!("{name}-2")];
                assert_eq!(applied(engine).await, sent, "one load, one unload");
            }
            fleet.stop();
        });
    }
}

#[test]
fn an_engine_that_crashed_is_loaded_again() {
    smol::block_on(async {
        let mut fleet = start(FleetSettings {
            preloaded: false,
            ..settings(3)
        })
        .await;
        let version: &[&str] = &["draft-7b:1"];
        wait_until("all loaded", || all_hold(&fleet, version)).await;
        wait_until("the order closed", || row(&fleet, "engine-0-0").done).await;
        crash(&fleet.engines[0]).await;
        assert!(held(&fleet.engines[0]).is_empty());
        wait_until("loaded again", || all_hold(&fleet, version)).await;
        wait_until("a second order", || {
            row(&fleet, "engine-0-0").fence.get() >= 2
        })
        .await;
        fleet.stop();
    });
}

#[test]
fn what_a_late_copy_did_at_an_engine_that_ignores_numbers_is_ordered_back() {
    smol::block_on(async {
        let mut fleet = start(FleetSettings {
            fence_orders: false,
            ..settings(3)
        })
        .await;
        fleet.settings.model_version = "2".into();
        let accepted = fleet.accept_settings(ManifestVersion::new(1)).await;
        accepted.expect("the manifest is accepted");
        wait_until("rolled out", || all_hold(&fleet, &["draft-7b:2"])).await;
        wait_until("closed", || row(&fleet, "engine-0-0").done).await;
        let last = row(&fleet, "engine-0-0");
        let late = EngineOrder {
            backend: "engine-0-0".parse().expect("a good id"),
            fence: last.fence,
            kind: match last.kind {
                OrderKind::Unload(served) => OrderKind::Load(served),
                other => panic!("the last order unloads: {other:?}"),
            },
        };
        let engines = EngineClient::default();
        let sent = engines.send_order(fleet.engines[0].address(), &late).await;
        sent.expect("an engine that ignores numbers");
        wait_until("ordered back", || {
            row(&fleet, "engine-0-0").fence > last.fence && all_hold(&fleet, &["draft-7b:2"])
        })
        .await;
        fleet.stop();
    });
}

#[test]
fn routers_that_remain_finish_what_a_killed_one_began() {
    smol::block_on(async {
        let mut fleet = start(settings(3)).await;
        fleet.settings.model_version = "2".into();
        let accepted = fleet.accept_settings(ManifestVersion::new(1)).await;
        accepted.expect("the manifest is accepted");
        wait_until("a first order", || {
            !fleet.platform.keys("order/").is_empty()
        })
        .await;
        fleet.kill(0);
        wait_until("rolled out", || all_hold(&fleet, &["draft-7b:2"])).await;
        fleet.stop();
    });
}

#[test]
fn a_frozen_router_that_comes_back_undoes_nothing_though_numbers_are_ignored() {
    smol::block_on(async {
        let mut fleet = start(FleetSettings {
            fence_orders: false,
            ..settings(3)
        })
        .await;
        fleet.settings.model_version = "2".into();
        let accepted = fleet.accept_settings(ManifestVersion::new(1)).await;
        accepted.expect("the manifest is accepted");
        wait_until("a first order", || {
            !fleet.platform.keys("order/").is_empty()
        })
        .await;
        fleet.pause(0);
        wait_until("rolled out without it", || {
            all_hold(&fleet, &["draft-7b:2"])
        })
        .await;
        fleet.settings.model_version = "3".into();
        let accepted = fleet.accept_settings(ManifestVersion::new(2)).await;
        accepted.expect("the manifest is accepted");
        wait_until("rolled out again", || all_hold(&fleet, &["draft-7b:3"])).await;
        fleet.resume(0);
        wait_until("it has the newest manifest", || {
            let newest = ManifestVersion::new(3);
            fleet
                .live()
                .all(|router| router.manifest_version() == newest)
        })
        .await;
        for _ in 0..10 {
            chats(&fleet, 20).await;
            let newest = |engine: &Engine| held(engine).contains(&"draft-7b:3".to_owned());
            assert!(fleet.engines.iter().all(newest), "a newer order was undone");
        }
        wait_until("and nothing else", || all_hold(&fleet, &["draft-7b:3"])).await;
        fleet.stop();
    });
}

#[test]
fn a_zone_cut_from_the_platform_alone_follows_a_rollout_meanwhile() {
    smol::block_on(async {
        let mut fleet = start(settings(3)).await;
        fleet.cut_platform(1);
        fleet.settings.model_version = "2".into();
        let accepted = fleet.accept_settings(ManifestVersion::new(1)).await;
        accepted.expect("the manifest is accepted");
        wait_until("rolled out in both zones", || {
            all_hold(&fleet, &["draft-7b:2"])
        })
        .await;
        assert_eq!(chats(&fleet, 40).await.counts.wrong, 0);
        fleet.heal();
        fleet.stop();
    });
}

#[test]
fn a_zone_without_the_platform_goes_on_serving_and_follows_after_the_heal() {
    smol::block_on(async {
        let mut without = settings(3);
        // Nobody carries the zone's rows, so that it has no platform at all.
        without.router.platform.relay = false;
        let mut fleet = start(without).await;
        fleet.cut_platform(1);
        fleet.settings.model_version = "2".into();
        let accepted = fleet.accept_settings(ManifestVersion::new(1)).await;
        accepted.expect("the manifest is accepted");
        let zone = |zone: usize, models: &[&str]| {
            let mut engines = fleet.engines.iter().skip(zone * 3).take(3);
            engines.all(|engine| held(engine) == models)
        };
        wait_until("rolled out in the other zone", || zone(0, &["draft-7b:2"])).await;
        assert!(zone(1, &["draft-7b:1"]), "no order without a row");
        assert!(chats(&fleet, 40).await.counts.answered > 0);
        fleet.heal();
        wait_until("rolled out after the heal", || {
            all_hold(&fleet, &["draft-7b:2"])
        })
        .await;
        fleet.stop();
    });
}
