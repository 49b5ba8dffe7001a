//! Runs a router until it is told to leave.

use std::time::Duration;

use async_signal::Signal;
use async_signal::Signals;
use futures::StreamExt;
use guavawell_fleet::router::DrainReport;
use guavawell_fleet::router::RouterError;
use guavawell_fleet::router::RouterHandle;
use guavawell_fleet::router::RouterOptions;
use guavawell_fleet::settings::RouterSettings;
use guavawell_fleet::settings::SettingsError;
use simplelog::ConfigBuilder;
use simplelog::WriteLogger;
use smol::Timer;
use smol::future;
use thiserror::Error;

use crate::cli::RouterCommand;
use crate::exit::ExitStatus;

/// How often the process looks whether it was told to leave.
const LEAVE_LOOK: Duration = Duration::from_millis(100);

/// Why the router ended before it served.
#[derive(Debug, Error)]
pub enum RunError {
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The router cannot start.
    #[error(transparent)]
    Start(#[from] RouterError),
}

impl RunError {
    /// The exit code.
    pub const fn status(&self) -> ExitStatus {
        match self {
            Self::Settings(_) => ExitStatus::Settings,
            Self::Start(_) => ExitStatus::Start,
        }
    }
}

/// Runs a router as the command line asks.
pub fn run(command: &RouterCommand) -> Result<ExitStatus, RunError> {
    let settings = RouterSettings::load(&command.settings)?;
    if command.check {
        println!("{}: no findings", command.settings.display());
        return Ok(ExitStatus::Done);
    }
    start_log(&settings);
    let options = RouterOptions {
        threads: command.threads,
        ..RouterOptions::default()
    };
    smol::block_on(async {
        let router = RouterHandle::start(settings, options).await?;
        announce(&router);
        future::or(asked_to_leave(&router), terminated()).await;
        let report = router.drain().await;
        Ok(if report == DrainReport::default() {
            ExitStatus::Done
        } else {
            ExitStatus::Unfinished
        })
    })
}

async fn asked_to_leave(router: &RouterHandle) {
    while !router.is_leaving() {
        Timer::after(LEAVE_LOOK).await;
    }
}

/// Resolves at SIGTERM or SIGINT; never where signals cannot be had.
async fn terminated() {
    match Signals::new([Signal::Term, Signal::Int]) {
        Ok(mut signals) => {
            signals.next().await;
        }
        Err(error) => {
            log::warn!("signals are not heard: {error}; leave by `POST /drain`");
            future::pending::<()>().await;
        }
    }
}

fn announce(router: &RouterHandle) {
    println!(
        "callers {} operators {} gossip {}",
        router.caller_address(),
        router.operator_address(),
        router.gossip_address()
    );
}

fn start_log(settings: &RouterSettings) {
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    let level = settings.log.level.filter();
    // Fails only if a logger is set already, and then that one logs.
    let _ = WriteLogger::init(level, config, std::io::stderr());
}
