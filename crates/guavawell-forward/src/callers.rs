//! Accepts callers' connections and serves each one in its own task.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use guavawell_core::forward::ForwardLimits;
use smol::Async;
use smol::LocalExecutor;

use crate::accept::accept_all;
use crate::accept::accept_waiting;
use crate::clients::ClientEntry;
use crate::clock::timer_span;
use crate::http::HttpChannel;
use crate::intake::receive_unless_closing;
use crate::overload::is_shed;
use crate::refusal::RefusalResponse;
use crate::router::ForwardRouter;
use crate::serve::serve_request;

/// Longest wait for a caller to close its connection if it has sent bytes that are not
/// served. It is less than the time that a leaving process reserves for its last steps.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(400);
/// Bytes that are read at least of what such a caller goes on sending, so that it gets the
/// response before the connection is reset.
const MAX_UNREAD_BYTES: usize = 8 * 1024 * 1024;

/// Accepts callers' connections until the process has no more to serve. Those that
/// wait to be accepted then are accepted, and the listening socket is closed.
pub async fn accept_callers(
    router: Rc<ForwardRouter>,
    listener: Async<TcpListener>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let serve = |channel: HttpChannel| {
        if is_shed(&router) {
            return;
        }
        let router = Rc::clone(&router);
        let limit = caller_limits(&router).head_time;
        let Some(entry) = router.callers.clients.add(&channel.stream(), limit) else {
            return;
        };
        router.link.connection_began();
        let channel = channel.counted_by(&router.link.callers);
        allow_pauses(&router, &channel);
        let serve_channel = async move { serve_caller(&router, channel, &entry).await };
        executor.spawn(serve_channel).detach();
    };
    let turn = router.callers.clients.accept_turn();
    router.callers.accepting_began();
    accept_all("caller", &listener, turn, &serve)
        .or(router.callers.wait_for_stop())
        .await;
    accept_waiting("caller", &listener, serve);
    // Connections that arrive from here on are refused, and their callers retry.
    drop(listener);
    router.callers.accepting_ended();
}

/// Lets a caller pause while it reads a response, and keeps what waits for it where it is
/// counted.
fn allow_pauses(router: &ForwardRouter, channel: &HttpChannel) {
    if !router.reads_ahead() {
        return;
    }
    let settings = &router.settings.read_ahead;
    // The instance gives the caller up before the kernel does, and logs it.
    let limit = timer_span(settings.max_pause + settings.pause);
    if let Err(error) = channel.allow_pauses(limit, settings.socket_bytes) {
        log::debug!("a caller's connection has failed: {error}");
    }
}

/// Counts a request from its first byte until it is served or refused.
struct PendingRequest<'a> {
    router: &'a ForwardRouter,
}

impl<'a> PendingRequest<'a> {
    fn new(router: &'a ForwardRouter) -> Self {
        let count = router.pending_requests.get();
        router.pending_requests.set(count + 1);
        Self { router }
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        let count = self.router.pending_requests.get();
        self.router.pending_requests.set(count - 1);
    }
}

/// Counts the requests of a connection until it ends.
struct ConnectionRequests<'a> {
    router: &'a ForwardRouter,
    count: u64,
}

impl Drop for ConnectionRequests<'_> {
    fn drop(&mut self) {
        self.router.link.connection_ended(self.count);
    }
}

async fn serve_caller(router: &Rc<ForwardRouter>, mut channel: HttpChannel, entry: &ClientEntry) {
    let mut requests = ConnectionRequests { router, count: 0 };
    loop {
        let limits = caller_limits(router);
        if !channel.await_first_byte(limits.idle_time).await {
            return;
        }
        entry.begin_wait(limits.head_time);
        let pending = PendingRequest::new(router);
        let request = match receive_unless_closing(router, &mut channel, entry, &limits).await {
            Ok(request) => request,
            Err(refusal) => {
                if let Some(response) = refusal {
                    refuse_unread(router, channel, &response).await;
                }
                return;
            }
        };
        // Serving counts the request itself, without a step in between.
        drop(pending);
        requests.count += 1;
        // An idle connection must not take the memory that serving a request takes.
        let keep_alive = Box::pin(serve_request(router, &mut channel, request)).await;
        if !keep_alive {
            close_served(router, channel).await;
            return;
        }
        entry.begin_wait(limits.idle_time);
        channel.end_turn().await;
    }
}

/// Closes a connection after its last response. A caller that has sent more must not
/// lose the response.
async fn close_served(router: &ForwardRouter, channel: HttpChannel) {
    if channel.is_quiet() {
        return;
    }
    let _pending = PendingRequest::new(router);
    close_unread(router, channel).await;
}

/// Closes a connection whose caller may have sent more than was served. A caller that goes
/// on sending must not keep the instance busy.
async fn close_unread(router: &ForwardRouter, channel: HttpChannel) {
    let max_bytes = caller_limits(router).body_bytes.max(MAX_UNREAD_BYTES);
    channel.close_unread(CLOSE_TIMEOUT, max_bytes).await;
}

/// Refuses a request that was not received completely, and closes the connection.
async fn refuse_unread(router: &ForwardRouter, channel: HttpChannel, response: &RefusalResponse) {
    let outcome = response.refusal.as_str();
    metrics::counter!("guavawell_forward_requests_total", "outcome" => outcome).increment(1);
    let draft = guavawell_fleet::event::EventDraft::new("request.refused_unread")
        .field("outcome", outcome)
        .field("status", response.status());
    router.log.emit(draft);
    match response.send(&channel, None, false).await {
        Ok(()) => close_unread(router, channel).await,
        Err(error) => log::debug!("failed to send a refusal to the caller: {error}"),
    }
}

fn caller_limits(router: &ForwardRouter) -> ForwardLimits {
    let config = router.configs.current();
    config.map(|config| config.limits).unwrap_or_default()
}
