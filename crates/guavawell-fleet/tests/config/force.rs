//! Routers and the version in force, through outages and restarts.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use guavawell_core::id::ManifestVersion;
use guavawell_core::manifest::NotInForce;
use guavawell_core::manifest::VersionProof;
use guavawell_fleet::config::ConfigPeers;

use crate::support::TestPlatform;
use crate::support::TestRouter;
use crate::support::manifest;
use crate::support::peer;
use crate::support::peer_name;
use crate::support::polls_every;
use crate::support::wait_until;

const NEVER: u64 = 3_600_000;

fn proof(router: &TestRouter) -> Option<VersionProof> {
    router.in_force().map(|held| held.proof)
}

#[test]
fn an_accepted_version_comes_into_force_by_poll() {
    smol::block_on(async {
        let test = TestPlatform::start().await;
        let router = TestRouter::start(&test, polls_every(10), ConfigPeers::none());
        wait_until(|| router.handle.readiness() == Err(NotInForce::NoneAccepted)).await;
        test.accept("anna", 0, &manifest(20, 1)).await;
        router.wait_for(1).await;
        assert_eq!(router.handle.readiness(), Ok(()));
        let view = router.handle.view();
        let organisation = view.organisation(&"o7".parse().expect("a good id"));
        assert_eq!(organisation.expect("stated").weight, 1);
        assert_eq!(proof(&router), Some(VersionProof::Table));
    });
}

#[test]
fn a_peers_word_brings_a_version_into_force_before_the_next_poll() {
    smol::block_on(async {
        let test = TestPlatform::start().await;
        test.accept("anna", 0, &manifest(20, 1)).await;
        let router = TestRouter::start(&test, polls_every(NEVER), ConfigPeers::none());
        router.wait_for(1).await;
        test.accept("anna", 1, &manifest(20, 2)).await;
        router.hints.hear(peer_name(), ManifestVersion::new(2));
        router.wait_for(2).await;
    });
}

#[test]
fn a_fresh_router_waits_for_the_platform_if_it_has_no_peers() {
    smol::block_on(async {
        let test = TestPlatform::start().await;
        test.accept("anna", 0, &manifest(20, 1)).await;
        test.outage(true);
        let asked = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&asked);
        let mut peers = ConfigPeers::none();
        peers.live = Box::new(move || {
            counter.fetch_add(1, Ordering::SeqCst);
            Vec::new()
        });
        let router = TestRouter::start(&test, polls_every(NEVER), peers);
        wait_until(|| asked.load(Ordering::SeqCst) >= 2).await;
        assert_eq!(router.handle.readiness(), Err(NotInForce::Unknown));
        test.outage(false);
        router.wait_for(1).await;
    });
}

#[test]
fn a_fresh_router_takes_its_peers_version_during_an_outage() {
    smol::block_on(async {
        let test = TestPlatform::start().await;
        test.accept("anna", 0, &manifest(200, 1)).await;
        test.accept("anna", 1, &manifest(200, 2)).await;
        let old = TestRouter::start(&test, polls_every(10), ConfigPeers::none());
        old.wait_for(2).await;
        test.outage(true);
        let fresh = TestRouter::start(&test, polls_every(10), peer(&old.handle));
        fresh.wait_for(2).await;
        assert_eq!(proof(&fresh), Some(VersionProof::Peers));
        assert_eq!(fresh.handle.view().root(), old.handle.view().root());
        test.outage(false);
        wait_until(|| proof(&fresh) == Some(VersionProof::Table)).await;
    });
}

#[test]
fn a_router_cut_off_from_the_platform_follows_a_peer_that_is_not() {
    smol::block_on(async {
        let test = TestPlatform::start().await;
        let parted = TestPlatform::start().await;
        for platform in [&test, &parted] {
            platform.accept("anna", 0, &manifest(200, 1)).await;
        }
        let near = TestRouter::start(&test, polls_every(10), ConfigPeers::none());
        let far = TestRouter::start(&parted, polls_every(10), peer(&near.handle));
        far.wait_for(1).await;
        parted.outage(true);
        test.accept("anna", 1, &manifest(200, 2)).await;
        near.wait_for(2).await;
        far.hints.hear(peer_name(), ManifestVersion::new(2));
        far.wait_for(2).await;
        assert_eq!(proof(&far), Some(VersionProof::Peers));
        // What it reaches after the heal is older: it does not go back.
        parted.outage(false);
        wait_until(|| far.handle.load().counts.table_behind >= 3).await;
        assert_eq!(far.version(), 2);
    });
}

#[test]
fn a_missing_page_keeps_the_old_version_in_force() {
    smol::block_on(async {
        let test = TestPlatform::start().await;
        test.accept("anna", 0, &manifest(20, 1)).await;
        let router = TestRouter::start(&test, polls_every(10), ConfigPeers::none());
        router.wait_for(1).await;
        let other = TestPlatform::start().await;
        other.accept("anna", 0, &manifest(20, 1)).await;
        other.accept("anna", 1, &manifest(20, 2)).await;
        let row = other.platform.row("version").expect("a row");
        // The row of a version whose pages are not in this store.
        test.platform.put_row("version", &row);
        wait_until(|| router.handle.load().counts.failed_loads >= 2).await;
        assert_eq!(router.version(), 1);
        assert_eq!(router.handle.readiness(), Ok(()));
    });
}

#[test]
fn an_unreadable_version_row_changes_nothing() {
    smol::block_on(async {
        let test = TestPlatform::start().await;
        test.accept("anna", 0, &manifest(20, 1)).await;
        let router = TestRouter::start(&test, polls_every(10), ConfigPeers::none());
        router.wait_for(1).await;
        let before = test.platform.counts();
        test.platform.put_row("version", b"{\"version\":9}");
        wait_until(|| test.platform.counts().reads > before.reads + 5).await;
        assert_eq!(router.version(), 1);
    });
}
