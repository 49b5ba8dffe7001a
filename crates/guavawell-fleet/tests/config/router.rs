//! Real routers: a fresh one during an outage, by its peer over real sockets.

use std::net::SocketAddr;
use std::time::Duration;

use guavawell_core::id::ManifestVersion;
use guavawell_core::manifest::VersionProof;
use guavawell_fleet::operator::InstanceStatus;
use guavawell_fleet::router::RouterHandle;
use guavawell_fleet::router::RouterOptions;
use guavawell_fleet::settings::RouterSettings;
use guavawell_fleet::settings::SecretText;
use http_types::Method;
use http_types::Request;
use http_types::Url;
use smol::Timer;
use smol::net::TcpStream;

use crate::support::TestPlatform;
use crate::support::manifest;
use crate::support::wait_until;

fn settings(test: &TestPlatform, name: &str, seeds: Vec<SocketAddr>) -> RouterSettings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = test.platform.address();
    let mut settings = RouterSettings::default();
    settings.instance.id = name.parse().expect("a good id");
    settings.instance.zone = "tln-a".parse().expect("a good id");
    settings.callers.listen = any;
    settings.callers.plain_loopback = true;
    settings.operators.listen = any;
    settings.operators.plain_loopback = true;
    settings.peers.listen = any;
    settings.peers.plain_loopback = true;
    settings.gossip.listen = any;
    settings.gossip.keys = vec![SecretText::new("a key for tests, of thirty-two bytes")];
    settings.gossip.seeds = seeds;
    settings.platform.table = platform;
    settings.platform.objects = platform;
    settings.platform.instances = platform;
    settings
}

async fn start(test: &TestPlatform, name: &str, seeds: Vec<SocketAddr>) -> RouterHandle {
    let options = RouterOptions {
        threads: 2,
        ..RouterOptions::default()
    };
    let started = RouterHandle::start(settings(test, name, seeds), options).await;
    started.expect("free loopback ports")
}

async fn status(router: &RouterHandle) -> InstanceStatus {
    let address = router.operator_address();
    let url = Url::parse(&format!("http://{address}/status")).expect("an address");
    let stream = TcpStream::connect(address).await.expect("it listens");
    let answer = async_h1::connect(stream, Request::new(Method::Get, url)).await;
    let body = answer
        .expect("an answer")
        .body_bytes()
        .await
        .expect("a body");
    serde_json::from_slice(&body).expect("a status")
}

#[test]
fn a_fresh_router_takes_the_version_and_its_pages_from_a_peer_while_the_platform_is_away() {
    smol::block_on(async {
        let test = TestPlatform::start().await;
        test.accept("anna", 0, &manifest(300, 1)).await;
        let old = start(&test, "entry-1", Vec::new()).await;
        wait_until(|| old.is_ready()).await;
        test.outage(true);
        let fresh = start(&test, "entry-2", vec![old.gossip_address()]).await;
        wait_until(|| fresh.is_ready()).await;
        let told = status(&fresh).await;
        assert_eq!(told.version, Some(ManifestVersion::new(1)));
        assert_eq!(told.proof, Some(VersionProof::Peers));
        test.outage(false);
        while status(&fresh).await.proof != Some(VersionProof::Table) {
            Timer::after(Duration::from_millis(50)).await;
        }
    });
}
