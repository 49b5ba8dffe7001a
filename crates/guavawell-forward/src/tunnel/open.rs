//! Opens connections to servers through other instances.

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::id::InstanceId;
use guavawell_core::id::ZoneId;
use guavawell_fleet::event::EventDraft;

use super::TunnelRefusal;
use crate::clock::timer_span;
use crate::http::HttpChannel;
use crate::peer::Carrier;
use crate::router::ForwardRouter;

/// Instances that are asked for one connection.
const MAX_CARRIERS: usize = 3;
/// How long an instance is asked for a connection: a little longer than it tries to
/// connect itself.
const CARRIER_TIMEOUT: ClockSpan = ClockSpan::from_millis(400);
/// How long an instance that declined is not asked again. Asking costs little, and its
/// own way may be open again.
const DECLINED_SPAN: ClockSpan = ClockSpan::from_millis(300);
/// How long an instance that did not answer is not asked again, as each request would
/// wait for it.
const UNANSWERED_SPAN: ClockSpan = ClockSpan::from_millis(1_000);
/// Tunnels by which instances may differ before the nearer one is passed over.
const LOAD_STEP: usize = 8;

/// The result of asking other instances for a connection.
#[derive(Debug)]
pub(crate) enum TunnelEnd {
    /// The connection is open.
    Open(HttpChannel),
    /// The server refused it to an instance of its own zone, or is in the zone of this
    /// instance and refused it to another: its process has ended.
    Refused,
    /// Other instances could not open it either, but a network partition may be the
    /// cause.
    Unreachable,
    /// No instance could be asked.
    NoCarrier,
}

/// Opens a connection to a server through another instance, within `limit`.
pub(crate) async fn open_tunnel(
    router: &ForwardRouter,
    server: &ServerIncarnation,
    limit: ClockSpan,
) -> TunnelEnd {
    let Some(server_zone) = router
        .servers
        .borrow()
        .get(server)
        .map(|entry| entry.zone.clone())
    else {
        return TunnelEnd::NoCarrier;
    };
    let own_zone = &router.settings.zone;
    // No cut between zones lies between this carrier and the server.
    let is_beside = |zone: &ZoneId| *zone == server_zone || server_zone == *own_zone;
    let until = router.clock.now() + limit;
    let mut end = TunnelEnd::NoCarrier;
    let carriers = carriers(router, &server_zone);
    for carrier in carriers.into_iter().take(MAX_CARRIERS) {
        let left = router.clock.left(until).min(CARRIER_TIMEOUT);
        if left == ClockSpan::ZERO {
            break;
        }
        let opened = router.peers.open_tunnel(&carrier, server, timer_span(left));
        match opened.await {
            Ok(Ok(channel)) => {
                count_tunnel("open");
                return TunnelEnd::Open(channel);
            }
            Ok(Err(TunnelRefusal::Refused)) if is_beside(&carrier.zone) => {
                count_tunnel("refused");
                return TunnelEnd::Refused;
            }
            // The carrier may have lost its own way without knowing it yet, or its zone
            // may be cut off from the server's.
            Ok(Err(refusal @ (TunnelRefusal::Refused | TunnelRefusal::Unreachable))) => {
                count_tunnel(refusal.as_str());
                end = TunnelEnd::Unreachable;
            }
            // Its list may be a little older or newer; for other servers it can be asked.
            Ok(Err(TunnelRefusal::UnknownServer)) => count_tunnel("unknown_server"),
            Ok(Err(refusal)) => {
                router.peers.pause_carrier(&carrier.instance, DECLINED_SPAN);
                note_declined(router, &carrier.instance, server, &refusal);
            }
            Err(error) => {
                router
                    .peers
                    .pause_carrier(&carrier.instance, UNANSWERED_SPAN);
                note_declined(router, &carrier.instance, server, &error);
            }
        }
    }
    end
}

/// The instances to ask, in the order of preference. They are in the region of this
/// instance or of the server, where the request may be anyway. Those in the server's
/// zone come first, then those in this instance's: their bytes cross zones once at
/// most.
fn carriers(router: &ForwardRouter, server_zone: &ZoneId) -> Vec<Carrier> {
    let own_zone = &router.settings.zone;
    let regions = &router.settings.regions;
    let near_regions = [own_zone, server_zone].map(|zone| regions.region(zone));
    let mut carriers = router.peers.carriers();
    carriers.retain(|carrier| {
        let region = regions.region(&carrier.zone);
        carrier.zone == *own_zone
            || carrier.zone == *server_zone
            || region.is_some() && near_regions.contains(&region)
    });
    fastrand::shuffle(&mut carriers);
    carriers.sort_by_key(|carrier| {
        let distance = if carrier.zone == *server_zone {
            0
        } else {
            1 + u8::from(carrier.zone != *own_zone)
        };
        // An instance that carries much more than the others comes after them.
        (carrier.open_tunnels / LOAD_STEP, distance)
    });
    carriers
}

fn note_declined(
    router: &ForwardRouter,
    carrier: &InstanceId,
    server: &ServerIncarnation,
    cause: &dyn std::fmt::Display,
) {
    count_tunnel("declined");
    let draft = EventDraft::new("tunnel.declined")
        .field("carrier", carrier)
        .field("server", server)
        .field("cause", cause);
    router.log.emit(draft);
}

fn count_tunnel(end: &'static str) {
    metrics::counter!("guavawell_forward_tunnels_total", "end" => end).increment(1);
}
