//! Connections that break, go silent or carry too much.

use std::net::Ipv4Addr;
use std::ops::RangeFrom;
use std::sync::Arc;

use guavawell_core::budget::LedgerEntry;
use guavawell_core::budget::WitnessMessage;
use guavawell_core::budget::WitnessRecord;
use guavawell_core::clock::ClockSpan;
use smol::future;

use super::SHORT;
use super::SealControl;
use super::call;
use super::call_aside;
use super::client_settings;
use super::given;
use super::hand_back;
use super::identity;
use super::relay::TestRelay;
use super::seal;
use super::server_settings;
use super::settings;
use super::stamp;
use super::start_plain;
use super::start_server;
use super::target;
use super::test_handler;
use crate::peer::PeerClient;
use crate::peer::PeerError;
use crate::peer::PeerFailure;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::peer::PeerServer;
use crate::peer::PeerTarget;
use crate::settings::ByteCount;

#[test]
fn nobody_listening_means_not_sent() {
    let (server, client, _control) = start_plain(settings());
    let address = server.address();
    drop(server);
    let error = call(&client, &target(address), hand_back(1)).unwrap_err();
    assert!(matches!(error, PeerError::NotSent(PeerFailure::Connect(_))));
}

#[test]
fn a_call_without_a_reply_in_time_may_have_arrived() {
    let mut peers = settings();
    peers.call_timeout_ms = SHORT;
    let (server, client, _control) = start_plain(peers);
    let target = target(server.address());
    let lost = call(&client, &target, seal());
    assert_eq!(lost, Err(PeerError::Lost(PeerFailure::TimedOut)));
    let mut reply = call(&client, &target, hand_back(1));
    while reply == Err(PeerError::Lost(PeerFailure::TimedOut)) {
        reply = call(&client, &target, hand_back(1));
    }
    assert_eq!(reply, Ok(given(1)));
}

#[test]
fn a_silent_connection_is_given_up_and_replaced() {
    let mut peers = settings();
    peers.probe_interval_ms = SHORT;
    peers.probe_timeout_ms = SHORT;
    let (server, control) = start_server(&server_settings(settings()));
    let client = PeerClient::start(&client_settings(peers)).unwrap();
    let relay = TestRelay::start(server.address());
    let target = target(relay.address());
    let slow = call_aside(&client, &target, seal());
    control.wait_for_seal();
    relay.silence();
    let lost = PeerError::Lost(PeerFailure::Silent);
    assert_eq!(slow.join().unwrap(), Err(lost));
    assert_eq!(call(&client, &target, hand_back(5)), Ok(given(5)));
    assert_eq!(relay.accepted(), 2);
}

#[test]
fn an_idle_connection_that_went_silent_costs_no_call() {
    let mut peers = settings();
    peers.idle_probe_ms = SHORT;
    peers.probe_timeout_ms = SHORT;
    let (server, _control) = start_server(&server_settings(settings()));
    let client = PeerClient::start(&client_settings(peers)).unwrap();
    let relay = TestRelay::start(server.address());
    let target = target(relay.address());
    assert_eq!(call(&client, &target, hand_back(1)), Ok(given(1)));
    relay.silence();
    relay.wait_until_closed();
    assert_eq!(call(&client, &target, hand_back(2)), Ok(given(2)));
    assert_eq!(relay.accepted(), 2);
}

#[test]
fn a_connection_that_was_closed_behind_its_back_is_replaced() {
    let (server, client, control) = start_plain(settings());
    let relay = TestRelay::start(server.address());
    let target = target(relay.address());
    let slow = call_aside(&client, &target, seal());
    control.wait_for_seal();
    relay.cut();
    let lost = PeerError::Lost(PeerFailure::Closed);
    assert_eq!(slow.join().unwrap(), Err(lost));
    assert_eq!(call(&client, &target, hand_back(5)), Ok(given(5)));
}

