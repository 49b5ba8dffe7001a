//! Measures calls between two routers: round trip, rate, processor time.
//!
//! `peer_cost` runs both sides in one process. For two processes, give both
//! the same folder, where the first makes the certificates:
//!
//! ```text
//! peer_cost serve FOLDER 127.0.0.1:18082 &
//! peer_cost call FOLDER 127.0.0.1:18082
//! ```

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::ReserveAnswer;
use guavawell_core::budget::ReserveGrant;
use guavawell_core::budget::ReserveRequest;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::TokenPool;
use guavawell_core::clock::ClockSpan;
use guavawell_core::id::AttemptId;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::ShardId;
use guavawell_core::id::SlotEpoch;
use guavawell_core::id::TokenCount;
use guavawell_core::request::RequestDigest;
use guavawell_core::request::RequestIdentity;
use guavawell_fleet::event::EventLog;
use guavawell_fleet::operator::MetricsPage;
use guavawell_fleet::peer::PeerCall;
use guavawell_fleet::peer::PeerClient;
use guavawell_fleet::peer::PeerClientSettings;
use guavawell_fleet::peer::PeerReply;
use guavawell_fleet::peer::PeerRequest;
use guavawell_fleet::peer::PeerServer;
use guavawell_fleet::peer::PeerServerSettings;
use guavawell_fleet::peer::PeerTarget;
use guavawell_fleet::peer::SlotAsk;
use guavawell_fleet::settings::FilePath;
use guavawell_fleet::settings::PeerSettings;
use guavawell_fleet::settings::TlsSettings;
use guavawell_fleet::tls::ClientTls;
use guavawell_fleet::tls::ServerTls;
use hdrhistogram::Histogram;
use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;
use smol::LocalExecutor;

const LONE_CALLS: u64 = 20_000;
const LOAD_SPAN: Duration = Duration::from_secs(4);
const LOAD_THREADS: u64 = 2;
/// A probe raises the Lamport clock when it is sent and when it is answered.
const ORDERS_A_PROBE: u64 = 2;
const IDLE_PROBE: ClockSpan = ClockSpan::from_millis(8);
const LOAD_WIDTHS: [u64; 3] = [16, 128, 512];
/// Processor time in /proc is counted in hundredths of a second.
const TICKS_A_SECOND: f64 = 100.0;

fn main() {
    // Counters cost what they cost in a router.
    let _ = MetricsPage::install();
    let words: Vec<String> = env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words[..] {
        ["serve", folder, address] => serve(Path::new(folder), address.parse().unwrap()),
        ["call", folder, address] => measure(Path::new(folder), address.parse().unwrap()),
        _ => both(),
    }
}

fn serve(folder: &Path, address: SocketAddr) {
    make_certificates(folder);
    let _servers = start_servers(folder, address);
    thread::park();
}

/// Measures with both sides in this process.
pub(crate) fn both() {
    let folder = tempfile::tempdir().unwrap();
    make_certificates(folder.path());
    let address: SocketAddr = "127.0.0.1:18082".parse().unwrap();
    let _servers = start_servers(folder.path(), address);
    measure(folder.path(), address);
}

/// The ports of the kinds of server, from the first on.
const KINDS: [&str; 3] = ["plain", "tls", "tls, replies late"];

fn start_servers(folder: &Path, first: SocketAddr) -> Vec<PeerServer> {
    let tls = Arc::new(ServerTls::load(&tls_settings(folder, "holder")).unwrap());
    let securities = [None, Some(Arc::clone(&tls)), Some(tls)];
    let kinds = securities.into_iter().zip(0..);
    let servers = kinds.map(|(tls, index)| {
        let settings = PeerServerSettings {
            peers: peer_settings(port(first, index)),
            life: life("holder"),
            tls,
            log: EventLog::off("holder".parse().unwrap(), IncarnationId::new(1)),
        };
        let late = KINDS[usize::from(index)].ends_with("late");
        PeerServer::start(&settings, move |call| answer(call, late)).unwrap()
    });
    servers.collect()
}

