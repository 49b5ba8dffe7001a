//! Provides the connection for an attempt: an idle one from the pool, a new one, or
//! one that another instance carries.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::FutureExt;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::RetrySafety;
use guavawell_core::forward::ServerEntry;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::id::ServiceId;
use guavawell_core::id::ZoneId;
use guavawell_fleet::event::EventDraft;

use crate::clock::timer_span;
use crate::clock::wait_until;
use crate::crash::note_refused;
use crate::http::ChannelError;
use crate::http::HttpChannel;
use crate::router::ForwardRouter;
use crate::serve::ForwardCall;
use crate::tunnel::TunnelEnd;
use crate::tunnel::open_tunnel;

/// Time after which a connection is overdue: many times what one between two zones
/// takes.
const OVERDUE_AFTER: Duration = Duration::from_millis(60);
/// Timeout of a connection while the link of this instance is nearly full: a packet may
/// wait behind all outstanding work of both directions, and is sent again if it is lost.
const PATIENT_TIMEOUT: ClockSpan = ClockSpan::from_millis(2_000);
/// Longest time in which servers of a zone are tried to show whether it is in reach. A
/// request may wait for it.
const ZONE_CHECK_LIMIT: ClockSpan = ClockSpan::from_millis(100);
/// Timeout of the connection to one of these servers.
const ZONE_CHECK_TIMEOUT: ClockSpan = ClockSpan::from_millis(60);
/// Most of these servers: more than crash at once because of one request.
const MAX_NEIGHBOURS: usize = 4;

/// Returns a connection to a server. On failure returns `None`, and other
/// servers are preferred for a while, except if it timed out on a full link.
pub async fn open_channel(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    server: &ServerIncarnation,
) -> Option<HttpChannel> {
    if let Some(idle) = take_idle(router, call, server) {
        return Some(idle);
    }
    let service = router.servers.borrow().get(server)?.service.clone();
    if router.is_path_lost(&service) {
        return open_carried(router, call, server).await;
    }
    // A full link delays connections. Asking others for them, or repeating them, would
    // fill it further.
    if router.link.is_nearly_full(router.clock.now()) {
        return open_patiently(router, call, server).await;
    }
    if router.is_unreachable(&service) {
        return None;
    }
    let began = router.clock.now();
    let direct = async { ConnectEnd::Direct(connect(router, call, server).await) };
    let around = connect_around(router, call, server, &service);
    match direct.or(around).await {
        ConnectEnd::Direct(Ok(channel)) => {
            note_accepted(router, server);
            router.note_direct_connection(&service, server);
            Some(channel)
        }
        ConnectEnd::Direct(Err(error)) => {
            log_unreached(router, server, &error, began);
            router.note_direct_failure(&service, server);
            open_after_failure(router, call, server, &service, &error).await
        }
        ConnectEnd::Carried(channel) => {
            router.note_direct_failure(&service, server);
            note_unreached(router, server);
            router.note_carried_connection(&service, server);
            Some(channel)
        }
        ConnectEnd::Unavailable => None,
    }
}

/// Opens a connection of this instance while its link is nearly full. One that times out
/// then says nothing of the server or of the way to it.
async fn open_patiently(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    server: &ServerIncarnation,
) -> Option<HttpChannel> {
    let began = router.clock.now();
    match connect_within(router, call, server, PATIENT_TIMEOUT).await {
        Ok(channel) => {
            note_accepted(router, server);
            Some(channel)
        }
        Err(error) => {
            log_unreached(router, server, &error, began);
            if !matches!(error, ChannelError::TimedOut) {
                note_unreached(router, server);
            }
            if error.is_connection_refused() {
                presume_restart(router, server);
            }
            None
        }
    }
}

/// How the opening of a connection ended.
enum ConnectEnd {
    /// The connection of this instance was opened, or failed.
    Direct(Result<HttpChannel, ChannelError>),
    /// Another instance opened one first.
    Carried(HttpChannel),
    /// This instance has lost its way meanwhile and no other can be asked, or none
    /// reaches the servers.
    Unavailable,
}

/// Opens a connection through another instance beside one of this instance that is
/// overdue, as soon as this instance may have lost its way. Never completes if that
/// fails and the other connection may still be opened.
async fn connect_around(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    server: &ServerIncarnation,
    service: &ServiceId,
) -> ConnectEnd {
    loop {
        wait_until(router.path_changed.listen(), OVERDUE_AFTER).await;
        if router.is_path_lost(service) || router.is_path_suspect(service) {
            break;
        }
    }
    let limit = router.clock.left(call.deadline);
    match open_tunnel(router, server, limit).await {
        TunnelEnd::Open(channel) => return ConnectEnd::Carried(channel),
        TunnelEnd::Unreachable => router.note_unreachable(service),
        TunnelEnd::Refused | TunnelEnd::NoCarrier => {}
    }
    if router.is_path_lost(service) || router.is_unreachable(service) {
        return ConnectEnd::Unavailable;
    }
    std::future::pending().await
}

