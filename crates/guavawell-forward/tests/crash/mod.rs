//! Servers that crash while others of their zone have crashed as well.

use std::net::SocketAddr;
use std::net::TcpListener;

use futures_lite::future::block_on;
use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::LoadFigures;
use guavawell_core::forward::ServerEntry;
use guavawell_core::forward::ServerFragility;
use guavawell_core::forward::ServerHealth;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::ServerLimit;
use guavawell_core::forward::ServerPhase;
use guavawell_core::forward::ServerWarmth;
use guavawell_forward::connect::ServerPlace;
use guavawell_forward::connect::confirm_refusal;
use guavawell_forward::router::ForwardRouter;

use crate::router;

/// Time for which other instances are asked; there are none.
const CONFIRM_LIMIT: ClockSpan = ClockSpan::from_millis(100);

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

fn address(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("an address")
}

/// The address of a server that has ended.
fn refusing_address() -> SocketAddr {
    address(&listener())
}

/// Lists a server of zone z1 that was heard at this time.
fn list_server(
    router: &ForwardRouter,
    id: &str,
    address: SocketAddr,
    heard_ms: u64,
) -> ServerIncarnation {
    let incarnation = ServerIncarnation {
        id: id.parse().expect("a valid id"),
        born: None,
    };
    router.update_server(ServerEntry {
        incarnation: incarnation.clone(),
        service: "desk".parse().expect("a valid id"),
        address,
        zone: "z1".parse().expect("a valid id"),
        version: "v1".parse().expect("a valid version"),
        slots: 8,
        phase: ServerPhase::Ready,
        announced_leaving: false,
        load: LoadFigures::default(),
        health: ServerHealth {
            last_received_at: router.clock.now() + ClockSpan::from_millis(heard_ms),
            ..ServerHealth::default()
        },
        warmth: ServerWarmth::default(),
        limit: ServerLimit::default(),
        fragility: ServerFragility::default(),
        suspects: Vec::new(),
    });
    incarnation
}

fn is_confirmed(router: &ForwardRouter, server: &ServerIncarnation) -> bool {
    let place = ServerPlace::of(router, server).expect("listed");
    block_on(confirm_refusal(router, &place, CONFIRM_LIMIT))
}

// Guards against a crash that is taken for a cut link: the one other server that was
// asked whether the zone is in reach was the one to which a request was sent last, and
// it had crashed as well.
#[test]
fn a_refusal_is_confirmed_though_the_server_heard_last_has_crashed_too() {
    let router = router();
    let live = listener();
    let crashed = list_server(&router, "i-crashed", refusing_address(), 0);
    list_server(&router, "i-live", address(&live), 0);
    list_server(&router, "i-crashed-too", refusing_address(), 50);
    let confirmed = is_confirmed(&router, &crashed);
    assert!(confirmed, "a server of the zone answers");
}

// A rack that has ended: what a check has found of its servers leads the next one to
// those that answer.
#[test]
fn checks_get_past_any_number_of_crashed_servers() {
    let router = router();
    let live = listener();
    let crashed = list_server(&router, "i-crashed", refusing_address(), 0);
    list_server(&router, "i-live", address(&live), 0);
    for number in 0..10 {
        let id = format!("i-crashed-too-{number}");
        list_server(&router, &id, refusing_address(), 50 + number);
    }
    assert!(
        (0..3).any(|_| is_confirmed(&router, &crashed)),
        "a server of the zone answers"
    );
}

// A link that is cut off refuses all connections.
#[test]
fn a_refusal_is_not_confirmed_if_no_server_of_the_zone_answers() {
    let router = router();
    let crashed = list_server(&router, "i-crashed", refusing_address(), 0);
    for number in 0..6 {
        list_server(&router, &format!("i-{number}"), refusing_address(), number);
    }
    let confirmed = is_confirmed(&router, &crashed);
    assert!(!confirmed, "the zone may be cut off");
}