async fn answer(call: PeerCall, late: bool) -> PeerReply {
    if late {
        smol::future::yield_now().await;
    }
    let PeerRequest::Reserve(ask) = call.request else {
        return PeerReply::Accepted;
    };
    let grant = ReserveGrant {
        holder: life("holder"),
        tenure: SlotEpoch::new(3),
        pool: TokenPool::Witnessed,
        amount: ask.ask.amount,
    };
    PeerReply::Reserve(ReserveAnswer::Granted(grant))
}

fn measure(folder: &Path, first: SocketAddr) {
    let tls = Arc::new(ClientTls::load(&tls_settings(folder, "router")).unwrap());
    let securities = [None, Some(Arc::clone(&tls)), Some(tls)];
    for ((kind, tls), index) in KINDS.iter().zip(securities).zip(0..) {
        let address = port(first, index);
        let settings = PeerClientSettings {
            peers: peer_settings(address),
            life: life("router"),
            tls,
            log: EventLog::off("router".parse().unwrap(), IncarnationId::new(1)),
        };
        let client = PeerClient::start(&settings).unwrap();
        let target = PeerTarget {
            instance: "holder".parse().unwrap(),
            address,
            incarnation: None,
        };
        measure_lone(kind, &client, &target);
        measure_idle(kind, &settings);
        for width in LOAD_WIDTHS {
            measure_load(kind, &client, &target, width);
        }
    }
}

/// One call after another.
fn measure_lone(kind: &str, client: &PeerClient, target: &PeerTarget) {
    let mut spans = new_histogram();
    let before = processor_seconds();
    smol::block_on(async {
        for number in 0..LONE_CALLS {
            call(client, target, number, &mut spans).await;
        }
    });
    let spent = processor_seconds() - before;
    report(kind, "one at a time", &spans, spent, None);
}

/// A connection without calls, probed far more often than in use.
fn measure_idle(kind: &str, settings: &PeerClientSettings) {
    let mut settings = settings.clone();
    settings.peers.idle_probe_ms = IDLE_PROBE;
    let address = settings.peers.listen;
    let client = PeerClient::start(&settings).unwrap();
    let target = PeerTarget {
        instance: "holder".parse().unwrap(),
        address,
        incarnation: None,
    };
    let mut spans = new_histogram();
    smol::block_on(call(&client, &target, 0, &mut spans));
    let orders = settings.log.lamport().now();
    let (before, bytes_before) = (processor_seconds(), peer_bytes());
    thread::sleep(LOAD_SPAN);
    let spent = processor_seconds() - before;
    let bytes = peer_bytes() - bytes_before;
    let probes = (settings.log.lamport().now() - orders) / ORDERS_A_PROBE;
    let each = spent * 1e6 / f64::from(u32::try_from(probes).unwrap());
    let bytes = bytes / probes;
    println!(
        "{kind}, idle: {probes} probes, {bytes} bytes and processor {each:.1} µs a probe in this process"
    );
}

/// Bytes that this process sent to peers and received from them so far,
/// before TLS.
fn peer_bytes() -> u64 {
    let page = MetricsPage::install().render();
    let counted = page.lines().filter(|line| {
        line.starts_with("guavawell_peer_sent_bytes_total ")
            || line.starts_with("guavawell_peer_received_bytes_total ")
    });
    let counts = counted.filter_map(|line| line.rsplit(' ').next());
    counts.filter_map(|count| count.parse::<u64>().ok()).sum()
}

/// `width` callers on each of the threads, each one call after another.
fn measure_load(kind: &str, client: &PeerClient, target: &PeerTarget, width: u64) {
    let before = processor_seconds();
    let begin = Instant::now();
    let threads: Vec<_> = (0..LOAD_THREADS)
        .map(|_| {
            let (client, target) = (client.clone(), target.clone());
            thread::spawn(move || load_thread(&client, &target, width))
        })
        .collect();
    let mut spans = new_histogram();
    for thread in threads {
        spans.add(thread.join().unwrap()).unwrap();
    }
    let spent = processor_seconds() - before;
    let callers = format!("{} callers", width * LOAD_THREADS);
    report(kind, &callers, &spans, spent, Some(begin.elapsed()));
}

