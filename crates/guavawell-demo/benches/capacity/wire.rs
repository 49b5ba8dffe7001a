//! Bytes of calls between two routers, counted on their way.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use guavawell_core::budget::HolderSettings;
use guavawell_core::budget::ReserveAnswer;
use guavawell_core::budget::ReserveGrant;
use guavawell_core::budget::SettleAnswer;
use guavawell_core::budget::SettleRequest;
use guavawell_core::budget::TokenPool;
use guavawell_core::budget::WitnessAck;
use guavawell_core::budget::WitnessMessage;
use guavawell_core::budget::WitnessRecord;
use guavawell_core::id::IncarnationId;
use guavawell_fleet::event::EventLog;
use guavawell_fleet::peer::PeerCall;
use guavawell_fleet::peer::PeerClient;
use guavawell_fleet::peer::PeerClientSettings;
use guavawell_fleet::peer::PeerReply;
use guavawell_fleet::peer::PeerRequest;
use guavawell_fleet::peer::PeerServer;
use guavawell_fleet::peer::PeerServerSettings;
use guavawell_fleet::peer::PeerTarget;
use guavawell_fleet::peer::SlotAsk;
use guavawell_fleet::settings::PeerSettings;

use crate::platform::FIRST_TENURE;
use crate::rig::ACTUAL;
use crate::rig::SlotRig;
use crate::rig::WORST;
use crate::rig::life;
use crate::rig::reserve_ask;
use crate::rig::slot;

/// Calls of each kind.
const CALLS: u64 = 200;

/// Bytes both ways so far.
#[derive(Debug, Default)]
struct WireCount {
    there: AtomicU64,
    back: AtomicU64,
}

pub fn run() {
    let address = free_address();
    let _server = start_server(address);
    let count = Arc::new(WireCount::default());
    let relay = start_relay(address, Arc::clone(&count));
    let client = PeerClient::start(&PeerClientSettings {
        peers: peers(free_address()),
        life: life(0),
        tls: None,
        log: log(),
    })
    .expect("a client starts");
    let target = PeerTarget {
        instance: life(1).instance,
        address: relay,
        incarnation: None,
    };
    println!("call  bytes there  bytes back");
    let measure = |name: &str, request: &dyn Fn(u64) -> PeerRequest| {
        call(&client, &target, request(0));
        let (there, back) = (get(&count.there), get(&count.back));
        for number in 1..=CALLS {
            call(&client, &target, request(number));
        }
        let there = (get(&count.there) - there) as f64 / CALLS as f64;
        let back = (get(&count.back) - back) as f64 / CALLS as f64;
        println!("{name}  {there:>6.0}  {back:>6.0}");
    };
    measure("reserve", &|number| {
        PeerRequest::Reserve(SlotAsk::new(slot(), reserve_ask(number, 0)))
    });
    measure("settle", &|number| {
        PeerRequest::Settle(SlotAsk::new(slot(), settle_ask(number)))
    });
    let records = sample_records();
    measure("witness, record of a reserve", &|_| witness(&records[0]));
    measure("witness, record of a settle", &|_| witness(&records[1]));
    let many = WitnessRecord {
        entries: records
            .iter()
            .flat_map(|record| record.entries.clone())
            .collect(),
        ..records[0].clone()
    };
    let name = format!("witness, record of {} entries", many.entries.len());
    measure(&name, &|_| witness(&many));
}

fn get(count: &AtomicU64) -> u64 {
    count.load(Ordering::SeqCst)
}

fn witness(record: &WitnessRecord) -> PeerRequest {
    PeerRequest::Witness(WitnessMessage::Record(record.clone()))
}

/// The batches of some requests, a reserve and a settle in turns.
fn sample_records() -> Vec<WitnessRecord> {
    let mut rig = SlotRig::new(1, HolderSettings::default());
    rig.open_all();
    rig.add_witness();
    rig.kept = Some(Vec::new());
    for number in 0..8 {
        rig.request(1_000 + number, 0);
    }
    let kept = rig.kept.take().unwrap_or_default();
    let kept = kept.into_iter().filter(|record| record.entries.len() == 1);
    kept.collect()
}

fn settle_ask(number: u64) -> SettleRequest {
    let reserve = reserve_ask(number, 0);
    SettleRequest {
        identity: reserve.identity,
        attempt: reserve.attempt,
        grant: grant(),
        actual: ACTUAL,
        backend: Some("engine-0-1".parse().expect("a good id")),
    }
}

fn grant() -> ReserveGrant {
    ReserveGrant {
        holder: life(1),
        tenure: FIRST_TENURE,
        pool: TokenPool::Witnessed,
        amount: WORST,
    }
}

fn call(client: &PeerClient, target: &PeerTarget, request: PeerRequest) {
    smol::block_on(client.call(target, request)).expect("an answer");
}

fn start_server(address: SocketAddr) -> PeerServer {
    let settings = PeerServerSettings {
        peers: peers(address),
        life: life(1),
        tls: None,
        log: log(),
    };
    PeerServer::start(&settings, answer).expect("a server starts")
}

async fn answer(call: PeerCall) -> PeerReply {
    match call.request {
        PeerRequest::Reserve(_) => PeerReply::Reserve(ReserveAnswer::Granted(grant())),
        PeerRequest::Settle(_) => PeerReply::Settle(SettleAnswer::Settled { charged: ACTUAL }),
        PeerRequest::Witness(WitnessMessage::Record(record)) => PeerReply::Ack(WitnessAck {
            stamp: record.stamp,
            sequence: record.sequence,
        }),
        _ => PeerReply::Accepted,
    }
}

fn log() -> EventLog {
    EventLog::off(life(0).instance, IncarnationId::new(1))
}

fn peers(listen: SocketAddr) -> PeerSettings {
    PeerSettings {
        listen,
        plain_loopback: true,
        ..PeerSettings::default()
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

/// Passes one connection on and counts its bytes.
fn start_relay(to: SocketAddr, count: Arc<WireCount>) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for caller in listener.incoming().flatten() {
            let server = TcpStream::connect(to).expect("the server listens");
            pass(&caller, &server, &count, |count| &count.there);
            pass(&server, &caller, &count, |count| &count.back);
        }
    });
    address
}

fn pass(
    from: &TcpStream,
    to: &TcpStream,
    count: &Arc<WireCount>,
    side: fn(&WireCount) -> &AtomicU64,
) {
    let mut from = from.try_clone().expect("a handle");
    let mut to = to.try_clone().expect("a handle");
    let count = Arc::clone(count);
    thread::spawn(move || {
        let _ = copy(&mut from, &mut to, side(&count));
        let _ = to.shutdown(Shutdown::Both);
    });
}

fn copy(from: &mut TcpStream, to: &mut TcpStream, count: &AtomicU64) -> io::Result<()> {
    let mut buffer = [0; 8_192];
    loop {
        let read = from.read(&mut buffer)?;
        if read == 0 {
            return Ok(());
        }
        count.fetch_add(read as u64, Ordering::SeqCst);
        to.write_all(&buffer[..read])?;
    }
}
