//! Runs the demo: fleet, load, a killed router, verdict.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use guavawell_core::clock::ClockSpan;
use guavawell_core::id::IdError;
use guavawell_core::id::TokenCount;
use guavawell_demo::fleet::DemoFleet;
use guavawell_demo::fleet::FleetError;
use guavawell_demo::fleet::FleetSettings;
use guavawell_demo::proof::judge;
use guavawell_demo::scene::answer_check;
use guavawell_demo::scene::collect_evidence;
use guavawell_demo::scene::sample_profiles;
use guavawell_fleet::settings::EventTarget;
use guavawell_fleet::settings::FilePath;
use guavawell_fleet::settings::RouterSettings;
use guavawell_load::LoadError;
use guavawell_load::LoadHooks;
use guavawell_load::LoadPlan;
use guavawell_load::history::RequestHistory;
use guavawell_load::plan::ArrivalMode;
use guavawell_load::plan::RetryPolicy;
use smol::Timer;
use thiserror::Error;

use crate::cli::DemoCommand;
use crate::exit::ExitStatus;

/// Time for charges to reach the table after the load.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Why the demo could not be carried out.
#[derive(Debug, Error)]
pub enum DemoError {
    /// The fleet failed to start.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The load could not be sent.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// A made-up id is none.
    #[error(transparent)]
    Id(#[from] IdError),
}

/// Runs the demo as the command line asks.
pub fn run(command: &DemoCommand) -> Result<ExitStatus, DemoError> {
    smol::block_on(async {
        let mut fleet = DemoFleet::start(FleetSettings {
            paid: TokenCount::new(command.paid),
            poor_organisations: 1,
            router: router_settings(command),
            ..FleetSettings::default()
        })
        .await?;
        eprintln!(
            "fleet: {} routers, {} engines, {} services",
            fleet.routers.len(),
            fleet.engines.len(),
            fleet.services.len()
        );
        let histories = Arc::new(Mutex::new(Vec::new()));
        let plan = load_plan(command, &fleet)?;
        let hooks = load_hooks(&histories);
        let load = smol::unblock(move || guavawell_load::run(plan, hooks));
        if !command.keep_routers {
            Timer::after(Duration::from_secs_f64(half_time(command))).await;
            eprintln!("killing {}", fleet.routers[0].id);
            fleet.kill(0);
        }
        let report = load.await?;
        eprint!("{}", guavawell_load::report::report_text(&report));
        fleet.flush(SETTLE_TIME).await;
        let histories: Vec<RequestHistory> = histories
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .drain(..)
            .collect();
        let evidence = collect_evidence(&fleet, histories)?;
        fleet.stop();
        let verdict = judge(&evidence);
        if command.json {
            println!("{}", serde_json::to_string(&verdict).unwrap_or_default());
        } else {
            print!("{verdict}");
        }
        Ok(if verdict.is_kept() {
            ExitStatus::Kept
        } else {
            ExitStatus::Broken
        })
    })
}

fn router_settings(command: &DemoCommand) -> RouterSettings {
    let mut settings = RouterSettings::default();
    if let Some(folder) = &command.events {
        settings.log.events = EventTarget::File(FilePath::new(folder.as_path()));
    }
    settings
}

#[expect(clippy::cast_precision_loss, reason = "a span of some seconds")]
fn half_time(command: &DemoCommand) -> f64 {
    command.requests as f64 / command.rate.max(1.0) / 2.0
}

fn load_plan(command: &DemoCommand, fleet: &DemoFleet) -> Result<LoadPlan, IdError> {
    Ok(LoadPlan {
        targets: fleet.caller_addresses().into(),
        arrival: ArrivalMode::Open { rate: command.rate },
        duration: None,
        requests: Some(command.requests),
        idle_timeout: ClockSpan::from_millis(20_000),
        retry: RetryPolicy {
            max_tries: 8,
            ..RetryPolicy::default()
        },
        profiles: sample_profiles(fleet.settings.organisations)?.into(),
        ..LoadPlan::default()
    })
}

fn load_hooks(histories: &Arc<Mutex<Vec<RequestHistory>>>) -> LoadHooks {
    let histories = Arc::clone(histories);
    LoadHooks {
        check: answer_check(),
        history: Some(Arc::new(move |history: &RequestHistory| {
            histories
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(history.clone());
        })),
        ..LoadHooks::default()
    }
}