/// Returns an idle connection to a server. While the server is silent, its idle
/// connections may be dead, and a new one shows whether it is in reach.
fn take_idle(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    server: &ServerIncarnation,
) -> Option<HttpChannel> {
    let times = &router.settings.times;
    let once = call.route.retry_safety == RetrySafety::Once;
    let max_idle = if once { times.idle_once } else { times.idle };
    let now = router.clock.now();
    if router.servers.borrow().get(server)?.silent(now) {
        return None;
    }
    router.pool.borrow_mut().take(server, now, max_idle)
}

/// Opens a connection of this instance, in a time that depends on past ones.
async fn connect(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    server: &ServerIncarnation,
) -> Result<HttpChannel, ChannelError> {
    let timeout = router.connect_timeout.get();
    let limit = timeout.limit(&router.settings.times.connect);
    let began = router.clock.now();
    let result = connect_within(router, call, server, limit).await;
    note_connect_time(router, result.as_ref().err(), began);
    result
}

/// Opens a connection of this instance within `limit`.
async fn connect_within(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    server: &ServerIncarnation,
    limit: ClockSpan,
) -> Result<HttpChannel, ChannelError> {
    let listed = router
        .servers
        .borrow()
        .get(server)
        .map(|entry| entry.address);
    let address = listed.ok_or(ChannelError::Closed)?;
    let limit = limit.min(router.clock.left(call.deadline));
    metrics::counter!("guavawell_forward_connections_total").increment(1);
    let channel = HttpChannel::connect(address, timer_span(limit)).await?;
    Ok(channel.counted_by(&router.link.servers))
}

/// Opens a connection through another instance, because this one has lost its own
/// way.
async fn open_carried(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    server: &ServerIncarnation,
) -> Option<HttpChannel> {
    let limit = router.clock.left(call.deadline);
    match open_tunnel(router, server, limit).await {
        TunnelEnd::Open(channel) => {
            note_accepted(router, server);
            Some(channel)
        }
        TunnelEnd::Refused => {
            note_refused(router, server);
            None
        }
        TunnelEnd::Unreachable => {
            note_unreached(router, server);
            None
        }
        TunnelEnd::NoCarrier => None,
    }
}

/// Opens a connection through another instance if the failure of this one's may have
/// a cause other than the server: it was refused, which a cut-off link can do as well
/// as a crashed server, or several servers are out of reach.
async fn open_after_failure(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    server: &ServerIncarnation,
    service: &ServiceId,
    error: &ChannelError,
) -> Option<HttpChannel> {
    let suspect = router.is_path_suspect(service);
    if !suspect && !error.is_answered() {
        note_unreached(router, server);
        return None;
    }
    let limit = router.clock.left(call.deadline);
    let end = open_tunnel(router, server, limit).await;
    if suspect && matches!(end, TunnelEnd::Unreachable) {
        router.note_unreachable(service);
    }
    let has_ended = match end {
        TunnelEnd::Open(channel) => {
            note_unreached(router, server);
            router.note_carried_connection(service, server);
            return Some(channel);
        }
        TunnelEnd::Refused => error.is_connection_refused(),
        TunnelEnd::Unreachable | TunnelEnd::NoCarrier => {
            let place = ServerPlace::of(router, server).filter(|_| error.is_connection_refused());
            match place {
                Some(place) => is_zone_reached(router, &place).await,
                None => false,
            }
        }
    };
    if has_ended {
        note_refused(router, server);
        return None;
    }
    note_unreached(router, server);
    if error.is_connection_refused() {
        presume_restart(router, server);
    }
    None
}

/// Records that a server that refused a connection may have restarted, and be cold.
fn presume_restart(router: &ForwardRouter, server: &ServerIncarnation) {
    if let Some(entry) = router.servers.borrow_mut().get_mut(server) {
        entry.warmth.note_refused(router.server_revision.get());
    }
}

/// Where a server is or was, also after its entry was removed.
#[derive(Clone, Debug)]
pub struct ServerPlace {
    /// The server.
    pub server: ServerIncarnation,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address that it listens on.
    pub address: SocketAddr,
}

impl ServerPlace {
    /// The place of a known server.
    #[must_use]
    pub fn of(router: &ForwardRouter, server: &ServerIncarnation) -> Option<Self> {
        let servers = router.servers.borrow();
        let entry = servers.get(server)?;
        Some(Self {
            server: server.clone(),
            service: entry.service.clone(),
            zone: entry.zone.clone(),
            address: entry.address,
        })
    }
}

