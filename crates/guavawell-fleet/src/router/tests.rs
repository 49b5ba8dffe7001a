use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use futures::future::join_all;
use guavawell_core::backend::LeaseOutcome;
use guavawell_core::backend::RouteTarget;
use guavawell_core::backend::RoutingSettings;
use guavawell_core::budget::HolderSettings;
use guavawell_core::clock::ClockSpan;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::instance::MemberRecord;
use guavawell_core::instance::Reachability;
use guavawell_core::limits::AdmissionRequest;
use guavawell_core::limits::AdmissionSettings;
use guavawell_core::limits::FairWeight;
use guavawell_core::limits::RequestPriority;
use guavawell_core::limits::RetrySettings;
use guavawell_core::platform::WriteClass;
use guavawell_core::request::billing::JournalPolicy;
use guavawell_standin::platform::Platform;
use guavawell_standin::platform::PlatformSettings;
use smol::Timer;
use smol::future;

use super::RouterHandle;
use super::RouterOptions;
use super::admit::AdmissionDoor;
use super::admit::AdmissionPass;
use super::admit::NotAdmitted;
use super::choice::lease_outcome;
use super::news::newest_member;
use super::platform::PlatformClients;
use super::settings;
use super::share::segment_wait;
use crate::drill::LinkGate;
use crate::engine::EngineError;
use crate::platform::PlatformError;
use crate::platform::TableOp;
use crate::platform::TableTxn;
use crate::settings::FilePath;
use crate::settings::RouterSettings;
use crate::settings::ShareRatio;
use crate::settings::WriteRate;

fn throttled_settings(platform: &Platform) -> RouterSettings {
    let mut settings = RouterSettings::default();
    settings.platform.table = platform.address();
    settings.platform.objects = platform.address();
    settings.platform.fleet_writes_per_second = WriteRate::new(1);
    settings.platform.timeout_ms = ClockSpan::from_millis(2_000);
    settings
}

#[test]
fn table_and_objects_draw_on_the_share_of_the_settings() {
    smol::block_on(async {
        let platform = Platform::start(PlatformSettings::default()).await.unwrap();
        let clients =
            PlatformClients::new(&throttled_settings(&platform), &LinkGate::default(), None);
        let txn = TableTxn {
            success: vec![TableOp::put("a", *b"1")],
            ..TableTxn::default()
        };
        // Far more than one write a second passes within the wait.
        let writes = (0..50).map(|_| clients.table.txn(&txn, WriteClass::Claim));
        let puts = (0..50).map(|index| {
            let objects = clients.objects.clone();
            async move {
                let key = format!("journal/{index}");
                objects.put_new(&key, Vec::new(), WriteClass::Journal).await
            }
        });
        let (writes, puts) = future::zip(join_all(writes), join_all(puts)).await;
        let throttled = |error: &PlatformError| matches!(error, PlatformError::Throttled(_));
        assert!(
            writes
                .iter()
                .filter_map(|end| end.as_ref().err())
                .any(throttled)
        );
        assert!(
            puts.iter()
                .filter_map(|end| end.as_ref().err())
                .any(throttled)
        );
    });
}

#[test]
fn defaults_of_the_settings_are_those_of_the_decisions() {
    let defaults = RouterSettings::default();
    // A router writes a journal; the state machine alone has none.
    let holder = HolderSettings {
        is_journaled: true,
        ..HolderSettings::default()
    };
    assert_eq!(settings::holder(&defaults), holder);
    assert_eq!(settings::routing(&defaults), RoutingSettings::default());
    assert_eq!(settings::retries(&defaults), RetrySettings::default());
    assert_eq!(settings::admission(&defaults), AdmissionSettings::default());
    assert_eq!(
        segment_wait(&defaults.platform).min,
        JournalPolicy::default().max_wait
    );
}

