//! What a request requires of its server, from the configuration that applies
//! to it and the fleet as this instance knows it.

use guavawell_core::forward::FleetView;
use guavawell_core::forward::HomeRegions;
use guavawell_core::forward::ServerConstraints;
use guavawell_core::forward::ServerIncarnation;

use crate::router::ForwardRouter;
use crate::routing::organisation_homes;
use crate::serve::ForwardCall;

/// Returns what `decide` returns for the constraints of a request.
pub fn with_constraints<T>(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    decide: impl FnOnce(ServerConstraints<'_>) -> T,
) -> T {
    let service = call.config.service(&call.service);
    let slow_start = service.and_then(|service| service.slow_start);
    fleet_view(router, |fleet| {
        decide(ServerConstraints {
            service: &call.service,
            origin: call.origin.as_ref(),
            homes: HomeRegions {
                route: &call.route.homes,
                organisation: organisation_homes(&call.config, call),
            },
            slow_start: slow_start.map(|slow_start| router.settings.slow_start.limit(slow_start)),
            fleet,
        })
    })
}

/// Returns what `decide` returns for the fleet as this instance knows it.
pub fn fleet_view<T>(router: &ForwardRouter, decide: impl FnOnce(FleetView<'_>) -> T) -> T {
    let members = router.peers.fleet();
    decide(FleetView {
        own: &router.settings.instance,
        members: &members,
        is_recent: router.peers.is_fleet_recent(),
    })
}

/// Whether a server may get the request now. Counts the request towards the
/// server's limit if the server is cold, so it must be sent next.
///
/// The server may have started to leave or asked for a pause, or its zone may
/// have been evacuated, while a connection to it was being opened.
#[must_use]
pub fn claim_send(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    server: &ServerIncarnation,
) -> bool {
    with_constraints(router, call, |constraints| {
        let now = router.clock.now();
        let mut servers = router.servers.borrow_mut();
        let Some(entry) = servers.get(server) else {
            return false;
        };
        if servers.obstacle(entry, &constraints, now).is_some() {
            return false;
        }
        let is_limited = servers.send_share(entry, &constraints, now).is_some();
        if let Some(entry) = servers.get_mut(server).filter(|_| is_limited) {
            entry.warmth.note_send(now);
            metrics::counter!("guavawell_forward_cold_sends_total").increment(1);
        }
        if let Some(entry) = servers.get_mut(server)
            && entry.limit.note_send(now)
        {
            metrics::counter!("guavawell_forward_limited_sends_total").increment(1);
        }
        true
    })
}
