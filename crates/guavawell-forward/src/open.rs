//! A connection for an attempt: an idle one of the pool, or a new one.

use guavawell_core::clock::ClockTime;
use guavawell_core::forward::RetrySafety;
use guavawell_core::forward::ServerIncarnation;

use crate::clock::timer_span;
use crate::crash::refused;
use crate::http::ChannelError;
use crate::http::HttpChannel;
use crate::router::ForwardRouter;
use crate::serve::ForwardCall;

/// Opens a connection to a server; `None` if it is not to be had, and others are
/// asked first for a while.
pub async fn open_channel(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    server: &ServerIncarnation,
) -> Option<HttpChannel> {
    let times = &router.settings.times;
    let once = call.route.retry_safety == RetrySafety::Once;
    let most_idle = if once { times.idle_once } else { times.idle };
    let now = router.clock.now();
    let idle = router.pool.borrow_mut().take(server, now, most_idle);
    if idle.is_some() {
        return idle;
    }
    let address = router.servers.borrow().get(server)?.address;
    let limit = router.connects.get().limit(&times.connect);
    let limit = limit.min(router.clock.left(call.ends_at));
    metrics::counter!("guavawell_forward_connections_total").increment(1);
    let began = router.clock.now();
    let connected = HttpChannel::connect(address, timer_span(limit)).await;
    note_pace(router, connected.as_ref().err(), began);
    match connected {
        Ok(channel) => Some(channel),
        Err(error) => {
            log::debug!("no connection to {server}: {error}");
            note_unreached(router, server, &error);
            None
        }
    }
}

/// Takes note of how long the connection took, or that it did not stand in time.
fn note_pace(router: &ForwardRouter, error: Option<&ChannelError>, began: ClockTime) {
    let mut pace = router.connects.get();
    if matches!(error, Some(ChannelError::TimedOut)) {
        pace.timed_out();
        router.connected(None);
    } else {
        let took = router.clock.now().since(began);
        pace.answered(took);
        router.connected(Some(took));
    }
    router.connects.set(pace);
}

fn note_unreached(router: &ForwardRouter, server: &ServerIncarnation, error: &ChannelError) {
    if error.is_refusal() {
        refused(router, server);
        return;
    }
    let now = router.clock.now();
    if let Some(entry) = router.servers.borrow_mut().get_mut(server) {
        entry.record_connect_failure(now);
    }
    router.pool.borrow_mut().forget(server);
}
