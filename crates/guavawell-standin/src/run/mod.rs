//! Runs one stand-in until the process ends.
//!
//! Starts what the settings name, and says how the process ends. It serves
//! nothing itself.

use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;

use guavawell_standin::engine::Engine;
use guavawell_standin::engine::EngineSettings;
use guavawell_standin::platform::Platform;
use guavawell_standin::platform::PlatformSettings;
use guavawell_standin::service::Service;
use guavawell_standin::service::ServiceSettings;
use log::LevelFilter;
use simplelog::Config;
use simplelog::WriteLogger;
use thiserror::Error;

/// Which stand-in to run, with its settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunSettings {
    /// Table, object store and instance list.
    Platform(PlatformSettings),
    /// A model engine.
    Engine(EngineSettings),
    /// A plain service.
    Service(ServiceSettings),
}

/// How the process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// Help was asked for and given.
    Done = 0,
    /// The command line does not hold.
    Usage = 2,
    /// An address cannot be bound.
    Address = 3,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// Why a stand-in cannot run.
#[derive(Debug, Error)]
pub enum RunError {
    /// One of the two addresses cannot be bound.
    #[error(
        "cannot listen on {listen} or {control}: {source}; give free addresses with --listen and --control"
    )]
    Address {
        listen: SocketAddr,
        control: SocketAddr,
        source: io::Error,
    },
}

impl RunError {
    /// The exit status that tells of this error.
    pub fn status(&self) -> ExitStatus {
        match self {
            Self::Address { .. } => ExitStatus::Address,
        }
    }
}

/// Starts the stand-in and stays.
pub fn run(settings: RunSettings) -> Result<ExitStatus, RunError> {
    // A second logger cannot exist here.
    let _ = WriteLogger::init(LevelFilter::Info, Config::default(), io::stderr());
    smol::block_on(serve(settings))
}

async fn serve(settings: RunSettings) -> Result<ExitStatus, RunError> {
    match settings {
        RunSettings::Platform(settings) => {
            let (listen, control) = (settings.listen, settings.control);
            let started = Platform::start(settings).await;
            let platform = started.map_err(|source| refused(listen, control, source))?;
            announce("platform", platform.address(), platform.control_address());
            pending().await
        }
        RunSettings::Engine(settings) => {
            let (listen, control) = (settings.listen, settings.control);
            let started = Engine::start(settings).await;
            let engine = started.map_err(|source| refused(listen, control, source))?;
            announce(engine.name(), engine.address(), engine.control_address());
            pending().await
        }
        RunSettings::Service(settings) => {
            let (listen, control) = (settings.listen, settings.control);
            let started = Service::start(settings).await;
            let service = started.map_err(|source| refused(listen, control, source))?;
            announce(service.name(), service.address(), service.control_address());
            pending().await
        }
    }
}

fn refused(listen: SocketAddr, control: SocketAddr, source: io::Error) -> RunError {
    RunError::Address {
        listen,
        control,
        source,
    }
}

fn announce(name: &str, address: SocketAddr, control: SocketAddr) {
    log::info!("{name} listens on {address}, control on {control}");
}