#[test]
fn a_server_that_accepts_and_says_nothing_means_not_sent() {
    let mut peers = settings();
    peers.connect_timeout_ms = SHORT;
    let client = PeerClient::start(&client_settings(peers)).unwrap();
    let mute = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let target = target(mute.local_addr().unwrap());
    let error = call(&client, &target, hand_back(1)).unwrap_err();
    assert!(matches!(error, PeerError::NotSent(PeerFailure::Connect(_))));
}

#[test]
fn a_silent_client_makes_room_for_others() {
    let mut peers = settings();
    peers.connect_timeout_ms = SHORT;
    peers.max_connections = 1;
    let (server, _control) = start_server(&server_settings(peers));
    let mute = std::net::TcpStream::connect(server.address()).unwrap();
    let client = PeerClient::start(&client_settings(settings())).unwrap();
    let target = target(server.address());
    let mut reply = call(&client, &target, hand_back(1));
    while reply.is_err() {
        reply = call(&client, &target, hand_back(1));
    }
    assert_eq!(reply, Ok(given(1)));
    drop(mute);
}

/// Guards against routers that stay in memory, with their threads, for as long
/// as the process that started them: what a peer had asked kept the handler.
#[test]
fn a_server_that_stopped_keeps_nothing_of_its_handler() {
    let (handler, control) = test_handler();
    let held = Arc::new(());
    let own = Arc::clone(&held);
    let server = PeerServer::start(&server_settings(settings()), move |call| {
        let own = Arc::clone(&own);
        let handler = handler.clone();
        async move {
            let reply = handler.answer(call).await;
            drop(own);
            reply
        }
    });
    let server = server.unwrap();
    let client = PeerClient::start(&client_settings(settings())).unwrap();
    let target = target(server.address());
    assert_eq!(call(&client, &target, hand_back(1)), Ok(given(1)));
    let slow = call_aside(&client, &target, seal());
    control.wait_for_seal();
    drop(server);
    assert!(slow.join().unwrap().is_err(), "lost with the server");
    assert_eq!(Arc::strong_count(&held), 1);
}

/// Guards against memory that each connection of a peer leaves behind.
#[test]
fn a_peer_that_went_leaves_nothing_of_its_connection() {
    let (handler, _control) = test_handler();
    let held = Arc::new(());
    let own = Arc::clone(&held);
    let server = PeerServer::start(&server_settings(settings()), move |call| {
        let _own = Arc::clone(&own);
        handler.clone().answer(call)
    });
    let server = server.unwrap();
    let target = target(server.address());
    for number in 0..5 {
        let client = PeerClient::start(&client_settings(settings())).unwrap();
        assert_eq!(call(&client, &target, hand_back(number)), Ok(given(number)));
    }
    drop(server);
    assert_eq!(Arc::strong_count(&held), 1);
}

fn record(entries: u64) -> PeerRequest {
    let entries = (0..entries).map(|number| LedgerEntry::Seal {
        identity: identity(number),
    });
    PeerRequest::Witness(WitnessMessage::Record(WitnessRecord {
        stamp: stamp(),
        sequence: 1,
        entries: entries.collect(),
    }))
}

#[test]
fn a_message_past_the_bound_is_not_sent() {
    let mut peers = settings();
    peers.max_message_bytes = ByteCount::new(1024 * 1024);
    let (server, client, _control) = start_plain(peers);
    let target = target(server.address());
    assert_eq!(
        call(&client, &target, record(1_000)),
        Ok(PeerReply::Accepted)
    );
    assert_eq!(
        call(&client, &target, record(50_000)),
        Err(PeerError::NotSent(PeerFailure::TooLarge))
    );
    assert_eq!(call(&client, &target, hand_back(5)), Ok(given(5)));
}

#[test]
fn a_server_ends_a_connection_that_sends_past_its_bound() {
    let mut peers = settings();
    peers.max_message_bytes = ByteCount::new(1024 * 1024);
    let (server, _control) = start_server(&server_settings(peers));
    let mut careless = settings();
    careless.max_message_bytes = ByteCount::new(64 * 1024 * 1024);
    let client = PeerClient::start(&client_settings(careless)).unwrap();
    let target = target(server.address());
    assert_eq!(
        call(&client, &target, record(50_000)),
        Err(PeerError::Lost(PeerFailure::Closed))
    );
    assert_eq!(call(&client, &target, hand_back(5)), Ok(given(5)));
}

