//! The running engine: its addresses and its lives.

use std::io;
use std::mem;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use http_types::Method;

use crate::control;
use crate::engine::life::EngineBase;
use crate::engine::life::EngineLife;
use crate::engine::report::LoadReport;
use crate::engine::routes;
use crate::engine::settings::EngineSettings;
use crate::fault::FaultChange;
use crate::fault::FaultSettings;
use crate::fault::FaultSwitches;
use crate::http::Hangup;
use crate::http::HttpCall;
use crate::http::HttpReply;
use crate::http::HttpServer;
use crate::http::json_reply;
use crate::lock::lock;
use crate::truth::TruthLog;
use crate::truth::TruthReport;

/// A running model engine; dropping the last clone stops it.
#[derive(Clone, Debug)]
pub struct Engine {
    shared: Arc<EngineShared>,
}

#[derive(Debug)]
struct EngineShared {
    service: HttpServer,
    control: HttpServer,
    base: Arc<EngineBase>,
    life: Arc<Mutex<Arc<EngineLife>>>,
}

impl Engine {
    /// Starts the engine on its two addresses.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound.
    pub async fn start(settings: EngineSettings) -> io::Result<Self> {
        let service = HttpServer::bind(settings.listen)?;
        let control = HttpServer::bind(settings.control)?;
        let base = Arc::new(EngineBase {
            faults: FaultSwitches::default(),
            truth: TruthLog::new(settings.truth_limit),
            settings,
        });
        let life = EngineLife::start(&base);
        let engine = Self {
            shared: Arc::new(EngineShared {
                service,
                control,
                base,
                life: Arc::new(Mutex::new(life)),
            }),
        };
        engine.open().await?;
        let weak = Arc::downgrade(&engine.shared);
        let steer = move |call| {
            let engine = weak.upgrade().map(|shared| Self { shared });
            async move { engine.ok_or(Hangup)?.steer(call).await }
        };
        engine.shared.control.open(steer).await?;
        Ok(engine)
    }

    /// Address for routers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.service.address()
    }

    /// Address of the fault switches and the truth log.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.shared.control.address()
    }

    /// The engine's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.shared.base.settings.name
    }

    /// The fault switches as they stand.
    #[must_use]
    pub fn faults(&self) -> FaultSettings {
        self.shared.base.faults.settings()
    }

    /// Replaces the named switches.
    ///
    /// # Errors
    ///
    /// If the engine cannot take its address back after a crash.
    pub async fn set_faults(&self, change: FaultChange) -> io::Result<()> {
        self.shared.base.faults.apply(&change);
        if change.silent == Some(true) {
            self.shared.service.silence();
        }
        match change.crash {
            Some(true) => self.crash().await,
            Some(false) => self.open().await?,
            None => {}
        }
        Ok(())
    }

    /// Every attempt that ran since the start, whatever crashed meanwhile.
    #[must_use]
    pub fn truth(&self) -> TruthReport {
        self.shared.base.truth.report()
    }

    /// The load as the engine reports it.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        lock(&self.shared.life).load()
    }

    /// Leaves both addresses and drops every connection and attempt.
    pub async fn stop(&self) {
        self.shared.control.close().await;
        self.crash().await;
    }

    async fn open(&self) -> io::Result<()> {
        let life = Arc::clone(&self.shared.life);
        let serve = move |call| {
            let life = Arc::clone(&lock(&life));
            routes::serve(life, call)
        };
        self.shared.service.open(serve).await
    }

    /// Refuses and drops every connection, then begins a new life.
    async fn crash(&self) {
        self.shared.service.close().await;
        let new = EngineLife::start(&self.shared.base);
        let old = {
            let mut life = lock(&self.shared.life);
            mem::replace(&mut *life, new)
        };
        old.end();
    }

    async fn steer(&self, mut call: HttpCall) -> HttpReply {
        let method = call.request.method();
        let path: Box<str> = call.request.url().path().into();
        match (method, &*path) {
            (Method::Get, "/faults") => Ok(control::show_faults(&self.faults())),
            (Method::Put, "/faults") => {
                let apply = async |change| {
                    self.set_faults(change).await.map_err(|_| Hangup)?;
                    Ok(self.faults())
                };
                control::change_faults(&mut call, apply).await
            }
            (Method::Get, "/truth") => Ok(json_reply(&self.truth())),
            _ => Ok(control::unknown_path(method, &path)),
        }
    }
}

impl Drop for EngineShared {
    fn drop(&mut self) {
        lock(&self.life).end();
    }
}
