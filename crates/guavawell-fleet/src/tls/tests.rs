use std::fs;
use std::io;
use std::io::ErrorKind;
use std::net::Ipv4Addr;
use std::path::Path;
use std::thread;

use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;
use rcgen::date_time_ymd;
use smol::future;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use smol::net::TcpStream;
use tempfile::TempDir;

use super::ClientTls;
use super::PortSecurity;
use super::ReloadState;
use super::ServerTls;
use super::TlsError;
use crate::settings::FilePath;
use crate::settings::TlsSettings;

/// A certificate authority of the tests, with a folder for what it issues.
pub struct TestAuthority {
    folder: TempDir,
    issuer: Issuer<'static, KeyPair>,
}

/// What a test certificate says.
pub struct TestCertificate<'a> {
    /// The DNS name.
    pub name: &'a str,
    /// Whether its validity ended long ago.
    pub expired: bool,
}

impl TestAuthority {
    pub fn new() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let certificate = params.self_signed(&key).unwrap();
        fs::write(folder.path().join("ca.pem"), certificate.pem()).unwrap();
        let issuer = Issuer::new(params, key);
        Self { folder, issuer }
    }

    /// Issues a certificate for `name`, replacing a former one.
    pub fn issue(&self, name: &str) -> TlsSettings {
        let certificate = TestCertificate {
            name,
            expired: false,
        };
        self.issue_as(name, &certificate)
    }

    /// Issues `certificate` into the files of `file`.
    pub fn issue_as(&self, file: &str, certificate: &TestCertificate<'_>) -> TlsSettings {
        let key = KeyPair::generate().unwrap();
        let names = vec![certificate.name.to_owned()];
        let mut params = CertificateParams::new(names).unwrap();
        if certificate.expired {
            params.not_before = date_time_ymd(2001, 1, 1);
            params.not_after = date_time_ymd(2002, 1, 1);
        }
        let signed = params.signed_by(&key, &self.issuer).unwrap();
        let settings = self.settings(file);
        fs::write(settings.cert.as_path(), signed.pem()).unwrap();
        fs::write(settings.key.as_path(), key.serialize_pem()).unwrap();
        settings
    }

    fn settings(&self, file: &str) -> TlsSettings {
        let path = |name: String| FilePath::new(self.folder.path().join(name));
        TlsSettings {
            cert: path(format!("{file}.pem")),
            key: path(format!("{file}.key")),
            ca: Some(path("ca.pem".to_owned())),
        }
    }
}

/// Both sides' outcomes of a handshake and an echo of four bytes.
struct EchoOutcome {
    server: io::Result<()>,
    client: io::Result<()>,
}

impl EchoOutcome {
    fn is_ok(&self) -> bool {
        self.server.is_ok() && self.client.is_ok()
    }
}

async fn echo(server: &ServerTls, client: &ClientTls, name: &str) -> EchoOutcome {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let serve = async {
        let (stream, _) = listener.accept().await?;
        let mut stream = server.accept(stream).await?;
        let mut bytes = [0; 4];
        stream.read_exact(&mut bytes).await?;
        stream.write_all(&bytes).await?;
        stream.flush().await
    };
    let call = async {
        let stream = TcpStream::connect(address).await?;
        let mut stream = client.connect(name, stream).await?;
        stream.write_all(b"ping").await?;
        stream.flush().await?;
        let mut bytes = [0; 4];
        stream.read_exact(&mut bytes).await?;
        assert_eq!(&bytes, b"ping");
        Ok(())
    };
    let (server, client) = future::zip(serve, call).await;
    EchoOutcome { server, client }
}

fn sides(server: &TlsSettings, client: &TlsSettings) -> (ServerTls, ClientTls) {
    let server = ServerTls::load(server).unwrap();
    let client = ClientTls::load(client).unwrap();
    (server, client)
}

#[test]
fn both_sides_of_one_authority_talk() {
    let authority = TestAuthority::new();
    let (server, client) = sides(&authority.issue("b-1"), &authority.issue("a-1"));
    assert!(smol::block_on(echo(&server, &client, "b-1")).is_ok());
}