#[test]
fn a_server_that_stops_loses_what_it_was_answering() {
    let (server, client, control) = start_plain(settings());
    let address = server.address();
    let slow = call_aside(&client, &target(address), seal());
    control.wait_for_seal();
    drop(server);
    let lost = PeerError::Lost(PeerFailure::Closed);
    assert_eq!(slow.join().unwrap(), Err(lost));
}

#[test]
fn an_idle_connection_is_closed_and_made_again() {
    let mut peers = settings();
    peers.idle_timeout_ms = SHORT;
    peers.call_timeout_ms = ClockSpan::from_millis(2_000);
    let (server, _control) = start_server(&server_settings(settings()));
    let client = PeerClient::start(&client_settings(peers)).unwrap();
    let relay = TestRelay::start(server.address());
    let target = target(relay.address());
    assert_eq!(call(&client, &target, hand_back(1)), Ok(given(1)));
    relay.wait_until_closed();
    assert_eq!(call(&client, &target, hand_back(2)), Ok(given(2)));
    assert_eq!(relay.accepted(), 2);
}

/// Calls by their outcome.
#[derive(Default)]
struct CallHistory {
    answered: Vec<u64>,
    not_sent: Vec<u64>,
    lost: Vec<u64>,
}

impl CallHistory {
    fn note(&mut self, number: u64, outcome: Result<PeerReply, PeerError>) {
        match outcome {
            Ok(reply) => {
                assert_eq!(reply, given(number));
                self.answered.push(number);
            }
            Err(PeerError::NotSent(_)) => self.not_sent.push(number),
            Err(PeerError::Lost(_)) => self.lost.push(number),
        }
    }
}

/// Calls in `rounds` of a connection each, which is cut with calls under way.
async fn call_through_cuts(
    client: &PeerClient,
    relay: &TestRelay,
    control: &SealControl,
    rounds: u64,
) -> CallHistory {
    let target = target(relay.address());
    let mut history = CallHistory::default();
    let mut numbers = 0..;
    for _ in 0..rounds {
        connect_again(client, &target, &mut numbers, &mut history).await;
        let round: Vec<u64> = numbers.by_ref().take(200).collect();
        let calls = round
            .iter()
            .map(|number| client.call(&target, hand_back(*number)));
        let calls = futures::future::join_all(calls);
        let (cutter, seen) = (relay.clone(), control.clone());
        let cut = smol::unblock(move || {
            seen.wait_for_seal();
            cutter.cut();
        });
        let open = client.call(&target, seal());
        let ((outcomes, open), ()) = future::zip(future::zip(calls, open), cut).await;
        assert_eq!(open, Err(PeerError::Lost(PeerFailure::Closed)));
        for (number, outcome) in round.into_iter().zip(outcomes) {
            history.note(number, outcome);
        }
    }
    history
}

/// Calls until one is answered, so that there is a connection to cut.
async fn connect_again(
    client: &PeerClient,
    target: &PeerTarget,
    numbers: &mut RangeFrom<u64>,
    history: &mut CallHistory,
) {
    for number in numbers {
        let outcome = client.call(target, hand_back(number)).await;
        let answered = outcome.is_ok();
        history.note(number, outcome);
        if answered {
            return;
        }
    }
}

#[test]
fn through_cuts_no_call_is_sent_twice_and_not_sent_is_true() {
    let mut peers = settings();
    peers.max_connections = 4;
    let (server, control) = start_server(&server_settings(peers));
    let client = PeerClient::start(&client_settings(settings())).unwrap();
    let relay = TestRelay::start(server.address());
    let history = smol::block_on(call_through_cuts(&client, &relay, &control, 25));
    drop((client, server));
    let seen = control.seen();
    let twice = seen.windows(2).find(|pair| pair[0] == pair[1]);
    assert_eq!(twice, None);
    let is_seen = |number: &u64| seen.binary_search(number).is_ok();
    assert!(history.answered.iter().all(is_seen));
    assert!(!history.not_sent.iter().any(is_seen));
}
