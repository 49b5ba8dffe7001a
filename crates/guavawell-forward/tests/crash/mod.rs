//! Servers that crash while others of their zone have crashed as well, or while the
//! platform removes their entries.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use futures_lite::FutureExt;
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
use guavawell_core::forward::ServerWork;
use guavawell_core::poison::OrganisationTag;
use guavawell_core::poison::RequestFingerprint;
use guavawell_core::poison::SuspicionMark;
use guavawell_forward::connect::ServerPlace;
use guavawell_forward::connect::confirm_refusal;
use guavawell_forward::crash::AbandonedAttempt;
use guavawell_forward::crash::note_lost_attempt;
use guavawell_forward::crash::recheck_connections;
use guavawell_forward::router::ForwardRouter;
use smol::Timer;

use crate::router;

/// Time for which other instances are asked; there are none.
const CONFIRM_LIMIT: ClockSpan = ClockSpan::from_millis(100);
/// Longest wait for the second check of a connection.
const RECHECK_LIMIT: Duration = Duration::from_secs(3);

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
        work: ServerWork::default(),
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

fn lost_attempt(server: &ServerIncarnation) -> AbandonedAttempt {
    AbandonedAttempt {
        server: server.clone(),
        fingerprint: RequestFingerprint::new(7),
        organisation: OrganisationTag::default(),
        suspicion: SuspicionMark::default(),
        parts: Rc::default(),
    }
}

/// Number of crashes that count against the request of a lost attempt, if its server
/// still accepts one connection, closes it, and refuses all later ones. `meanwhile` runs
/// between the two checks.
fn crashes_counted(meanwhile: impl FnOnce(&ForwardRouter, &ServerIncarnation)) -> u8 {
    let router = Rc::new(router());
    let (live, ending) = (listener(), listener());
    list_server(&router, "i-live", address(&live), 0);
    let server = list_server(&router, "i-ending", address(&ending), 0);
    let attempt = lost_attempt(&server);
    let end = thread::spawn(move || drop((ending.accept(), ending)));
    block_on(note_lost_attempt(&router, attempt.clone()));
    end.join().expect("the server ends");
    assert_eq!(router.poison.mark(attempt.fingerprint).crashes, 0);
    meanwhile(&router, &server);
    let counted = async {
        while router.poison.mark(attempt.fingerprint).crashes == 0 {
            Timer::after(Duration::from_millis(5)).await;
        }
    };
    let limit = async {
        Timer::after(RECHECK_LIMIT).await;
    };
    block_on(
        counted
            .or(limit)
            .or(recheck_connections(Rc::clone(&router))),
    );
    router.poison.mark(attempt.fingerprint).crashes
}

#[test]
fn a_server_that_closes_its_listener_last_has_crashed() {
    assert_eq!(crashes_counted(|_, _| {}), 1);
}

// Guards against crashes that are never counted: the platform removed the entry of a
// server that had crashed between the two checks, and the server then counted as one
// that left.
#[test]
fn a_server_whose_entry_was_removed_between_the_checks_has_crashed() {
    let counted = crashes_counted(|router, server| router.remove_unlisted_server(&server.id));
    assert_eq!(counted, 1);
}

// As above; the server was removed from memory as well.
#[test]
fn a_server_that_was_forgotten_between_the_checks_has_crashed() {
    let counted = crashes_counted(|router, server| {
        router.remove_unlisted_server(&server.id);
        router.servers.borrow_mut().sweep(router.clock.now());
    });
    assert_eq!(counted, 1);
}

// A server that announces its shutdown and ends has not crashed.
#[test]
fn a_server_that_announced_its_shutdown_between_the_checks_has_not_crashed() {
    let counted = crashes_counted(|router, server| {
        let mut servers = router.servers.borrow_mut();
        servers.get_mut(server).expect("listed").record_leaving();
    });
    assert_eq!(counted, 0);
}

// As above; the server was removed from memory as well.
#[test]
fn a_forgotten_server_that_had_announced_its_shutdown_has_not_crashed() {
    let counted = crashes_counted(|router, server| {
        let mut servers = router.servers.borrow_mut();
        servers.get_mut(server).expect("listed").record_leaving();
        servers.sweep(router.clock.now());
    });
    assert_eq!(counted, 0);
}
