//! The router's ports: who is served on them, plain or by TLS.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use smol::net::TcpStream;

use super::core::RouterCore;
use super::orphan::doubt_lines;
use super::serve::serve;
use super::settings::caller_limits;
use super::settings::operator_limits;
use super::start::RouterError;
use super::status::instance_status;
use super::status::readiness;
use crate::caller::CallerLimits;
use crate::caller::CallerListener;
use crate::config::ConfigHandle;
use crate::operator::MetricsPage;
use crate::operator::OperatorPages;
use crate::operator::answer;
use crate::settings::RouterSettings;
use crate::tls::ClientTls;
use crate::tls::PortSecurity;
use crate::tls::PortStream;
use crate::tls::ServerTls;

/// Opens the callers' port.
///
/// # Errors
///
/// [`RouterError::Listen`].
pub async fn bind_callers(settings: &RouterSettings) -> Result<Arc<CallerListener>, RouterError> {
    let limits = caller_limits(settings);
    bind("callers", settings.callers.listen, limits).await
}

/// Opens the operators' port.
///
/// # Errors
///
/// [`RouterError::Listen`].
pub async fn bind_operators(settings: &RouterSettings) -> Result<Arc<CallerListener>, RouterError> {
    bind("operators", settings.operators.listen, operator_limits()).await
}

async fn bind(
    what: &'static str,
    address: SocketAddr,
    limits: CallerLimits,
) -> Result<Arc<CallerListener>, RouterError> {
    CallerListener::bind(address, limits)
        .await
        .map_err(|source| RouterError::Listen {
            what,
            address,
            source,
        })
}

/// Serves callers on their port.
///
/// # Errors
///
/// [`RouterError::Tls`] if certificates cannot be used.
pub fn serve_callers(
    core: &Arc<RouterCore>,
    listener: &Arc<CallerListener>,
) -> Result<(), RouterError> {
    let callers = &core.settings.callers;
    let security = PortSecurity::new(callers.plain_loopback, callers.tls.as_ref())?;
    let shared = Arc::clone(core);
    let handle = move |request| serve(Arc::clone(&shared), request);
    let wrap = move |stream| accept(security.clone(), stream);
    let tasks = core.tasks.clone();
    let serving = Arc::clone(listener).serve(tasks, wrap, handle);
    core.tasks.spawn(serving);
    Ok(())
}

/// Serves operators on theirs.
///
/// # Errors
///
/// [`RouterError::Tls`] if certificates cannot be used.
pub fn serve_operators(
    core: &Arc<RouterCore>,
    listener: &Arc<CallerListener>,
    config: &ConfigHandle,
) -> Result<(), RouterError> {
    let operators = &core.settings.operators;
    let security = PortSecurity::new(operators.plain_loopback, operators.tls.as_ref())?;
    let pages = Arc::new(operator_pages(core, config));
    let handle = move |request| {
        let pages = Arc::clone(&pages);
        async move { answer(&pages, &request) }
    };
    let wrap = move |stream| accept(security.clone(), stream);
    let tasks = core.tasks.clone();
    let serving = Arc::clone(listener).serve(tasks, wrap, handle);
    core.tasks.spawn(serving);
    Ok(())
}

async fn accept(security: PortSecurity, stream: TcpStream) -> io::Result<PortStream> {
    security.accept(stream).await
}

fn operator_pages(core: &Arc<RouterCore>, config: &ConfigHandle) -> OperatorPages {
    let ready = (Arc::clone(core), config.clone());
    let status = (Arc::clone(core), config.clone());
    let doubts = Arc::clone(core);
    let drain = Arc::clone(core);
    OperatorPages {
        metrics: MetricsPage::install(),
        ready: Box::new(move || readiness(&ready.0, &ready.1)),
        status: Box::new(move || {
            let status = instance_status(&status.0, &status.1);
            serde_json::to_string(&status).expect("ids and numbers serialise")
        }),
        doubts: Box::new(move || {
            let lines = doubt_lines(&doubts);
            serde_json::to_string(&lines).expect("ids and numbers serialise")
        }),
        drain: Box::new(move || drain.leaving.store(true, Ordering::Release)),
    }
}

/// Certificates for answering peers; `None` where plain loopback is set.
///
/// # Errors
///
/// [`RouterError::Tls`].
pub fn peer_tls(settings: &RouterSettings) -> Result<Option<Arc<ServerTls>>, RouterError> {
    let tls = settings.peers.tls.as_ref();
    let loaded = tls.map(ServerTls::load).transpose()?;
    Ok(loaded.map(Arc::new))
}

/// Certificates for calling peers; `None` where plain loopback is set.
///
/// # Errors
///
/// [`RouterError::Tls`].
pub fn client_tls(settings: &RouterSettings) -> Result<Option<Arc<ClientTls>>, RouterError> {
    let tls = settings.peers.tls.as_ref();
    let loaded = tls.map(ClientTls::load).transpose()?;
    Ok(loaded.map(Arc::new))
}
