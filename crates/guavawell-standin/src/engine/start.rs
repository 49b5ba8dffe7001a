//! The running engine.

use std::io;

use crate::backend::BackendBase;
use crate::backend::BackendKind;
use crate::backend::RunningBackend;
use crate::engine::life::EngineLife;
use crate::engine::routes;
use crate::engine::settings::EngineSettings;
use crate::fault::FaultSwitches;
use crate::truth::TruthLog;

/// A running model engine.
pub type Engine = RunningBackend<EngineSettings, EngineLife>;

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
            load: EngineLife::load,
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
