//! One platform and what operators and routers do with it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::InstanceId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::manifest::ConfigSettings;
use guavawell_core::manifest::FleetManifest;
use guavawell_core::manifest::VersionInForce;
use guavawell_core::manifest::VersionProposal;
use guavawell_core::manifest::page::ManifestPages;
use guavawell_core::manifest::parse_manifest;
use guavawell_fleet::config::AcceptOutcome;
use guavawell_fleet::config::ConfigDriver;
use guavawell_fleet::config::ConfigHandle;
use guavawell_fleet::config::ConfigHints;
use guavawell_fleet::config::ConfigInputs;
use guavawell_fleet::config::ConfigPeers;
use guavawell_fleet::config::ManifestStore;
use guavawell_fleet::platform::Objects;
use guavawell_fleet::platform::PlatformError;
use guavawell_fleet::platform::PoolSettings;
use guavawell_fleet::platform::Table;
use guavawell_standin::fault::FaultChange;
use guavawell_standin::platform::Platform;
use guavawell_standin::platform::PlatformSettings;
use smol::Timer;

/// Longest wait for something that must happen.
const PATIENCE: Duration = Duration::from_secs(20);

/// A platform and a store in it.
pub struct TestPlatform {
    pub platform: Platform,
    pub store: ManifestStore,
}

impl TestPlatform {
    pub async fn start() -> Self {
        let platform = Platform::start(PlatformSettings::default())
            .await
            .expect("free loopback ports");
        let address = platform.address();
        let table = Table::new(address, PoolSettings::default());
        let objects = Objects::new(address, "guavawell", PoolSettings::default());
        let store = ManifestStore::new(table, objects);
        Self { platform, store }
    }

    pub async fn accept(&self, who: &str, base: u64, manifest: &FleetManifest) -> AcceptOutcome {
        let accepted = self.try_accept(who, base, manifest).await;
        accepted.expect("the platform answers")
    }

    pub async fn try_accept(
        &self,
        who: &str,
        base: u64,
        manifest: &FleetManifest,
    ) -> Result<AcceptOutcome, PlatformError> {
        let pages = ManifestPages::of(manifest);
        self.store
            .accept(&proposal(who, base, &pages), &pages)
            .await
    }

    pub fn outage(&self, outage: bool) {
        self.platform.set_faults(FaultChange {
            outage: Some(outage),
            ..FaultChange::default()
        });
    }
}

pub fn proposal(who: &str, base: u64, pages: &ManifestPages) -> VersionProposal {
    VersionProposal {
        base: ManifestVersion::new(base),
        root: pages.root.digest,
        who: who.into(),
        when: ClockTime::from_millis(1),
        nonce: base,
    }
}

/// A manifest with `organisations` organisations of this weight.
pub fn manifest(organisations: usize, weight: u32) -> FleetManifest {
    let mut sections = vec!["[fleet]\nshards = 4\nzones = [\"tln-a\"]\n".to_owned()];
    for number in 0..organisations {
        sections.push(format!(
            "[[organisation]]\nid = \"o{number}\"\nkey_hash = \"{number:064x}\"\n\
             default_budget = \"b{number}\"\nweight = {weight}\n\
             [[budget]]\nid = \"b{number}\"\norganisation = \"o{number}\"\npaid = 1000\n"
        ));
    }
    parse_manifest("test.toml", &sections.concat()).expect("no findings")
}

/// A router's configuration, running until it is dropped.
pub struct TestRouter {
    pub handle: ConfigHandle,
    pub hints: ConfigHints,
    _task: smol::Task<()>,
}

impl TestRouter {
    pub fn start(platform: &TestPlatform, settings: ConfigSettings, peers: ConfigPeers) -> Self {
        let (driver, handle, hints) = ConfigDriver::new(ConfigInputs {
            settings,
            store: platform.store.clone(),
            peers,
            on_change: Box::new(|_| {}),
        });
        Self {
            handle,
            hints,
            _task: smol::spawn(driver.run()),
        }
    }

    pub fn in_force(&self) -> Option<VersionInForce> {
        self.handle.load().in_force.clone()
    }

    pub fn version(&self) -> u64 {
        self.in_force().map_or(0, |held| held.row.version.get())
    }

    pub async fn wait_for(&self, version: u64) {
        wait_until(|| self.version() == version).await;
    }
}

/// Settings that poll often, or as good as never.
pub fn polls_every(millis: u64) -> ConfigSettings {
    ConfigSettings {
        poll_interval: ClockSpan::from_millis(millis),
        hint_interval: ClockSpan::from_millis(5),
        retry_interval: ClockSpan::from_millis(20),
    }
}

pub fn peer_name() -> InstanceId {
    "entry-1".parse().expect("a good id")
}

/// One peer, asked through its handle.
pub fn peer(handle: &ConfigHandle) -> ConfigPeers {
    let rows = handle.clone();
    let pages = Arc::new(handle.clone());
    ConfigPeers {
        live: Box::new(|| vec![peer_name()]),
        row: Box::new(move |_| {
            let row = rows.load().in_force.clone().map(|held| held.row);
            Box::pin(async { row })
        }),
        pages: Box::new(move |_, digests| {
            let stored = pages.stored_pages(&digests);
            Box::pin(async { stored })
        }),
    }
}

pub async fn wait_until(happened: impl Fn() -> bool) {
    let started = Instant::now();
    while !happened() {
        assert!(started.elapsed() < PATIENCE, "it did not happen");
        Timer::after(Duration::from_millis(2)).await;
    }
}
