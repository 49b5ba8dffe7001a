//! Measures a rollout of a new model version: from the manifest's acceptance to
//! served in each zone, and what it costs the table.
//!
//! `cargo run -p guavawell-demo --example order_rollout`

use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use guavawell_core::clock::ClockSpan;
use guavawell_core::id::ManifestVersion;
use guavawell_demo::fleet::DemoFleet;
use guavawell_demo::fleet::FleetError;
use guavawell_demo::fleet::FleetSettings;
use smol::Timer;

/// Time between two looks at the engines.
const LOOK: Duration = Duration::from_millis(5);

/// Time that the idle fleet is counted for comparison.
const IDLE: Duration = Duration::from_secs(10);

/// Time that an engine takes to load a model.
const LOAD_TIME: ClockSpan = ClockSpan::from_millis(1_000);

/// How far a rollout got.
#[derive(Default)]
struct Rollout {
    /// The first engine holds the new version.
    first: Option<Duration>,
    /// Each zone has an engine that holds it.
    zones: Option<Duration>,
    /// Every engine holds it alone.
    done: Option<Duration>,
}

fn main() -> ExitCode {
    match smol::block_on(measure_all()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn measure_all() -> Result<(), FleetError> {
    println!("6 engines in 2 zones, 4 routers, loads take {LOAD_TIME}");
    Box::pin(measure("defaults", FleetSettings::default())).await?;
    let mut open = FleetSettings::default();
    open.router.orders.load_hold_ms = ClockSpan::default();
    open.router.orders.fleet_loads = 64;
    Box::pin(measure("no bound on the weight store", open)).await
}

async fn measure(name: &str, settings: FleetSettings) -> Result<(), FleetError> {
    let mut fleet = DemoFleet::start(FleetSettings {
        load_time: LOAD_TIME,
        ..settings
    })
    .await?;
    let before = fleet.platform.counts();
    Timer::after(IDLE).await;
    let idle = fleet.platform.counts();
    fleet.settings.model_version = "2".into();
    let started = Instant::now();
    fleet.accept_settings(ManifestVersion::new(1)).await?;
    let mut rollout = Rollout::default();
    while rollout.done.is_none() {
        look(&fleet, &mut rollout, started.elapsed());
        Timer::after(LOOK).await;
    }
    let after = fleet.platform.counts();
    println!("{name}:");
    println!(
        "  first engine {:?}, each zone {:?}, all engines alone {:?}",
        rollout.first.unwrap_or_default(),
        rollout.zones.unwrap_or_default(),
        rollout.done.unwrap_or_default()
    );
    println!(
        "  table while idle for {IDLE:?}: {} writes, {} reads",
        idle.writes - before.writes,
        idle.reads - before.reads
    );
    println!(
        "  table in the rollout: {} writes, {} reads",
        after.writes - idle.writes,
        after.reads - idle.reads
    );
    fleet.stop();
    Ok(())
}

fn look(fleet: &DemoFleet, rollout: &mut Rollout, elapsed: Duration) {
    let holds: Vec<(bool, bool)> = fleet
        .engines
        .iter()
        .map(|engine| {
            let models = engine.load().models;
            let new = models.iter().any(|model| &*model.version == "2");
            (new, new && models.len() == 1)
        })
        .collect();
    let mut zones = holds.chunks(fleet.settings.engines);
    let served = |zone: &[(bool, bool)]| zone.iter().any(|(new, _)| *new);
    if holds.iter().any(|(new, _)| *new) {
        rollout.first.get_or_insert(elapsed);
    }
    if zones.all(served) {
        rollout.zones.get_or_insert(elapsed);
    }
    if holds.iter().all(|(_, alone)| *alone) {
        rollout.done.get_or_insert(elapsed);
    }
}
