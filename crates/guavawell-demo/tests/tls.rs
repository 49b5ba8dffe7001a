//! Routers that speak TLS on the callers', the operators' and the peers' port.

use std::fs;
use std::io;
use std::net::SocketAddr;

use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::id::IncarnationId;
use guavawell_demo::fleet::DemoFleet;
use guavawell_demo::fleet::FleetSettings;
use guavawell_demo::fleet::organisation_key;
use guavawell_fleet::event::EventLog;
use guavawell_fleet::peer::PeerClient;
use guavawell_fleet::peer::PeerClientSettings;
use guavawell_fleet::peer::PeerError;
use guavawell_fleet::peer::PeerRequest;
use guavawell_fleet::peer::PeerTarget;
use guavawell_fleet::settings::FilePath;
use guavawell_fleet::settings::PeerSettings;
use guavawell_fleet::settings::TlsSettings;
use guavawell_fleet::tls::ClientTls;
use http_types::Method;
use http_types::Request;
use http_types::StatusCode;
use http_types::Url;
use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use tempfile::TempDir;

/// The routers' ids, which their certificate names.
const ROUTERS: [&str; 2] = ["router-0-0", "router-0-1"];

/// An authority, and a certificate of it that names all routers.
struct TestCertificates {
    folder: TempDir,
}

impl TestCertificates {
    fn new() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let authority = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(Vec::new()).expect("no names");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let certificate = params.self_signed(&authority).expect("a certificate");
        let issuer = Issuer::new(params, authority);
        let key = KeyPair::generate().expect("a key");
        let names: Vec<String> = ROUTERS.iter().map(ToString::to_string).collect();
        let params = CertificateParams::new(names).expect("good names");
        let signed = params.signed_by(&key, &issuer).expect("a certificate");
        let write = |file: &str, text: String| {
            fs::write(folder.path().join(file), text).expect("a writable folder");
        };
        write("ca.pem", certificate.pem());
        write("router.pem", signed.pem());
        write("router.key", key.serialize_pem());
        Self { folder }
    }

    /// With the authority, which demands a certificate of the other side.
    fn mutual(&self) -> TlsSettings {
        let path = |file| FilePath::new(self.folder.path().join(file));
        TlsSettings {
            cert: path("router.pem"),
            key: path("router.key"),
            ca: Some(path("ca.pem")),
        }
    }

    fn settings(&self) -> FleetSettings {
        let mut settings = FleetSettings {
            zones: 1,
            routers: ROUTERS.len(),
            engines: 1,
            services: 0,
            ..FleetSettings::default()
        };
        let one_way = TlsSettings {
            ca: None,
            ..self.mutual()
        };
        settings.router.callers.tls = Some(one_way.clone());
        settings.router.operators.tls = Some(one_way);
        settings.router.peers.tls = Some(self.mutual());
        settings
    }
}

fn chat(address: SocketAddr) -> Request {
    let url = format!("https://{address}/v1/chat/completions");
    let mut request = Request::new(Method::Post, Url::parse(&url).expect("an address"));
    let key = organisation_key(0);
    request.insert_header("authorization", format!("Bearer {key}"));
    request.set_body(
        r#"{"model":"draft-7b","max_tokens":4,"messages":[{"role":"user","content":"hi"}]}"#,
    );
    request
}

fn status(address: SocketAddr) -> Request {
    let url = format!("https://{address}/status");
    Request::new(Method::Get, Url::parse(&url).expect("an address"))
}

async fn ask_by_tls(client: &ClientTls, address: SocketAddr, request: Request) -> StatusCode {
    let stream = TcpStream::connect(address).await.expect("it listens");
    let stream = client.connect(ROUTERS[0], stream).await;
    let stream = async_dup::Arc::new(async_dup::Mutex::new(stream.expect("a handshake")));
    let answer = async_h1::connect(stream, request).await;
    answer.expect("an answer").status()
}

/// What comes back on a plain connection: an alert of TLS or nothing, and
/// never an answer.
async fn ask_plainly(address: SocketAddr) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(address).await?;
    let head = b"GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(head).await?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await?;
    Ok(bytes)
}

async fn assert_no_plain_answer(address: SocketAddr) {
    // A connection that is reset gives an error, which is no answer either.
    let bytes = ask_plainly(address).await.unwrap_or_default();
    assert!(!bytes.starts_with(b"HTTP"), "{bytes:?}");
}

/// A peer without a certificate, asking for no more than a sign of life.
async fn ask_as_plain_peer(address: SocketAddr) -> Result<(), PeerError> {
    let life = InstanceIncarnation {
        instance: "stranger".parse().expect("a good id"),
        incarnation: IncarnationId::new(1),
    };
    let settings = PeerClientSettings {
        peers: PeerSettings {
            plain_loopback: true,
            ..PeerSettings::default()
        },
        log: EventLog::off(life.instance.clone(), life.incarnation),
        life,
        tls: None,
    };
    let client = PeerClient::start(&settings).expect("a thread");
    let target = PeerTarget {
        instance: ROUTERS[0].parse().expect("a good id"),
        address,
        incarnation: None,
    };
    client.call(&target, PeerRequest::Life).await.map(|_| ())
}

#[test]
fn each_port_serves_over_tls_and_nobody_plainly() {
    smol::block_on(async {
        let certificates = TestCertificates::new();
        // Ready means that holders and witnesses reached each other over TLS.
        let fleet = DemoFleet::start(certificates.settings()).await;
        let mut fleet = fleet.expect("the fleet starts");
        let client = ClientTls::load(&certificates.mutual()).expect("good files");
        let router = fleet.live().next().expect("a router runs");
        let callers = router.caller_address();
        let operators = router.operator_address();
        let peers = router.peer_address();
        let served = ask_by_tls(&client, callers, chat(callers)).await;
        assert_eq!(served, StatusCode::Ok);
        let shown = ask_by_tls(&client, operators, status(operators)).await;
        assert_eq!(shown, StatusCode::Ok);
        assert_no_plain_answer(callers).await;
        assert_no_plain_answer(operators).await;
        let refused = ask_as_plain_peer(peers).await;
        assert!(matches!(refused, Err(PeerError::NotSent(_))), "{refused:?}");
        fleet.stop();
    });
}
