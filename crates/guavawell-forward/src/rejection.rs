//! Takes note of servers that reject requests.

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::ServerPhase;

use crate::http::ResponseHead;
use crate::response::IncomingResponse;
use crate::router::ForwardRouter;

/// How long a fragile server that has rejected a request gets no others: about the time
/// in which slots become free.
const REJECTION_PAUSE: ClockSpan = ClockSpan::from_millis(500);

/// Whether the server states that it did not run the request. A 400 is relayed
/// instead: the caller has to correct the request.
pub fn is_rejection(router: &ForwardRouter, head: &ResponseHead) -> bool {
    let not_run = head.fields.get(router.settings.names.not_run).is_some();
    head.status == 421 || (not_run && head.status != 400)
}

/// Takes note that a server rejected a request.
pub fn note_rejection(router: &ForwardRouter, mut response: IncomingResponse) {
    // The server did not run it, so a crash has another cause.
    response.watch.settle();
    let server = &response.info.server.clone();
    if response.head.status == 421 {
        // Another server has taken over the address, so this one is gone.
        let mut servers = router.servers.borrow_mut();
        servers.remove(server, ServerPhase::Leaving);
        router.pool.borrow_mut().drop_connections(server);
    }
    drop(response);
    spare_fragile_server(router, server);
}

/// Pauses a fragile server that has rejected a request: others would be rejected too.
fn spare_fragile_server(router: &ForwardRouter, server: &ServerIncarnation) {
    let now = router.clock.now();
    let mut servers = router.servers.borrow_mut();
    let service = servers.get(server).map(|entry| entry.service.clone());
    let is_fragile = service.is_some_and(|service| servers.fragility(&service, now).is_some());
    if let Some(entry) = servers.get_mut(server).filter(|_| is_fragile) {
        entry.pause(now, REJECTION_PAUSE);
    }
}
