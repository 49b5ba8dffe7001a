//! From acceptance to in force: many routers' configuration drivers against
//! the stand-in platform, over real sockets, in one process.
//!
//! `cargo run --release -p guavawell-fleet --example config_spread`
//!
//! Gossip is emulated: a router that puts a version into force tells three
//! others drawn at random after one gossip interval. Everything else is the
//! code that routers run. A third of the routers is replaced during each
//! change of the third run.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use guavawell_core::id::InstanceId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::manifest::ConfigSettings;
use guavawell_core::manifest::FleetManifest;
use guavawell_core::manifest::VersionProposal;
use guavawell_core::manifest::page::ManifestPages;
use guavawell_core::manifest::parse_manifest;
use guavawell_fleet::clock;
use guavawell_fleet::config::AcceptOutcome;
use guavawell_fleet::config::ConfigDriver;
use guavawell_fleet::config::ConfigHandle;
use guavawell_fleet::config::ConfigHints;
use guavawell_fleet::config::ConfigInputs;
use guavawell_fleet::config::ConfigPeers;
use guavawell_fleet::config::ManifestStore;
use guavawell_fleet::platform::Objects;
use guavawell_fleet::platform::PoolSettings;
use guavawell_fleet::platform::Table;
use guavawell_standin::platform::Platform;
use guavawell_standin::platform::PlatformSettings;
use smol::Timer;

const ROUTERS: usize = 96;
const CHANGES: u64 = 15;
const ORGANISATIONS: usize = 2_000;
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
const TOLD: usize = 3;

/// One way to run the fleet.
#[derive(Clone, Copy, Debug)]
struct RunPlan {
    name: &'static str,
    gossip: bool,
    /// One router in this many is replaced during each change.
    replaced: Option<usize>,
}

const PLANS: [RunPlan; 3] = [
    RunPlan {
        name: "poll alone",
        gossip: false,
        replaced: None,
    },
    RunPlan {
        name: "poll and emulated gossip",
        gossip: true,
        replaced: None,
    },
    RunPlan {
        name: "the same, a third replaced during each change",
        gossip: true,
        replaced: Some(3),
    },
];

type HintList = Arc<Mutex<Vec<ConfigHints>>>;

struct Router {
    handle: ConfigHandle,
    _task: smol::Task<()>,
}

fn main() {
    for plan in PLANS {
        smol::block_on(run(plan));
    }
}

async fn run(plan: RunPlan) {
    let platform = Platform::start(PlatformSettings::default()).await;
    let platform = platform.expect("free loopback ports");
    let store = store(&platform);
    let mut manifest = manifest();
    accept(&store, 0, &manifest).await;
    let hints = HintList::default();
    let mut routers = Vec::new();
    for place in 0..ROUTERS {
        routers.push(start(&store, &hints, place, plan.gossip));
    }
    wait_for(&routers, 1, &mut Vec::new(), Instant::now()).await;
    let reads = platform.counts().reads;
    let started = Instant::now();
    let mut times = Vec::new();
    for base in 1..=CHANGES {
        manifest.organisations[usize::try_from(base).unwrap_or(0)].weight += 1;
        accept(&store, base, &manifest).await;
        let accepted = Instant::now();
        if let Some(part) = plan.replaced {
            for place in (0..ROUTERS).filter(|place| place % part == 0) {
                routers[place] = start(&store, &hints, place, plan.gossip);
            }
        }
        wait_for(&routers, base + 1, &mut times, accepted).await;
        Timer::after(Duration::from_millis(fastrand::u64(0..2_000))).await;
    }
    let reads = u128::from(platform.counts().reads - reads) * 1_000 / started.elapsed().as_millis();
    times.sort_unstable();
    let at = |share: usize| times[(times.len() - 1) * share / 1_000];
    println!(
        "{}: {ROUTERS} routers, {CHANGES} changes: median {} ms, 99th percentile {} ms, \
         most {} ms; {reads} platform reads a second",
        plan.name,
        at(500),
        at(990),
        at(1_000)
    );
}

fn store(platform: &Platform) -> ManifestStore {
    let address = platform.address();
    let table = Table::new(address, PoolSettings::default());
    let objects = Objects::new(address, "guavawell", PoolSettings::default());
    ManifestStore::new(table, objects)
}

fn start(store: &ManifestStore, hints: &HintList, place: usize, gossip: bool) -> Router {
    let others = Arc::clone(hints);
    let name: InstanceId = format!("entry-{place}").parse().expect("a good id");
    let (driver, handle, own) = ConfigDriver::new(ConfigInputs {
        settings: ConfigSettings::default(),
        store: store.clone(),
        peers: ConfigPeers::none(),
        on_change: Box::new(move |snapshot| {
            let version = snapshot.view.version();
            if gossip {
                smol::spawn(tell(Arc::clone(&others), name.clone(), version)).detach();
            }
        }),
    });
    let mut hints = hints.lock().unwrap_or_else(PoisonError::into_inner);
    if place < hints.len() {
        hints[place] = own;
    } else {
        hints.push(own);
    }
    Router {
        handle,
        _task: smol::spawn(driver.run()),
    }
}

async fn tell(hints: HintList, name: InstanceId, version: ManifestVersion) {
    Timer::after(GOSSIP_INTERVAL).await;
    let hints = hints.lock().unwrap_or_else(PoisonError::into_inner);
    for _ in 0..TOLD {
        hints[fastrand::usize(..hints.len())].hear(name.clone(), version);
    }
}

/// Waits until every router has the version, and notes when each had it.
async fn wait_for(routers: &[Router], version: u64, times: &mut Vec<u128>, from: Instant) {
    let mut waiting: Vec<&Router> = routers.iter().collect();
    while !waiting.is_empty() {
        Timer::after(Duration::from_millis(1)).await;
        waiting.retain(|router| {
            let there = router.handle.view().version().get() >= version;
            if there {
                times.push(from.elapsed().as_millis());
            }
            !there
        });
    }
}

async fn accept(store: &ManifestStore, base: u64, manifest: &FleetManifest) {
    let pages = ManifestPages::of(manifest);
    let proposal = VersionProposal {
        base: ManifestVersion::new(base),
        root: pages.root.digest,
        who: "example".into(),
        when: clock::now(),
        nonce: base,
    };
    let outcome = store.accept(&proposal, &pages).await;
    let outcome = outcome.expect("the platform answers");
    assert!(matches!(outcome, AcceptOutcome::Accepted(_)), "{outcome:?}");
}

fn manifest() -> FleetManifest {
    let mut sections = vec!["[fleet]\nshards = 16\nzones = [\"a\"]\n".to_owned()];
    for number in 0..ORGANISATIONS {
        sections.push(format!(
            "[[organisation]]\nid = \"o{number}\"\nkey_hash = \"{number:064x}\"\n\
             default_budget = \"b{number}\"\n\
             [[budget]]\nid = \"b{number}\"\norganisation = \"o{number}\"\npaid = 1000\n"
        ));
    }
    parse_manifest("example.toml", &sections.concat()).expect("no findings")
}
