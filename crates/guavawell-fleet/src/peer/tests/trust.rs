//! Who may talk to whom.

use std::io;
use std::sync::Arc;

use guavawell_core::id::IncarnationId;

use super::call;
use super::client_settings;
use super::given;
use super::hand_back;
use super::server_settings;
use super::settings;
use super::start_plain;
use super::start_server;
use super::target;
use super::test_handler;
use crate::peer::PeerClient;
use crate::peer::PeerError;
use crate::peer::PeerFailure;
use crate::peer::PeerServer;
use crate::settings::TlsSettings;
use crate::tls::ClientTls;
use crate::tls::ServerTls;
use crate::tls::tests::TestAuthority;
use crate::tls::tests::TestCertificate;

fn tls_pair(server: &TlsSettings, client: &TlsSettings) -> (PeerServer, PeerClient) {
    let mut server_settings = server_settings(settings());
    server_settings.tls = Some(Arc::new(ServerTls::load(server).unwrap()));
    let mut client_settings = client_settings(settings());
    client_settings.tls = Some(Arc::new(ClientTls::load(client).unwrap()));
    let (server, _) = start_server(&server_settings);
    (server, PeerClient::start(&client_settings).unwrap())
}

fn assert_refused(server: &PeerServer, client: &PeerClient) {
    let error = call(client, &target(server.address()), hand_back(1)).unwrap_err();
    let refused = matches!(error, PeerError::NotSent(PeerFailure::Connect(_)));
    assert!(refused, "{error}");
}

#[test]
fn peers_of_one_authority_talk() {
    let authority = TestAuthority::new();
    let (server, client) = tls_pair(&authority.issue("b-1"), &authority.issue("a-1"));
    let reply = call(&client, &target(server.address()), hand_back(5));
    assert_eq!(reply, Ok(given(5)));
}

#[test]
fn a_peer_of_another_authority_is_refused() {
    let (authority, other) = (TestAuthority::new(), TestAuthority::new());
    let mut stranger = other.issue("a-1");
    stranger.ca = authority.issue("unused").ca;
    let (server, client) = tls_pair(&authority.issue("b-1"), &stranger);
    assert_refused(&server, &client);
    let (server, client) = tls_pair(&other.issue("b-1"), &authority.issue("a-1"));
    assert_refused(&server, &client);
}

#[test]
fn a_peer_that_calls_itself_by_another_name_is_refused() {
    let authority = TestAuthority::new();
    let (server, client) = tls_pair(&authority.issue("b-1"), &authority.issue("c-1"));
    assert_refused(&server, &client);
}

#[test]
fn a_server_of_another_name_is_refused() {
    let authority = TestAuthority::new();
    let (server, client) = tls_pair(&authority.issue("c-1"), &authority.issue("a-1"));
    assert_refused(&server, &client);
}

#[test]
fn an_expired_peer_is_refused_until_its_certificate_is_replaced() {
    let authority = TestAuthority::new();
    let expired = TestCertificate {
        name: "b-1",
        expired: true,
    };
    let files = authority.issue_as("b-1", &expired);
    let tls = Arc::new(ServerTls::load(&files).unwrap());
    let mut with_tls = server_settings(settings());
    with_tls.tls = Some(Arc::clone(&tls));
    let (server, _control) = start_server(&with_tls);
    let mut client = client_settings(settings());
    client.tls = Some(Arc::new(ClientTls::load(&authority.issue("a-1")).unwrap()));
    let client = PeerClient::start(&client).unwrap();
    assert_refused(&server, &client);
    authority.issue("b-1");
    tls.reload().unwrap();
    let reply = call(&client, &target(server.address()), hand_back(5));
    assert_eq!(reply, Ok(given(5)));
}

#[test]
fn plain_is_refused_unless_the_settings_name_it() {
    let mut unnamed = settings();
    unnamed.plain_loopback = false;
    let (handler, _control) = test_handler();
    let started = PeerServer::start(&server_settings(unnamed.clone()), move |call| {
        handler.clone().answer(call)
    });
    assert_eq!(started.unwrap_err().kind(), io::ErrorKind::PermissionDenied);
    let (server, _control) = start_server(&server_settings(settings()));
    let client = PeerClient::start(&client_settings(unnamed)).unwrap();
    assert_refused(&server, &client);
}

#[test]
fn plain_never_leaves_loopback() {
    let client = PeerClient::start(&client_settings(settings())).unwrap();
    let elsewhere = target("192.0.2.1:1".parse().unwrap());
    let error = call(&client, &elsewhere, hand_back(1)).unwrap_err();
    assert!(error.to_string().contains("loopback"), "{error}");
}

#[test]
fn another_instance_or_another_life_gets_nothing() {
    let (server, client, _control) = start_plain(settings());
    let mut other = target(server.address());
    other.instance = "c-1".parse().unwrap();
    let failure = PeerFailure::OtherInstance("b-1".parse().unwrap());
    assert_eq!(
        call(&client, &other, hand_back(1)),
        Err(PeerError::NotSent(failure))
    );
    let mut former = target(server.address());
    former.incarnation = Some(IncarnationId::new(6));
    let failure = PeerFailure::OtherLife(IncarnationId::new(7));
    assert_eq!(
        call(&client, &former, hand_back(1)),
        Err(PeerError::NotSent(failure))
    );
}
