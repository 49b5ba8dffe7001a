//! Measures callers' time to first token with hedging off and on, while one
//! server is slow, stalls at times, or all are late; and the runs that it costs.
//!
//! `cargo run --release -p guavawell-demo --example hedge_compare`

use std::process::ExitCode;
use std::time::Duration;

use guavawell_core::clock::ClockSpan;
use guavawell_core::id::IdError;
use guavawell_core::id::TokenCount;
use guavawell_demo::fleet::DemoFleet;
use guavawell_demo::fleet::FleetError;
use guavawell_demo::fleet::FleetSettings;
use guavawell_demo::fleet::organisation_key;
use guavawell_load::LoadHooks;
use guavawell_load::LoadPlan;
use guavawell_load::LoadReport;
use guavawell_load::plan::ArrivalMode;
use guavawell_load::plan::CallKind;
use guavawell_load::plan::ChatCall;
use guavawell_load::plan::RequestProfile;
use guavawell_load::plan::SizeRange;
use guavawell_standin::fault::FaultChange;
use smol::Timer;
use smol::future::FutureExt;

/// Arrivals a second.
const RATE: f64 = 60.0;

/// Length of each run.
const RUN: ClockSpan = ClockSpan::from_millis(20_000);

/// Wait for the first token before a hedge.
const HEDGE_AFTER: ClockSpan = ClockSpan::from_millis(300);

/// What is wrong with the servers.
#[derive(Clone, Copy, Debug)]
enum Scene {
    /// The first is slow all along.
    OneSlow,
    /// The first is slow for two of each five seconds.
    OneStalls,
    /// All are late.
    AllLate,
}

fn main() -> ExitCode {
    println!("scene, hedging | first token ms p50 p95 p99 | whole answers, runs at servers");
    for scene in [Scene::OneSlow, Scene::OneStalls, Scene::AllLate] {
        for hedge in [false, true] {
            if let Err(error) = smol::block_on(measure(scene, hedge)) {
                eprintln!("{error}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

async fn measure(scene: Scene, hedge: bool) -> Result<(), FleetError> {
    let mut settings = FleetSettings {
        zones: 1,
        engines: 4,
        organisations: 1,
        paid: TokenCount::new(100_000_000),
        ..FleetSettings::default()
    };
    settings.router.routing.hedge = hedge;
    settings.router.routing.hedge_after_ms = HEDGE_AFTER;
    let mut fleet = DemoFleet::start(settings).await?;
    fleet.wait_ready().await?;
    let report = load(&fleet).or(break_servers(&fleet, scene)).await;
    let first = &report.whole.first_token;
    let at = |quantile| first.at(quantile).unwrap_or_default() / 1_000;
    let runs: u64 = fleet.engines.iter().map(|e| e.truth().total).sum();
    println!(
        "{scene:?}, {hedge} | {} {} {} | {}, {runs}",
        at(0.5),
        at(0.95),
        at(0.99),
        report.counts.answered
    );
    fleet.stop();
    Ok(())
}

async fn load(fleet: &DemoFleet) -> LoadReport {
    let plan = LoadPlan {
        targets: fleet.caller_addresses().into(),
        arrival: ArrivalMode::Open { rate: RATE },
        duration: Some(RUN),
        profiles: Box::new([profile().expect("constant ids")]),
        ..LoadPlan::default()
    };
    let report = smol::unblock(move || guavawell_load::run(plan, LoadHooks::default())).await;
    report.expect("the load runs")
}

fn profile() -> Result<RequestProfile, IdError> {
    Ok(RequestProfile {
        organisation: Some("org-0".parse()?),
        key: organisation_key(0).into(),
        call: CallKind::Chat(ChatCall {
            model: "draft-7b".parse()?,
            prompt_bytes: SizeRange { low: 64, high: 400 },
            max_tokens: SizeRange { low: 16, high: 64 },
            stream: true,
        }),
        ..RequestProfile::default()
    })
}

/// Breaks servers for as long as the load runs.
async fn break_servers(fleet: &DemoFleet, scene: Scene) -> LoadReport {
    let broken = match scene {
        Scene::OneSlow | Scene::OneStalls => &fleet.engines[..1],
        Scene::AllLate => &fleet.engines[..],
    };
    let millis = match scene {
        Scene::OneSlow | Scene::OneStalls => 1_500,
        Scene::AllLate => 700,
    };
    loop {
        set_delay(broken, millis).await;
        Timer::after(Duration::from_secs(2)).await;
        if matches!(scene, Scene::OneStalls) {
            set_delay(broken, 0).await;
        }
        Timer::after(Duration::from_secs(3)).await;
    }
}

async fn set_delay(engines: &[guavawell_standin::engine::Engine], millis: u64) {
    for engine in engines {
        let change = FaultChange {
            delay_ms: Some(millis),
            ..FaultChange::default()
        };
        engine.set_faults(change).await.expect("the engine obeys");
    }
}