fn load_thread(client: &PeerClient, target: &PeerTarget, width: u64) -> Histogram<u64> {
    let executor = LocalExecutor::new();
    let callers: Vec<_> = (0..width)
        .map(|caller| executor.spawn(load_caller(client.clone(), target.clone(), caller)))
        .collect();
    smol::block_on(executor.run(async {
        let mut spans = new_histogram();
        for caller in callers {
            spans.add(caller.await).unwrap();
        }
        spans
    }))
}

async fn load_caller(client: PeerClient, target: PeerTarget, caller: u64) -> Histogram<u64> {
    let mut spans = new_histogram();
    let begin = Instant::now();
    let mut number = caller << 32;
    while begin.elapsed() < LOAD_SPAN {
        call(&client, &target, number, &mut spans).await;
        number += 1;
    }
    spans
}

async fn call(client: &PeerClient, target: &PeerTarget, number: u64, spans: &mut Histogram<u64>) {
    let begin = Instant::now();
    let reply = client.call(target, reserve(number)).await.unwrap();
    assert!(matches!(
        reply,
        PeerReply::Reserve(ReserveAnswer::Granted(_))
    ));
    let nanos = u64::try_from(begin.elapsed().as_nanos()).unwrap();
    spans.record(nanos).unwrap();
}

fn reserve(number: u64) -> PeerRequest {
    let request = format!("request-{number:016}");
    let slot = SlotId {
        zone: "tln".parse().unwrap(),
        shard: ShardId::new(3),
    };
    let ask = ReserveRequest {
        identity: RequestIdentity {
            organisation: "kivisild-desk".parse().unwrap(),
            request: request.parse().unwrap(),
            minted: false,
        },
        attempt: AttemptId::new(u128::from(number)),
        budget: "kivisild-2026-12".parse().unwrap(),
        amount: TokenCount::new(1_200),
        router: life("router"),
        idempotent: true,
        digest: RequestDigest::default(),
    };
    PeerRequest::Reserve(SlotAsk::new(slot, ask))
}

fn report(kind: &str, load: &str, spans: &Histogram<u64>, spent: f64, took: Option<Duration>) {
    let micros = |quantile| Duration::from_nanos(spans.value_at_quantile(quantile));
    let (median, high) = (micros(0.5), micros(0.99));
    let calls = f64::from(u32::try_from(spans.len()).unwrap());
    let rate = took.map_or(String::new(), |took| {
        format!(", {:.0} calls/s", calls / took.as_secs_f64())
    });
    let each = spent * 1e6 / calls;
    println!(
        "{kind}, {load}: median {median:.1?}, 99% {high:.1?}{rate}, processor {each:.1} µs a call in this process"
    );
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).unwrap()
}

/// User and system time of this process so far, in seconds.
fn processor_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace();
    let ticks: f64 = fields
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    ticks / TICKS_A_SECOND
}

fn life(instance: &str) -> InstanceIncarnation {
    InstanceIncarnation {
        instance: instance.parse().unwrap(),
        incarnation: IncarnationId::new(1),
    }
}

fn port(first: SocketAddr, index: u16) -> SocketAddr {
    SocketAddr::new(first.ip(), first.port() + index)
}

fn peer_settings(listen: SocketAddr) -> PeerSettings {
    PeerSettings {
        listen,
        plain_loopback: true,
        ..PeerSettings::default()
    }
}

fn tls_settings(folder: &Path, name: &str) -> TlsSettings {
    let path = |file: String| FilePath::new(folder.join(file));
    TlsSettings {
        cert: path(format!("{name}.pem")),
        key: path(format!("{name}.key")),
        ca: Some(path("ca.pem".to_owned())),
    }
}

fn make_certificates(folder: &Path) {
    let authority_key = KeyPair::generate().unwrap();
    let mut authority = CertificateParams::new(Vec::new()).unwrap();
    authority.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let certificate = authority.self_signed(&authority_key).unwrap();
    fs::write(folder.join("ca.pem"), certificate.pem()).unwrap();
    let issuer = Issuer::new(authority, authority_key);
    for name in ["holder", "router"] {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![name.to_owned()]).unwrap();
        let signed = params.signed_by(&key, &issuer).unwrap();
        let settings = tls_settings(folder, name);
        fs::write(settings.cert.as_path(), signed.pem()).unwrap();
        fs::write(settings.key.as_path(), key.serialize_pem()).unwrap();
    }
}
