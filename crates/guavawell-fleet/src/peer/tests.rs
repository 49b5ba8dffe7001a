use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use guavawell_core::budget::HandBackAnswer;
use guavawell_core::budget::HandBackRequest;
use guavawell_core::budget::HandoverAck;
use guavawell_core::budget::IncarnationAnswer;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::LedgerEntry;
use guavawell_core::budget::LedgerHandover;
use guavawell_core::budget::RecordStamp;
use guavawell_core::budget::SealAnswer;
use guavawell_core::budget::SealRequest;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::SlotLedger;
use guavawell_core::budget::WitnessMessage;
use guavawell_core::clock::ClockSpan;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::ShardId;
use guavawell_core::id::SlotEpoch;
use guavawell_core::id::TokenCount;
use guavawell_core::request::RequestIdentity;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future;

use super::PeerCall;
use super::PeerClient;
use super::PeerClientSettings;
use super::PeerError;
use super::PeerFailure;
use super::PeerRefusal;
use super::PeerReply;
use super::PeerRequest;
use super::PeerServer;
use super::PeerServerSettings;
use super::PeerTarget;
use super::SlotAsk;
use crate::event::EventLog;
use crate::settings::PeerSettings;

mod fault;
mod relay;
mod trust;

/// A span that no passing test waits for.
const LONG: ClockSpan = ClockSpan::from_millis(30_000);
/// A span that tests wait for.
const SHORT: ClockSpan = ClockSpan::from_millis(300);

fn life(instance: &str) -> InstanceIncarnation {
    InstanceIncarnation {
        instance: instance.parse().unwrap(),
        incarnation: IncarnationId::new(7),
    }
}

fn settings() -> PeerSettings {
    PeerSettings {
        listen: SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0),
        plain_loopback: true,
        connect_timeout_ms: LONG,
        call_timeout_ms: LONG,
        probe_interval_ms: LONG,
        idle_probe_ms: LONG,
        probe_timeout_ms: LONG,
        ..PeerSettings::default()
    }
}

fn server_settings(peers: PeerSettings) -> PeerServerSettings {
    PeerServerSettings {
        peers,
        life: life("b-1"),
        tls: None,
        log: EventLog::off("b-1".parse().unwrap(), IncarnationId::new(7)),
    }
}

fn client_settings(peers: PeerSettings) -> PeerClientSettings {
    PeerClientSettings {
        peers,
        life: life("a-1"),
        tls: None,
        log: EventLog::off("a-1".parse().unwrap(), IncarnationId::new(7)),
    }
}

fn target(address: SocketAddr) -> PeerTarget {
    PeerTarget {
        instance: "b-1".parse().unwrap(),
        address,
        incarnation: None,
    }
}

fn hand_back(number: u64) -> PeerRequest {
    PeerRequest::HandBack(HandBackRequest {
        slot: slot(),
        budget: "b-1".parse().unwrap(),
        wanted: TokenCount::new(number),
    })
}

fn given(number: u64) -> PeerReply {
    PeerReply::HandBack(HandBackAnswer::Given {
        tokens: TokenCount::new(number),
    })
}

fn seal() -> PeerRequest {
    let slot = SlotId {
        zone: "tln-a".parse().unwrap(),
        shard: ShardId::new(3),
    };
    let identity = identity(0);
    PeerRequest::Seal(SlotAsk::new(slot, SealRequest { identity }))
}

fn identity(number: u64) -> RequestIdentity {
    RequestIdentity {
        organisation: "kivisild".parse().unwrap(),
        request: format!("r-{number}").parse().unwrap(),
        minted: false,
    }
}

fn slot() -> SlotId {
    SlotId {
        zone: "tln-a".parse().unwrap(),
        shard: ShardId::new(1),
    }
}

fn stamp() -> RecordStamp {
    RecordStamp {
        slot: slot(),
        epoch: SlotEpoch::new(1),
        holder: life("a-1"),
        witness: life("b-1"),
    }
}

/// A handler's part in a test: seals wait until the test lets them go.
#[derive(Clone)]
struct TestHandler {
    arrived: Sender<()>,
    go: Receiver<()>,
    seen: SeenNumbers,
}

/// The numbers of the hand-backs that reached the handler, in any order.
type SeenNumbers = Arc<Mutex<Vec<u64>>>;

/// The test's side of a [`TestHandler`].
#[derive(Clone)]
struct SealControl {
    arrived: Receiver<()>,
    go: Sender<()>,
    seen: SeenNumbers,
}

impl SealControl {
    fn wait_for_seal(&self) {
        smol::block_on(self.arrived.recv()).unwrap();
    }

    /// The numbers that reached the handler, sorted.
    fn seen(&self) -> Vec<u64> {
        let mut seen = self.seen.lock().unwrap().clone();
        seen.sort_unstable();
        seen
    }

    fn let_go(&self) {
        self.go.close();
    }
}

fn test_handler() -> (TestHandler, SealControl) {
    let (arrived, see) = channel::unbounded();
    let (go, wait) = channel::bounded(1);
    let seen = SeenNumbers::default();
    let handler = TestHandler {
        arrived,
        go: wait,
        seen: Arc::clone(&seen),
    };
    let control = SealControl {
        arrived: see,
        go,
        seen,
    };
    (handler, control)
}

