//! Provides the connection for an attempt: an idle one from the pool or a new
//! one.

use guavawell_core::clock::ClockTime;
use guavawell_core::forward::RetrySafety;
use guavawell_core::forward::ServerIncarnation;
use guavawell_fleet::event::EventDraft;

use crate::clock::timer_span;
use crate::crash::note_refused;
use crate::http::ChannelError;
use crate::http::HttpChannel;
use crate::router::ForwardRouter;
use crate::serve::ForwardCall;

/// Returns a connection to a server. On failure returns `None`, and other
/// servers are preferred for a while.
pub async fn open_channel(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    server: &ServerIncarnation,
) -> Option<HttpChannel> {
    let times = &router.settings.times;
    let once = call.route.retry_safety == RetrySafety::Once;
    let max_idle = if once { times.idle_once } else { times.idle };
    let now = router.clock.now();
    let idle = router.pool.borrow_mut().take(server, now, max_idle);
    if idle.is_some() {
        return idle;
    }
    let address = router.servers.borrow().get(server)?.address;
    let limit = router.connect_timeout.get().limit(&times.connect);
    let limit = limit.min(router.clock.left(call.deadline));
    metrics::counter!("guavawell_forward_connections_total").increment(1);
    let began = router.clock.now();
    let result = HttpChannel::connect(address, timer_span(limit)).await;
    note_connect_time(router, result.as_ref().err(), began);
    match result {
        Ok(channel) => {
            note_accepted(router, server);
            Some(channel)
        }
        Err(error) => {
            log_unreached(router, server, &error, began);
            note_connect_failure(router, server, &error);
            None
        }
    }
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

fn note_connect_failure(router: &ForwardRouter, server: &ServerIncarnation, error: &ChannelError) {
    if error.is_connection_refused() {
        note_refused(router, server);
        return;
    }
    let now = router.clock.now();
    if let Some(entry) = router.servers.borrow_mut().get_mut(server) {
        entry.record_connect_failure(now);
    }
    router.pool.borrow_mut().drop_connections(server);
}