#[test]
fn a_client_of_another_authority_is_refused() {
    let authority = TestAuthority::new();
    let other = TestAuthority::new();
    let mut settings = other.issue("a-1");
    settings.ca = authority.issue("unused").ca;
    let (server, client) = sides(&authority.issue("b-1"), &settings);
    let outcome = smol::block_on(echo(&server, &client, "b-1"));
    assert_eq!(outcome.server.unwrap_err().kind(), ErrorKind::InvalidData);
    assert!(outcome.client.is_err());
}

#[test]
fn a_server_of_another_authority_is_refused() {
    let authority = TestAuthority::new();
    let other = TestAuthority::new();
    let (server, client) = sides(&other.issue("b-1"), &authority.issue("a-1"));
    let outcome = smol::block_on(echo(&server, &client, "b-1"));
    assert_eq!(outcome.client.unwrap_err().kind(), ErrorKind::InvalidData);
    assert!(outcome.server.is_err());
}

#[test]
fn a_server_of_another_name_is_refused() {
    let authority = TestAuthority::new();
    let (server, client) = sides(&authority.issue("c-1"), &authority.issue("a-1"));
    let outcome = smol::block_on(echo(&server, &client, "b-1"));
    assert_eq!(outcome.client.unwrap_err().kind(), ErrorKind::InvalidData);
}

#[test]
fn an_expired_certificate_is_refused_on_either_side() {
    let authority = TestAuthority::new();
    let expired = |name| TestCertificate {
        name,
        expired: true,
    };
    let old_server = authority.issue_as("old-b", &expired("b-1"));
    let (server, client) = sides(&old_server, &authority.issue("a-1"));
    assert!(
        smol::block_on(echo(&server, &client, "b-1"))
            .client
            .is_err()
    );
    let old_client = authority.issue_as("old-a", &expired("a-1"));
    let (server, client) = sides(&authority.issue("b-1"), &old_client);
    assert!(
        smol::block_on(echo(&server, &client, "b-1"))
            .server
            .is_err()
    );
}

#[test]
fn new_files_are_taken_into_use_and_wrong_ones_are_not() {
    let authority = TestAuthority::new();
    let expired = TestCertificate {
        name: "b-1",
        expired: true,
    };
    let settings = authority.issue_as("b-1", &expired);
    let (server, client) = sides(&settings, &authority.issue("a-1"));
    assert_eq!(server.reload().unwrap(), ReloadState::Unchanged);
    assert!(!smol::block_on(echo(&server, &client, "b-1")).is_ok());
    authority.issue("b-1");
    assert_eq!(server.reload().unwrap(), ReloadState::Reloaded);
    assert!(smol::block_on(echo(&server, &client, "b-1")).is_ok());
    fs::write(settings.key.as_path(), "nonsense").unwrap();
    assert!(matches!(server.reload(), Err(TlsError::NoKey { .. })));
    assert!(smol::block_on(echo(&server, &client, "b-1")).is_ok());
}

#[test]
fn handshakes_notice_new_files_by_themselves() {
    let authority = TestAuthority::new();
    let expired = TestCertificate {
        name: "b-1",
        expired: true,
    };
    let settings = authority.issue_as("b-1", &expired);
    let (server, client) = sides(&settings, &authority.issue("a-1"));
    assert!(!smol::block_on(echo(&server, &client, "b-1")).is_ok());
    authority.issue("b-1");
    while !smol::block_on(echo(&server, &client, "b-1")).is_ok() {
        thread::yield_now();
    }
}

#[test]
fn a_key_of_another_certificate_is_named() {
    let authority = TestAuthority::new();
    let mut settings = authority.issue("b-1");
    settings.key = authority.issue("a-1").key;
    let error = ServerTls::load(&settings).unwrap_err();
    assert!(matches!(error, TlsError::Unusable { .. }), "{error}");
}

#[test]
fn a_missing_file_is_named() {
    let authority = TestAuthority::new();
    let mut settings = authority.issue("b-1");
    settings.cert = FilePath::new(Path::new("/nowhere/b-1.pem"));
    let error = ServerTls::load(&settings).unwrap_err();
    assert!(error.to_string().contains("/nowhere/b-1.pem"), "{error}");
}

#[test]
fn plain_is_refused_unless_the_settings_name_it() {
    let refused = PortSecurity::new(false, None);
    assert!(matches!(refused, Err(TlsError::NotNamed)));
    let plain = PortSecurity::new(true, None);
    assert!(matches!(plain, Ok(PortSecurity::Plain)));
}