#[test]
fn settings_reach_the_decisions() {
    let mut settings = RouterSettings::default();
    settings.slots.float_share = ShareRatio::clamped(0.07);
    settings.slots.grant_seconds = 3;
    settings.slots.grant_requests = 5;
    settings.slots.settle_interval_ms = ClockSpan::from_millis(9);
    settings.routing.eject_max_share = ShareRatio::clamped(0.3);
    settings.routing.retry_share = ShareRatio::clamped(0.02);
    settings.limits.max_running = 7;
    settings.limits.max_wait_ms = ClockSpan::from_millis(11);
    let holder = settings::holder(&settings);
    assert_eq!(holder.float_percent, 7);
    assert_eq!(holder.stock_span, ClockSpan::from_millis(3_000));
    assert_eq!(holder.stock_requests, 5);
    assert_eq!(holder.report_after, ClockSpan::from_millis(9));
    assert_eq!(settings::routing(&settings).eject_max_percent, 30);
    assert_eq!(settings::retries(&settings).per_success, 20);
    let admission = settings::admission(&settings);
    assert_eq!(
        (admission.limit, admission.max_wait),
        (7, ClockSpan::from_millis(11))
    );
}

/// A router's settings; it signs gossip with the key in `file`.
fn router_settings(platform: &Platform, name: &str, file: &Path) -> RouterSettings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut settings = RouterSettings::default();
    settings.instance.id = name.parse().unwrap();
    settings.instance.zone = "tln-a".parse().unwrap();
    settings.callers.listen = any;
    settings.callers.plain_loopback = true;
    settings.operators.listen = any;
    settings.operators.plain_loopback = true;
    settings.peers.listen = any;
    settings.peers.plain_loopback = true;
    settings.gossip.listen = any;
    settings.gossip.key_files = vec![FilePath::new(file)];
    settings.platform.table = platform.address();
    settings.platform.objects = platform.address();
    settings.platform.instances = platform.address();
    settings
}

async fn wait_until(is_so: impl Fn() -> bool) {
    while !is_so() {
        Timer::after(Duration::from_millis(20)).await;
    }
}

#[test]
fn a_short_gossip_key_is_refused_with_its_file() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("gossip.key");
    fs::write(&file, "too short\n").unwrap();
    let mut settings = RouterSettings::default();
    settings.gossip.key_files = vec![FilePath::new(file.clone())];
    let error = settings::gossip_keys(&settings).unwrap_err();
    assert!(
        error.to_string().contains(file.to_str().unwrap()),
        "{error}"
    );
}

#[test]
fn a_changed_gossip_key_file_is_read_again() {
    let folder = tempfile::tempdir().unwrap();
    let (one, two) = (folder.path().join("one"), folder.path().join("two"));
    fs::write(&one, "the key that both will have").unwrap();
    fs::write(&two, "the key that goes").unwrap();
    smol::block_on(async {
        let platform = Platform::start(PlatformSettings::default()).await.unwrap();
        let options = RouterOptions::default();
        let settings = router_settings(&platform, "entry-1", &one);
        let old = RouterHandle::start(settings, options.clone())
            .await
            .unwrap();
        let mut settings = router_settings(&platform, "entry-2", &two);
        settings.gossip.seeds = vec![old.gossip_address()];
        let fresh = RouterHandle::start(settings, options).await.unwrap();
        wait_until(|| old.gossip.datagram_counts().unverified > 0).await;
        let name = "entry-2".parse().unwrap();
        assert!(old.gossip.view().find(&name).is_none());
        // A file that is missing or half written changes nothing.
        fs::remove_file(&two).unwrap();
        fs::write(&two, "the key that").unwrap();
        let unverified = old.gossip.datagram_counts().unverified;
        wait_until(|| old.gossip.datagram_counts().unverified > unverified).await;
        fs::write(&two, "the key that both will have\n").unwrap();
        wait_until(|| old.gossip.view().find(&name).is_some()).await;
        old.kill();
        fresh.kill();
    });
}

#[test]
fn a_failed_exchange_counts_for_its_server_by_its_kind() {
    let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
    let slow = || io::Error::from(io::ErrorKind::TimedOut);
    let rejected = EngineError::Rejected {
        status: 429,
        retry_after: None,
    };
    let cases = [
        (EngineError::NotSent(refused()), LeaseOutcome::Unreachable),
        (EngineError::NotSent(slow()), LeaseOutcome::Unreachable),
        (EngineError::Lost(refused()), LeaseOutcome::Failed),
        (EngineError::Silent, LeaseOutcome::Silent),
        (rejected, LeaseOutcome::Overloaded),
    ];
    for (failure, outcome) in cases {
        assert_eq!(lease_outcome(&failure), outcome, "{failure}");
    }
}