impl TestHandler {
    async fn answer(self, call: PeerCall) -> PeerReply {
        match call.request {
            PeerRequest::HandBack(ask) => {
                self.seen.lock().unwrap().push(ask.wanted.get());
                if ask.wanted.get() % 3 == 0 {
                    future::yield_now().await;
                }
                given(ask.wanted.get())
            }
            PeerRequest::Seal(_) => {
                self.arrived.send(()).await.unwrap();
                // The channel is closed to let all seals go.
                let _ = self.go.recv().await;
                PeerReply::Seal(SealAnswer::Sealed)
            }
            PeerRequest::Life => PeerReply::Life(IncarnationAnswer {
                incarnation: call.from.incarnation,
            }),
            PeerRequest::Witness(WitnessMessage::Handover(handover)) => {
                let sum = u64::try_from(handover.ledger.requests.len()).unwrap();
                PeerReply::HandoverAck(HandoverAck {
                    stamp: handover.stamp,
                    handover: sum,
                })
            }
            _ => PeerReply::Accepted,
        }
    }
}

fn start_server(settings: &PeerServerSettings) -> (PeerServer, SealControl) {
    let (handler, control) = test_handler();
    let server = PeerServer::start(settings, move |call| handler.clone().answer(call));
    (server.unwrap(), control)
}

fn start_plain(peers: PeerSettings) -> (PeerServer, PeerClient, SealControl) {
    let (server, control) = start_server(&server_settings(peers.clone()));
    let client = PeerClient::start(&client_settings(peers)).unwrap();
    (server, client, control)
}

fn call(
    client: &PeerClient,
    target: &PeerTarget,
    request: PeerRequest,
) -> Result<PeerReply, PeerError> {
    smol::block_on(client.call(target, request))
}

/// A call that goes on while the test does something else.
fn call_aside(
    client: &PeerClient,
    target: &PeerTarget,
    request: PeerRequest,
) -> thread::JoinHandle<Result<PeerReply, PeerError>> {
    let (client, target) = (client.clone(), target.clone());
    thread::spawn(move || call(&client, &target, request))
}

#[test]
fn the_handler_learns_who_calls() {
    let (server, client, _control) = start_plain(settings());
    let reply = call(&client, &target(server.address()), PeerRequest::Life);
    let incarnation = IncarnationId::new(7);
    assert_eq!(
        reply,
        Ok(PeerReply::Life(IncarnationAnswer { incarnation }))
    );
}

#[test]
fn each_of_many_calls_gets_its_own_reply() {
    let (server, client, _control) = start_plain(settings());
    let target = target(server.address());
    let calls = AtomicU64::new(0);
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                smol::block_on(async {
                    let numbers: Vec<u64> = (0..2_000)
                        .map(|_| calls.fetch_add(1, Ordering::Relaxed))
                        .collect();
                    let all = numbers
                        .iter()
                        .map(|number| client.call(&target, hand_back(*number)));
                    let replies = futures::future::join_all(all).await;
                    for (number, reply) in numbers.into_iter().zip(replies) {
                        assert_eq!(reply, Ok(given(number)));
                    }
                });
            });
        }
    });
}

#[test]
fn a_slow_call_holds_up_no_other() {
    let (server, client, control) = start_plain(settings());
    let target = target(server.address());
    let slow = call_aside(&client, &target, seal());
    control.wait_for_seal();
    for number in 0..10 {
        assert_eq!(call(&client, &target, hand_back(number)), Ok(given(number)));
    }
    control.let_go();
    let sealed = PeerReply::Seal(SealAnswer::Sealed);
    assert_eq!(slow.join().unwrap(), Ok(sealed));
}

#[test]
fn a_large_ledger_is_handed_over_in_pieces() {
    const REQUESTS: u64 = 20_000;
    let (server, client, _control) = start_plain(settings());
    let mut ledger = SlotLedger::new(SlotEpoch::new(1));
    for number in 0..REQUESTS {
        let identity = identity(number);
        ledger.apply(&LedgerEntry::Seal { identity });
    }
    let request = PeerRequest::handover(LedgerHandover {
        stamp: stamp(),
        handover: 4,
        ledger,
    });
    let reply = call(&client, &target(server.address()), request);
    let ack = HandoverAck {
        stamp: stamp(),
        handover: REQUESTS,
    };
    assert_eq!(reply, Ok(PeerReply::HandoverAck(ack)));
}

#[test]
fn messages_carry_the_lamport_order_both_ways() {
    let (server_settings, client_settings) =
        (server_settings(settings()), client_settings(settings()));
    let (server, _control) = start_server(&server_settings);
    let client = PeerClient::start(&client_settings).unwrap();
    client_settings.log.lamport().merge(1_000);
    call(&client, &target(server.address()), hand_back(1)).unwrap();
    assert!(server_settings.log.lamport().now() > 1_000);
    server_settings.log.lamport().merge(2_000);
    call(&client, &target(server.address()), hand_back(1)).unwrap();
    assert!(client_settings.log.lamport().now() > 2_000);
}

#[test]
fn too_many_calls_are_refused_on_either_side() {
    let mut narrow = settings();
    narrow.max_calls = 1;
    let (server, control) = start_server(&server_settings(narrow.clone()));
    let target = target(server.address());
    let wide = PeerClient::start(&client_settings(settings())).unwrap();
    let slow = call_aside(&wide, &target, seal());
    control.wait_for_seal();
    assert_eq!(
        call(&wide, &target, hand_back(1)),
        Ok(PeerReply::Refused(PeerRefusal::Overloaded))
    );
    let client = PeerClient::start(&client_settings(narrow)).unwrap();
    let other = call_aside(&client, &target, seal());
    control.wait_for_seal();
    assert_eq!(
        call(&client, &target, hand_back(1)),
        Err(PeerError::NotSent(PeerFailure::Overloaded))
    );
    control.let_go();
    assert!(slow.join().unwrap().is_ok());
    assert!(other.join().unwrap().is_ok());
}
