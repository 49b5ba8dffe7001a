//! The running engine.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::backend::BackendBase;
use crate::backend::BackendHost;
use crate::backend::BackendKind;
use crate::engine::life::EngineLife;
use crate::engine::routes;
use crate::engine::settings::EngineSettings;
use crate::fault::FaultChange;
use crate::fault::FaultSettings;
use crate::fault::FaultSwitches;
use crate::load::LoadReport;
use crate::truth::TruthLog;
use crate::truth::TruthReport;

/// A running model engine; dropping the last clone stops it.
#[derive(Clone, Debug)]
pub struct Engine {
    host: Arc<BackendHost<EngineSettings, EngineLife>>,
}

impl Engine {
    /// Starts the engine on its two addresses.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound.
    #[allow(clippy::unused_async)] // callers await it, so that a start may come to wait
    pub async fn start(settings: EngineSettings) -> io::Result<Self> {
        let kind = BackendKind {
            begin: EngineLife::start,
            end: EngineLife::end,
            serve: |life, call| Box::pin(routes::serve(life, call)),
        };
        let (listen, control) = (settings.listen, settings.control);
        let base = BackendBase {
            faults: FaultSwitches::default(),
            truth: TruthLog::new(settings.truth_limit),
            settings,
        };
        let host = BackendHost::start(listen, control, base, kind)?;
        Ok(Self { host })
    }

    /// Address for routers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Address of the fault switches and the truth log.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.host.control_address()
    }

    /// The engine's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.host.base().settings.name
    }

    /// The fault switches as they stand.
    #[must_use]
    pub fn faults(&self) -> FaultSettings {
        self.host.base().faults.settings()
    }

    /// Replaces the named switches.
    ///
    /// # Errors
    ///
    /// If the engine cannot take its address back after a crash.
    pub async fn set_faults(&self, change: FaultChange) -> io::Result<()> {
        self.host.set_faults(change).await
    }

    /// Every attempt that ran since the start, whatever crashed meanwhile.
    #[must_use]
    pub fn truth(&self) -> TruthReport {
        self.host.base().truth.report()
    }

    /// The load as the engine reports it.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        self.host.life().load()
    }

    /// Leaves both addresses and drops every connection and attempt.
    pub async fn stop(&self) {
        self.host.stop().await;
    }
}
