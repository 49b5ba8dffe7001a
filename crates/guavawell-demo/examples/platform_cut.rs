//! Measures a zone that is cut from the platform alone for half a minute, with
//! and without peers that carry its exchanges.
//!
//! `cargo run --release -p guavawell-demo --example platform_cut`

use std::error::Error;
use std::process::ExitCode;

use guavawell_core::clock::ClockSpan;
use guavawell_core::id::TokenCount;
use guavawell_demo::fleet::DemoFleet;
use guavawell_demo::fleet::FleetSettings;
use guavawell_demo::fleet::organisation_key;
use guavawell_fleet::router::CarryCounts;
use guavawell_fleet::router::RouterHandle;
use guavawell_load::LoadHooks;
use guavawell_load::LoadPlan;
use guavawell_load::LoadReport;
use guavawell_load::measure::LatencySummary;
use guavawell_load::plan::ArrivalMode;
use guavawell_load::plan::CallKind;
use guavawell_load::plan::ChatCall;
use guavawell_load::plan::RequestProfile;
use guavawell_load::plan::RetryPolicy;
use guavawell_load::plan::SizeRange;
use guavawell_load::report::duration_text;

/// The zone that is cut off.
const ZONE: usize = 1;

/// Time of each load.
const SPAN: ClockSpan = ClockSpan::from_millis(30_000);

/// Time of the load before the cut.
const WARM: ClockSpan = ClockSpan::from_millis(5_000);

/// Requests a second.
const RATE: f64 = 20.0;

fn main() -> ExitCode {
    match smol::block_on(measure_all()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn measure_all() -> Result<(), Box<dyn Error>> {
    println!(
        "4 routers in 2 zones; zone {ZONE} is cut from the platform; {RATE} requests a second"
    );
    for relay in [false, true] {
        for idempotent in [false, true] {
            Box::pin(measure(relay, idempotent)).await?;
        }
    }
    Ok(())
}

async fn measure(relay: bool, idempotent: bool) -> Result<(), Box<dyn Error>> {
    let kind = if idempotent {
        "idempotent, small grants"
    } else {
        "non-idempotent, default grants"
    };
    println!("relay {relay}, {kind}:");
    let mut settings = FleetSettings {
        organisations: 1,
        paid: TokenCount::new(1_000_000),
        ..FleetSettings::default()
    };
    settings.router.platform.relay = relay;
    if idempotent {
        settings.router.slots.grant_seconds = 1;
        settings.router.slots.grant_requests = 2;
    }
    let mut fleet = DemoFleet::start(settings).await?;
    load(&fleet, "warm", idempotent, WARM).await?;
    load(&fleet, "own-link", idempotent, WARM).await?;
    fleet.cut_platform(ZONE);
    load(&fleet, "cut-off", idempotent, SPAN).await?;
    let counts = fleet.live().map(RouterHandle::carry_counts);
    let carried: Vec<CarryCounts> = counts.collect();
    println!("  asked to carry, by router: {carried:?}");
    fleet.heal();
    load(&fleet, "healed", idempotent, WARM).await?;
    fleet.stop();
    Ok(())
}

async fn load(
    fleet: &DemoFleet,
    name: &'static str,
    idempotent: bool,
    span: ClockSpan,
) -> Result<(), Box<dyn Error>> {
    let plan = plan(fleet, name, idempotent, span)?;
    let run = smol::unblock(move || guavawell_load::run(plan, LoadHooks::default()));
    let report: LoadReport = run.await.map_err(|error| error.to_string())?;
    let counts = &report.counts;
    let first = &report.whole.first_token;
    println!(
        "  {name}: {} requests, {} answered, {} refused; first token median {}, 99% {}",
        counts.requests,
        counts.answered,
        counts.refused,
        quantile(first, 0.5),
        quantile(first, 0.99),
    );
    Ok(())
}

fn quantile(summary: &LatencySummary, quantile: f64) -> String {
    let micros = summary.at(quantile);
    micros.map_or_else(|| "-".into(), duration_text)
}

fn plan(
    fleet: &DemoFleet,
    name: &str,
    idempotent: bool,
    span: ClockSpan,
) -> Result<LoadPlan, Box<dyn Error>> {
    let routers = fleet.routers.iter().filter(|router| router.zone == ZONE);
    let handles = routers.filter_map(|router| router.handle.as_ref());
    let profile = RequestProfile {
        name: "chat".into(),
        organisation: Some("org-0".parse()?),
        key: organisation_key(0).into(),
        call: CallKind::Chat(ChatCall {
            model: "draft-7b".parse()?,
            prompt_bytes: SizeRange::exactly(64),
            max_tokens: SizeRange::exactly(32),
            stream: true,
        }),
        idempotent,
        ..RequestProfile::default()
    };
    Ok(LoadPlan {
        targets: handles.map(RouterHandle::caller_address).collect(),
        arrival: ArrivalMode::Open { rate: RATE },
        duration: Some(span),
        requests: None,
        tag: name.into(),
        retry: RetryPolicy {
            max_tries: 1,
            ..RetryPolicy::default()
        },
        profiles: Box::new([profile]),
        ..LoadPlan::default()
    })
}