const LIMIT: u32 = 2;

fn target() -> RouteTarget {
    RouteTarget::Model("m".parse().unwrap())
}

/// A door that lets [`LIMIT`] requests run and refuses none.
fn door() -> Arc<AdmissionDoor> {
    let door = AdmissionDoor::new(AdmissionSettings {
        limit: LIMIT,
        queue: 1_000,
        max_wait: ClockSpan::from_millis(u64::from(u32::MAX)),
        hold_guess: ClockSpan::from_millis(1),
    });
    door.set_targets(vec![target()]);
    Arc::new(door)
}

async fn enter(door: &Arc<AdmissionDoor>) -> Result<AdmissionPass, NotAdmitted> {
    let ask = AdmissionRequest {
        ticket: door.ticket(),
        organisation: "o".parse().unwrap(),
        weight: FairWeight::default(),
        priority: RequestPriority::default(),
        cost: 1,
        deadline: None,
        first_token: ClockSpan::default(),
    };
    door.enter(&target(), ask).await
}

/// Enters without waiting; every pass must be there.
fn enter_all(door: &Arc<AdmissionDoor>) -> Vec<AdmissionPass> {
    let enter = |_| smol::block_on(future::poll_once(enter(door)));
    let passes = (0..LIMIT).map(enter);
    passes
        .map(|pass| pass.expect("no pass leaked").unwrap())
        .collect()
}

#[test]
fn a_waiter_that_goes_away_takes_no_pass_with_it() {
    let door = door();
    let mut running = enter_all(&door);
    let mut untold = Box::pin(enter(&door));
    let mut told = Box::pin(enter(&door));
    assert!(smol::block_on(future::poll_once(&mut untold)).is_none());
    assert!(smol::block_on(future::poll_once(&mut told)).is_none());
    drop(untold);
    running.pop();
    // The second waiter has its word now, and goes before it has heard it.
    drop(told);
    running.clear();
    enter_all(&door);
}

#[test]
fn every_waiter_of_many_threads_is_told_and_no_pass_leaks() {
    let door = door();
    let running = AtomicU32::new(0);
    let run = |seed: u64| {
        let mut random = fastrand::Rng::with_seed(seed);
        for _ in 0..500 {
            let mut entry = Box::pin(enter(&door));
            if random.u8(..4) == 0 {
                // Goes away after a first look.
                drop(smol::block_on(future::poll_once(&mut entry)));
                continue;
            }
            let pass = smol::block_on(entry).unwrap();
            assert!(running.fetch_add(1, Ordering::SeqCst) < LIMIT);
            running.fetch_sub(1, Ordering::SeqCst);
            drop(pass);
        }
    };
    thread::scope(|scope| {
        for seed in 0..4 {
            let run = &run;
            scope.spawn(move || run(seed));
        }
    });
    enter_all(&door);
}

fn member(number: u64, version: u64) -> MemberRecord {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    MemberRecord {
        instance: format!("router-{number}").parse().unwrap(),
        incarnation: IncarnationId::new(1),
        refutation: 0,
        zone: "zone".parse().unwrap(),
        caller_address: address,
        peer_address: address,
        gossip_address: address,
        reachability: Reachability::Reachable,
        leaving: false,
        manifest: ManifestVersion::new(version),
    }
}

#[test]
fn each_member_with_the_newest_version_is_asked_at_some_time() {
    let members = [member(0, 7), member(1, 9), member(2, 8), member(3, 9)];
    let own = ManifestVersion::new(7);
    let drawn = |draw| newest_member(members.iter(), own, draw).map(|member| &member.instance);
    // The link to the first one may be cut while gossip still reaches it.
    assert_eq!(drawn(0), Some(&members[1].instance));
    assert_eq!(drawn(1), Some(&members[3].instance));
    assert_eq!(
        newest_member(members.iter(), ManifestVersion::new(9), 0),
        None
    );
}
