//! A backend server that is leaving gets no new work from any router, whoever
//! says that it leaves: its own load report, or the manifest.

use std::time::Duration;
use std::time::Instant;

use guavawell_core::clock::ClockSpan;
use guavawell_core::id::FenceNumber;
use guavawell_core::id::ManifestVersion;
use guavawell_core::order::OrderKind;
use guavawell_demo::fleet::DemoFleet;
use guavawell_demo::fleet::FleetSettings;
use guavawell_demo::fleet::manifest_text;
use guavawell_demo::fleet::organisation_key;
use guavawell_fleet::engine::EngineClient;
use guavawell_fleet::engine::EngineOrder;
use guavawell_fleet::router::RouterHandle;
use guavawell_load::LoadHooks;
use guavawell_load::LoadPlan;
use guavawell_load::plan::ArrivalMode;
use guavawell_load::plan::CallKind;
use guavawell_load::plan::ChatCall;
use guavawell_load::plan::RequestProfile;

/// Longest wait until no router sends new work; the promise is 3 s.
const PATIENCE: Duration = Duration::from_secs(60);

/// One engine in each zone with so few slots that each zone's routers also
/// choose the other's.
async fn start() -> DemoFleet {
    let settings = FleetSettings {
        engines: 1,
        engine_slots: 2,
        ..FleetSettings::default()
    };
    DemoFleet::start(settings).await.expect("the fleet starts")
}

/// Sends requests through the routers of each zone in turn; how many of each
/// zone the first engine got.
async fn work(fleet: &DemoFleet) -> [u64; 2] {
    [work_from(fleet, 0).await, work_from(fleet, 1).await]
}

async fn work_from(fleet: &DemoFleet, zone: usize) -> u64 {
    let routers = fleet.routers.iter().filter(|router| router.zone == zone);
    let handles = routers.filter_map(|router| router.handle.as_ref());
    let targets: Vec<_> = handles.map(RouterHandle::caller_address).collect();
    let before = fleet.engines[0].truth().total;
    let plan = LoadPlan {
        targets: targets.into(),
        arrival: ArrivalMode::Closed { connections: 8 },
        duration: None,
        // An id that ran before would be answered again, not run.
        tag: format!("{zone}-{before}-{}", fleet.engines[1].truth().total).into(),
        requests: Some(40),
        idle_timeout: ClockSpan::from_millis(10_000),
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
    let report = report.expect("the load runs");
    assert_eq!(report.counts.answered, 40, "{}", report.to_json());
    fleet.engines[0].truth().total - before
}

/// The first engine gets work, is said to leave, and gets no more.
async fn work_ends(fleet: &mut DemoFleet, said: Instant) {
    let mut begun = said.elapsed();
    while work(fleet).await != [0, 0] {
        assert!(begun < PATIENCE, "the leaving server gets work");
        begun = said.elapsed();
    }
    println!(
        "no new work from {} ms after the word on",
        begun.as_millis()
    );
    assert_eq!(work(fleet).await, [0, 0], "work came again");
    fleet.stop();
}

#[test]
fn a_role_in_a_load_report_ends_new_work_from_every_zone() {
    smol::block_on(async {
        let mut fleet = start().await;
        assert!(work(&fleet).await.iter().all(|count| *count > 0));
        let order = EngineOrder {
            backend: "engine-0-0".parse().expect("a constant id"),
            fence: FenceNumber::new(1_000),
            kind: OrderKind::Role("leaving".into()),
        };
        let engine = fleet.engines[0].address();
        let sent = EngineClient::default().send_order(engine, &order).await;
        sent.expect("the order is taken");
        work_ends(&mut fleet, Instant::now()).await;
    });
}

#[test]
fn a_mark_in_the_manifest_ends_new_work_from_every_zone() {
    smol::block_on(async {
        let mut fleet = start().await;
        assert!(work(&fleet).await.iter().all(|count| *count > 0));
        let text = manifest_text(&fleet.settings, &fleet.backends);
        let marked = "[[backend]]\nleaving = true\nid = \"engine-0-0\"";
        let text = text.replace("[[backend]]\nid = \"engine-0-0\"", marked);
        let accepted = fleet.accept(&text, ManifestVersion::new(1)).await;
        accepted.expect("the manifest is accepted");
        work_ends(&mut fleet, Instant::now()).await;
    });
}
