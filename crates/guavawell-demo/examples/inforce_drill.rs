//! From acceptance to in force under drills: 24 whole routers of three zones in
//! one process, over real sockets.
//!
//! `cargo run --release -p guavawell-demo --example inforce_drill [plain|parted|storm]`

use std::env;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::ManifestVersion;
use guavawell_core::manifest::VersionConflict;
use guavawell_core::manifest::VersionProposal;
use guavawell_core::manifest::page::ManifestPages;
use guavawell_core::manifest::parse_manifest;
use guavawell_demo::fleet::DemoFleet;
use guavawell_demo::fleet::FleetSettings;
use guavawell_demo::fleet::manifest_text;
use guavawell_fleet::config::AcceptOutcome;
use guavawell_fleet::config::ManifestStore;
use guavawell_fleet::router::RouterHandle;
use smol::Timer;
use smol::future;

const ZONES: usize = 3;
const ROUTERS: usize = 8;
/// The zone that is parted from the others and from the platform.
const PARTED: usize = 2;
/// Time between two looks at the routers.
const LOOK: Duration = Duration::from_millis(2);
/// A change that is not in force everywhere by then is given up.
const LONGEST: Duration = Duration::from_secs(60);
const CHANGES: usize = 10;
/// How long the zone is parted, before and after the change.
const PARTINGS: [u64; 3] = [2, 10, 40];
const OPERATORS: usize = 5;
/// Changes of each operator in the storm, one in this time.
const STORM_CHANGES: usize = 10;
const STORM_PAUSE: Duration = Duration::from_secs(1);

fn main() {
    let wanted = env::args().nth(1);
    let is_wanted = |name: &str| wanted.as_deref().is_none_or(|wanted| wanted == name);
    smol::block_on(async {
        let mut fleet = start().await;
        if is_wanted("plain") {
            plain(&fleet).await;
        }
        if is_wanted("parted") {
            for seconds in PARTINGS {
                parted(&mut fleet, Duration::from_secs(seconds)).await;
            }
        }
        if is_wanted("storm") {
            storm(&fleet).await;
        }
        fleet.stop();
    });
}

async fn start() -> DemoFleet {
    let settings = FleetSettings {
        zones: ZONES,
        routers: ROUTERS,
        engines: 1,
        services: 0,
        threads: 1,
        ..FleetSettings::default()
    };
    let fleet = DemoFleet::start(settings).await.expect("a fleet");
    println!("{} routers", fleet.live().count());
    fleet
}

fn store(fleet: &DemoFleet) -> ManifestStore {
    ManifestStore::new(fleet.table(), fleet.objects())
}

async fn current(store: &ManifestStore) -> ManifestVersion {
    let stored = store.current().await.expect("the platform answers");
    stored.row.map(|row| row.version).unwrap_or_default()
}

/// The demo's manifest with another paid sum, on top of `base`.
fn proposal(text: &str, base: ManifestVersion) -> (VersionProposal, ManifestPages) {
    let manifest = parse_manifest("drill.toml", text).expect("a good manifest");
    let pages = ManifestPages::of(&manifest);
    let proposal = VersionProposal {
        base,
        root: pages.root.digest,
        who: "drill".into(),
        when: ClockTime::from_millis(0),
        nonce: fastrand::u64(..),
    };
    (proposal, pages)
}

fn changed_text(fleet: &DemoFleet) -> String {
    let mut settings = fleet.settings.clone();
    let more = fastrand::u64(1..1_000_000);
    settings.paid = (settings.paid.get() + more)
        .to_string()
        .parse()
        .expect("a sum");
    manifest_text(&settings, &fleet.backends)
}

/// Accepts a change; returns its version.
async fn change(fleet: &DemoFleet) -> ManifestVersion {
    let store = store(fleet);
    let base = current(&store).await;
    let (proposal, pages) = proposal(&changed_text(fleet), base);
    match store.accept(&proposal, &pages).await {
        Ok(AcceptOutcome::Accepted(row)) => row.version,
        other => panic!("not accepted: {other:?}"),
    }
}

/// The routers' versions, in the order of their start.
fn versions(fleet: &DemoFleet) -> Vec<ManifestVersion> {
    fleet.live().map(RouterHandle::manifest_version).collect()
}

/// Milliseconds from `since` until each router has `version` in force, sorted;
/// those that have not by the longest time are left out.
async fn in_force(fleet: &DemoFleet, version: ManifestVersion, since: Instant) -> Vec<u128> {
    let mut times = vec![None; fleet.live().count()];
    while times.contains(&None) && since.elapsed() < LONGEST {
        for (time, held) in times.iter_mut().zip(versions(fleet)) {
            if held >= version && time.is_none() {
                *time = Some(since.elapsed().as_millis());
            }
        }
        Timer::after(LOOK).await;
    }
    let mut times: Vec<u128> = times.into_iter().flatten().collect();
    times.sort_unstable();
    times
}

fn print(name: &str, mut times: Vec<u128>, wanted: usize) {
    times.sort_unstable();
    let place = |percent: usize| (times.len() * percent / 100).min(times.len().saturating_sub(1));
    let at = |percent| times.get(place(percent)).copied().unwrap_or(0);
    let (median, late, most) = (at(50), at(99), at(100));
    let count = times.len();
    println!(
        "{name}: {count} of {wanted} in force, median {median} ms, 99% {late} ms, most {most} ms"
    );
}