/// Whether a server that refused a connection of this instance has ended: others are
/// refused as well, or this instance reaches another server of its zone.
pub async fn confirm_refusal(
    router: &ForwardRouter,
    place: &ServerPlace,
    limit: ClockSpan,
) -> bool {
    let ServerPlace {
        server, service, ..
    } = place;
    router.note_direct_failure(service, server);
    match open_tunnel(router, server, limit).await {
        TunnelEnd::Open(_) => {
            router.note_carried_connection(service, server);
            false
        }
        TunnelEnd::Refused => true,
        TunnelEnd::Unreachable | TunnelEnd::NoCarrier => is_zone_reached(router, place).await,
    }
}

/// Whether this instance can connect to another server of a server's zone, so that no
/// network partition lies between it and the zone. If there is no other server, the
/// way counts as open unless it is suspect.
async fn is_zone_reached(router: &ForwardRouter, place: &ServerPlace) -> bool {
    let neighbours = zone_neighbours(router, place);
    if neighbours.is_empty() {
        return !router.is_path_suspect(&place.service);
    }
    let until = router.clock.now() + ZONE_CHECK_LIMIT;
    for (other, address) in neighbours {
        let limit = router.clock.left(until).min(ZONE_CHECK_TIMEOUT);
        if limit == ClockSpan::ZERO {
            break;
        }
        metrics::counter!("guavawell_forward_connections_total").increment(1);
        match HttpChannel::connect(address, timer_span(limit)).await {
            Ok(channel) => {
                router.keep_idle(&other, channel.counted_by(&router.link.servers));
                return true;
            }
            Err(error) => {
                log::debug!("{other} does not show that its zone is in reach: {error}");
                if error.is_connection_refused() {
                    note_unreached(router, &other);
                    presume_restart(router, &other);
                }
            }
        }
    }
    false
}

/// The other servers of a server's zone that are tried, and their addresses: those that
/// were last reached come first, and of these the ones that were heard last, as they are
/// the least likely to have ended too.
fn zone_neighbours(
    router: &ForwardRouter,
    place: &ServerPlace,
) -> Vec<(ServerIncarnation, SocketAddr)> {
    let now = router.clock.now();
    let servers = router.servers.borrow();
    let others = servers.servers().iter().filter(|other| {
        let is_other = other.incarnation != place.server && other.zone == place.zone;
        is_other && other.takes_requests(now) && !other.warmth.is_cold(now)
    });
    let mut others: Vec<&ServerEntry> = others.collect();
    others.sort_by_key(|other| {
        let health = &other.health;
        (health.connect_failures, Reverse(health.last_received_at))
    });
    let first = others.iter().take(MAX_NEIGHBOURS);
    first
        .map(|other| (other.incarnation.clone(), other.address))
        .collect()
}

/// Logs a failed connection, and how many other servers could not be reached either
/// when they were last tried.
fn log_unreached(
    router: &ForwardRouter,
    server: &ServerIncarnation,
    error: &ChannelError,
    began: ClockTime,
) {
    let servers = router.servers.borrow();
    let others = servers
        .servers()
        .iter()
        .filter(|entry| entry.incarnation != *server && entry.health.connect_failures > 0);
    let draft = EventDraft::new("server.unreached")
        .field("server", server)
        .field("error", error)
        .field("took_ms", router.clock.now().since(began).as_millis())
        .field("others_unreached", others.count())
        .field("servers", servers.servers().len());
    drop(servers);
    router.log.emit(draft);
}

/// Records how long a connection took to open, or that it timed out.
fn note_connect_time(router: &ForwardRouter, error: Option<&ChannelError>, began: ClockTime) {
    let mut timeout = router.connect_timeout.get();
    if matches!(error, Some(ChannelError::TimedOut)) {
        timeout.timed_out();
        router.note_connect_time(None);
    } else {
        let took = router.clock.now().since(began);
        timeout.answered(took);
        router.note_connect_time(Some(took));
    }
    router.connect_timeout.set(timeout);
}

/// Records that a server accepted a connection. One that refused connections
/// before has just started and may be cold.
fn note_accepted(router: &ForwardRouter, server: &ServerIncarnation) {
    let now = router.clock.now();
    if let Some(entry) = router.servers.borrow_mut().get_mut(server) {
        let span = router.cold_span(&entry.service).unwrap_or_default();
        entry.warmth.note_accepted(now, span);
    }
}

/// Records that a server could not be reached: others are preferred for a while.
fn note_unreached(router: &ForwardRouter, server: &ServerIncarnation) {
    let now = router.clock.now();
    if let Some(entry) = router.servers.borrow_mut().get_mut(server) {
        entry.record_connect_failure(now);
    }
    router.pool.borrow_mut().drop_connections(server);
}
