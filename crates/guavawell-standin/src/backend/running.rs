//! A running backend server of any kind, as its embedder sees it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use super::BackendBase;
use super::BackendHost;
use super::BackendKind;
use crate::fault::FaultChange;
use crate::fault::FaultSettings;
use crate::load::LoadReport;
use crate::truth::TruthReport;

/// A running backend server with settings `S`, whose lives are `L`; dropping the
/// last clone stops it.
#[derive(Debug)]
pub struct RunningBackend<S, L> {
    host: Arc<BackendHost<S, L>>,
}

impl<S, L> Clone for RunningBackend<S, L> {
    fn clone(&self) -> Self {
        Self {
            host: Arc::clone(&self.host),
        }
    }
}

impl<S, L> RunningBackend<S, L>
where
    S: Send + Sync + 'static,
    L: Send + Sync + 'static,
{
    /// Starts it on its two addresses.
    pub(crate) fn start_on(
        listen: SocketAddr,
        control: SocketAddr,
        base: BackendBase<S>,
        kind: BackendKind<S, L>,
    ) -> io::Result<Self> {
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

    /// Its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.host.base().name
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
    /// If it cannot take its address back after a crash.
    pub async fn set_faults(&self, change: FaultChange) -> io::Result<()> {
        self.host.set_faults(change).await
    }

    /// Every attempt that ran since the start, whatever crashed meanwhile.
    #[must_use]
    pub fn truth(&self) -> TruthReport {
        self.host.base().truth.report()
    }

    /// The load as it reports it.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        self.host.load()
    }

    /// Leaves both addresses and drops every connection and attempt.
    pub async fn stop(&self) {
        self.host.stop().await;
    }
}