async fn plain(fleet: &DemoFleet) {
    let mut times = Vec::new();
    for _ in 0..CHANGES {
        let version = change(fleet).await;
        times.extend(in_force(fleet, version, Instant::now()).await);
    }
    print("plain", times, CHANGES * ZONES * ROUTERS);
}

/// Parts a zone, accepts a change, mends the links.
async fn parted(fleet: &mut DemoFleet, time: Duration) {
    let mut times = Vec::new();
    for _ in 0..3 {
        fleet.isolate(PARTED);
        Timer::after(time / 2).await;
        let version = change(fleet).await;
        Timer::after(time / 2).await;
        let missing = || {
            versions(fleet)
                .iter()
                .filter(|held| **held < version)
                .count()
        };
        while missing() > ROUTERS {
            Timer::after(LOOK).await;
        }
        assert_eq!(missing(), ROUTERS, "the parted zone has the old version");
        let healed = Instant::now();
        fleet.heal();
        let all = in_force(fleet, version, healed).await;
        times.extend(&all[all.len().min((ZONES - 1) * ROUTERS)..]);
    }
    let name = format!("parted for {} s, from the heal on", time.as_secs());
    print(&name, times, 3 * ROUTERS);
}

/// What the storm's operators were told.
#[derive(Debug, Default)]
struct StormWords {
    accepted: Vec<(ManifestVersion, Instant)>,
    conflicts: usize,
}

/// Operators race; every word to them is checked against the history, and no
/// router's version may fall.
async fn storm(fleet: &DemoFleet) {
    let first = current(&store(fleet)).await;
    let began = Instant::now();
    let words = Arc::new(Mutex::new(StormWords::default()));
    let operators = join_all((0..OPERATORS).map(|_| operate(fleet, &words)));
    let raced = async {
        let follow = follow(fleet, &words);
        let (_, times) = future::zip(operators, follow).await;
        times
    };
    let times = future::or(raced, watch(fleet)).await;
    let StormWords {
        accepted,
        conflicts,
    } = std::mem::take(&mut *lock(&words));
    let mut accepted: Vec<_> = accepted.into_iter().map(|(version, _)| version).collect();
    accepted.sort();
    let wanted: Vec<_> = (1..=accepted.len() as u64)
        .map(|step| ManifestVersion::new(first.get() + step))
        .collect();
    assert_eq!(accepted, wanted, "one acceptance for each version");
    let newest = *accepted.last().expect("some were accepted");
    assert_eq!(current(&store(fleet)).await, newest);
    println!(
        "storm: {} changes by {OPERATORS} operators in {:?}, {conflicts} conflicts, all true",
        accepted.len(),
        began.elapsed(),
    );
    print("storm, from the last acceptance on", times, ZONES * ROUTERS);
    assert!(versions(fleet).iter().all(|held| *held == newest));
}

fn lock(words: &Mutex<StormWords>) -> MutexGuard<'_, StormWords> {
    words.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits for the last change of the storm, then for every router; returns the
/// milliseconds from its acceptance on.
async fn follow(fleet: &DemoFleet, words: &Mutex<StormWords>) -> Vec<u128> {
    while lock(words).accepted.len() < OPERATORS * STORM_CHANGES {
        Timer::after(LOOK).await;
    }
    let newest = lock(words).accepted.iter().max().copied();
    let (version, since) = newest.expect("some were accepted");
    in_force(fleet, version, since).await
}

/// Never ends; fails if a router's version falls.
async fn watch(fleet: &DemoFleet) -> Vec<u128> {
    let mut held = versions(fleet);
    loop {
        let now = versions(fleet);
        let fallen = held.iter().zip(&now).any(|(before, now)| now < before);
        assert!(!fallen, "a version fell: {held:?} to {now:?}");
        held = now;
        Timer::after(LOOK).await;
    }
}

async fn operate(fleet: &DemoFleet, words: &Mutex<StormWords>) {
    let store = store(fleet);
    for _ in 0..STORM_CHANGES {
        let due = Timer::after(STORM_PAUSE);
        let text = changed_text(fleet);
        let mut base = current(&store).await;
        loop {
            let (proposal, pages) = proposal(&text, base);
            match store.accept(&proposal, &pages).await {
                Ok(AcceptOutcome::Accepted(row)) => {
                    lock(words).accepted.push((row.version, Instant::now()));
                    break;
                }
                Ok(AcceptOutcome::Conflict(conflict)) => {
                    base = check_conflict(&store, base, &conflict).await;
                    lock(words).conflicts += 1;
                }
                other => panic!("no true word: {other:?}"),
            }
        }
        due.await;
    }
}

/// A conflict has to name the stated base, and a later version that the history
/// holds as it was told.
async fn check_conflict(
    store: &ManifestStore,
    base: ManifestVersion,
    conflict: &VersionConflict,
) -> ManifestVersion {
    assert_eq!(conflict.stated, base);
    let current = conflict.current.as_ref().expect("a version is in force");
    assert!(current.version > base, "{conflict}");
    let history = store.history(current.version).await;
    assert_eq!(
        history.expect("the platform answers").as_ref(),
        Some(current)
    );
    current.version
}
