//! A backend server on its two addresses, through crashes.

use std::io;
use std::mem;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use futures::future::BoxFuture;
use http_types::Method;

use crate::control;
use crate::fault::FaultChange;
use crate::fault::FaultSwitches;
use crate::http::Hangup;
use crate::http::HttpCall;
use crate::http::HttpReply;
use crate::http::HttpServer;
use crate::http::json_reply;
use crate::load::LoadReport;
use crate::lock::lock;
use crate::truth::TruthLog;

/// What outlasts a crash.
#[derive(Debug)]
pub(crate) struct BackendBase<S> {
    pub name: Box<str>,
    pub settings: S,
    pub faults: FaultSwitches,
    pub truth: TruthLog,
}

/// What differs between the kinds: settings `S`, and the life `L` that a crash ends.
#[derive(Debug)]
pub(crate) struct BackendKind<S, L> {
    pub begin: fn(&Arc<BackendBase<S>>) -> Arc<L>,
    pub end: fn(&L),
    pub serve: fn(Arc<L>, HttpCall) -> BoxFuture<'static, HttpReply>,
    pub load: fn(&L) -> LoadReport,
}

/// A running backend server; dropping it stops it.
#[derive(Debug)]
pub(crate) struct BackendHost<S, L> {
    service: HttpServer,
    control: HttpServer,
    base: Arc<BackendBase<S>>,
    life: Arc<Mutex<Arc<L>>>,
    kind: BackendKind<S, L>,
}

impl<S, L> BackendHost<S, L>
where
    S: Send + Sync + 'static,
    L: Send + Sync + 'static,
{
    pub(crate) fn start(
        listen: SocketAddr,
        control: SocketAddr,
        base: BackendBase<S>,
        kind: BackendKind<S, L>,
    ) -> io::Result<Arc<Self>> {
        let service = HttpServer::bind(listen)?;
        let control = HttpServer::bind(control)?;
        let base = Arc::new(base);
        let life = Arc::new(Mutex::new((kind.begin)(&base)));
        let host = Arc::new(Self {
            service,
            control,
            base,
            life,
            kind,
        });
        host.open()?;
        let weak = Arc::downgrade(&host);
        let steer = move |call| {
            let host = weak.upgrade();
            async move { host.ok_or(Hangup)?.steer(call).await }
        };
        host.control.open(steer)?;
        Ok(host)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.service.address()
    }

    pub(crate) fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    pub(crate) fn base(&self) -> &BackendBase<S> {
        &self.base
    }

    pub(crate) fn load(&self) -> LoadReport {
        let life = Arc::clone(&lock(&self.life));
        (self.kind.load)(&life)
    }

    pub(crate) async fn set_faults(&self, change: FaultChange) -> io::Result<()> {
        self.base.faults.apply(&change);
        if change.silent == Some(true) {
            self.service.silence();
        }
        match change.crash {
            Some(true) => self.crash().await,
            Some(false) => self.open()?,
            None => {}
        }
        Ok(())
    }

    pub(crate) async fn stop(&self) {
        self.control.stop().await;
        self.service.stop().await;
        (self.kind.end)(&lock(&self.life));
    }

    fn open(&self) -> io::Result<()> {
        let life = Arc::clone(&self.life);
        let serve = self.kind.serve;
        let handler = move |call| serve(Arc::clone(&lock(&life)), call);
        self.service.open(handler)
    }

    /// Refuses and drops every connection, then begins a new life.
    async fn crash(&self) {
        self.service.close().await;
        let new = (self.kind.begin)(&self.base);
        let old = mem::replace(&mut *lock(&self.life), new);
        (self.kind.end)(&old);
    }

    async fn steer(&self, mut call: HttpCall) -> HttpReply {
        let method = call.request.method();
        let path: Box<str> = call.request.url().path().into();
        match (method, &*path) {
            (Method::Get, "/faults") => Ok(control::show_faults(&self.base.faults.settings())),
            (Method::Put, "/faults") => {
                let apply = async |change| {
                    self.set_faults(change).await.map_err(|_| Hangup)?;
                    Ok(self.base.faults.settings())
                };
                control::change_faults(&mut call, apply).await
            }
            (Method::Get, "/truth") => Ok(json_reply(&self.base.truth.report())),
            _ => Ok(control::unknown_path(method, &path)),
        }
    }
}

impl<S, L> Drop for BackendHost<S, L> {
    fn drop(&mut self) {
        (self.kind.end)(&lock(&self.life));
    }
}
