//! The running service.

use std::io;

use crate::backend::BackendBase;
use crate::backend::BackendKind;
use crate::backend::RunningBackend;
use crate::fault::FaultSwitches;
use crate::service::life::ServiceLife;
use crate::service::routes;
use crate::service::settings::ServiceSettings;
use crate::truth::TruthLog;

/// A running plain service.
pub type Service = RunningBackend<ServiceSettings, ServiceLife>;

impl Service {
    /// Starts the service on its two addresses.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound.
    #[allow(clippy::unused_async)] // callers await it, so that a start may come to wait
    pub async fn start(settings: ServiceSettings) -> io::Result<Self> {
        let kind = BackendKind {
            begin: ServiceLife::start,
            end: ServiceLife::end,
            serve: |life, call| Box::pin(routes::serve(life, call)),
            load: ServiceLife::load,
        };
        let (listen, control) = (settings.listen, settings.control);
        let base = BackendBase {
            name: settings.name.clone(),
            faults: FaultSwitches::default(),
            truth: TruthLog::new(settings.truth_limit),
            settings,
        };
        Self::start_on(listen, control, base, kind)
    }
}
