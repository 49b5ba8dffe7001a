//! Carries the effects of a router's configuration out.

use std::sync::Arc;

use futures::FutureExt;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::future::join_all;
use futures::stream::FuturesUnordered;
use guavawell_core::id::InstanceId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::manifest::ConfigEffect;
use guavawell_core::manifest::ConfigEvent;
use guavawell_core::manifest::ConfigSettings;
use guavawell_core::manifest::ConfigState;
use guavawell_core::manifest::FleetView;
use guavawell_core::manifest::VersionInForce;
use guavawell_core::manifest::VersionRow;
use guavawell_core::platform::Jitter;
use smol::Timer;
use smol::channel;
use smol::future;

use super::ConfigHandle;
use super::ConfigPeers;
use super::ConfigSnapshot;
use super::ManifestStore;
use super::fetch::PageFetch;
use crate::clock;

/// Hints that wait for the driver at most; further ones are dropped, because
/// gossip repeats them.
const MAX_HINTS: usize = 256;

/// What a driver is built of.
pub struct ConfigInputs {
    /// How often to look for a new version.
    pub settings: ConfigSettings,
    /// The platform's side.
    pub store: ManifestStore,
    /// The other routers' side.
    pub peers: ConfigPeers,
    /// Called after each version put into force and each change of its proof.
    pub on_change: Box<dyn Fn(&ConfigSnapshot) + Send + Sync>,
}

/// Keeps a router's version in force up to date, until it is dropped.
pub struct ConfigDriver {
    state: ConfigState,
    store: ManifestStore,
    peers: Arc<ConfigPeers>,
    on_change: Box<dyn Fn(&ConfigSnapshot) + Send + Sync>,
    handle: ConfigHandle,
    hints: channel::Receiver<PeerVersion>,
    pending: FuturesUnordered<BoxFuture<'static, Vec<DriverEvent>>>,
    /// The view loaded last, until the decision to put it into force.
    loaded: Option<FleetView>,
    /// The peer that was last heard to be ahead.
    ahead: Option<InstanceId>,
}

/// Tells the driver which versions peers have; clones tell the same driver.
#[derive(Clone, Debug)]
pub struct ConfigHints {
    sender: channel::Sender<PeerVersion>,
}

/// A version that a peer was heard to have in force.
#[derive(Debug)]
struct PeerVersion {
    instance: InstanceId,
    version: ManifestVersion,
}

/// An answer to an effect.
enum DriverEvent {
    State(ConfigEvent),
    Loaded(VersionRow, Box<FleetView>),
}

/// What the driver wakes up for.
enum DriverWake {
    Tick,
    Hint(PeerVersion),
    Events(Vec<DriverEvent>),
}

impl ConfigHints {
    /// A peer was heard to have `version` in force.
    pub fn hear(&self, instance: InstanceId, version: ManifestVersion) {
        // A full queue drops the hint: gossip repeats it, and the poll follows.
        let _ = self.sender.try_send(PeerVersion { instance, version });
    }
}

impl ConfigDriver {
    /// A driver of a fresh router, the handle that it keeps up to date, and
    /// the way to tell it of peers' versions.
    #[must_use]
    pub fn new(inputs: ConfigInputs) -> (Self, ConfigHandle, ConfigHints) {
        let (sender, hints) = channel::bounded(MAX_HINTS);
        let handle = ConfigHandle::fresh();
        let driver = Self {
            state: ConfigState::new(inputs.settings),
            store: inputs.store,
            peers: Arc::new(inputs.peers),
            on_change: inputs.on_change,
            handle: handle.clone(),
            hints,
            pending: FuturesUnordered::new(),
            loaded: None,
            ahead: None,
        };
        (driver, handle, ConfigHints { sender })
    }

    /// Runs for as long as it is polled.
    pub async fn run(mut self) {
        loop {
            match self.wake().await {
                DriverWake::Tick => self.tick(),
                DriverWake::Hint(hint) => self.hear(hint),
                DriverWake::Events(events) => {
                    for event in events {
                        self.take(event);
                    }
                }
            }
        }
    }

    async fn wake(&mut self) -> DriverWake {
        let wait = self.state.next_tick().since(clock::now());
        let tick = async {
            Timer::after(clock::duration(wait)).await;
            DriverWake::Tick
        };
        let hint = async {
            match self.hints.recv().await {
                Ok(hint) => DriverWake::Hint(hint),
                // All senders are gone: no hint will come.
                Err(_) => future::pending().await,
            }
        };
        let events = async {
            match self.pending.next().await {
                Some(events) => DriverWake::Events(events),
                None => future::pending().await,
            }
        };
        future::or(events, future::or(hint, tick)).await
    }

    fn tick(&mut self) {
        let jitter = Jitter(fastrand::u16(..));
        self.step(ConfigEvent::Tick { jitter });
    }

    fn hear(&mut self, hint: PeerVersion) {
        let PeerVersion { instance, version } = hint;
        let in_force = self.state.in_force();
        let own = in_force.map_or_else(ManifestVersion::default, |held| held.row.version);
        if version > own {
            self.ahead = Some(instance.clone());
        }
        self.step(ConfigEvent::PeerHint { instance, version });
    }

    fn take(&mut self, event: DriverEvent) {
        match event {
            DriverEvent::State(event) => self.step(event),
            DriverEvent::Loaded(row, view) => {
                self.loaded = Some(*view);
                self.step(ConfigEvent::Loaded(row));
            }
        }
    }

    fn step(&mut self, event: ConfigEvent) {
        let effects = self.state.step(clock::now(), event);
        for effect in effects {
            self.carry_out(effect);
        }
        self.publish();
    }

    fn carry_out(&mut self, effect: ConfigEffect) {
        match effect {
            ConfigEffect::ReadTable => {
                let store = self.store.clone();
                self.pending.push(read_table(store).boxed());
            }
            ConfigEffect::AskPeers(peer) => {
                let peers = Arc::clone(&self.peers);
                self.pending.push(ask_peers(peers, peer).boxed());
            }
            ConfigEffect::Load(row) => {
                let load = PageLoad {
                    fresh: self.state.in_force().is_none(),
                    store: self.store.clone(),
                    peers: Arc::clone(&self.peers),
                    ahead: self.ahead.take(),
                    view: self.handle.view(),
                    row,
                };
                self.pending.push(load.run().boxed());
            }
            ConfigEffect::Enforce(in_force) => self.enforce(in_force),
            ConfigEffect::Proved(in_force) => {
                log::info!(
                    "manifest version {} is now proved by the {}",
                    in_force.row.version,
                    in_force.proof
                );
                self.publish();
                (self.on_change)(&self.handle.load());
            }
        }
    }

    fn enforce(&mut self, in_force: VersionInForce) {
        let Some(view) = self.loaded.take() else {
            return;
        };
        log::info!(
            "manifest version {} is in force, proved by the {}",
            in_force.row.version,
            in_force.proof
        );
        self.handle.replace(ConfigSnapshot {
            view: Arc::new(view),
            in_force: Some(in_force),
            not_ready: None,
            counts: self.state.counts(),
        });
        (self.on_change)(&self.handle.load());
    }

    /// Renews all but the view, if it changed.
    fn publish(&self) {
        let old = self.handle.load();
        let snapshot = ConfigSnapshot {
            view: Arc::clone(&old.view),
            in_force: self.state.in_force().cloned(),
            not_ready: self.state.readiness().err(),
            counts: self.state.counts(),
        };
        let changed = snapshot.counts != old.counts
            || snapshot.not_ready != old.not_ready
            || snapshot.in_force != old.in_force;
        if changed {
            count(&snapshot);
            self.handle.replace(snapshot);
        }
    }
}

async fn read_table(store: ManifestStore) -> Vec<DriverEvent> {
    let event = match store.current().await {
        Ok(stored) => ConfigEvent::TableRead(stored.row),
        Err(error) => {
            log::debug!("reading the version row: {error}");
            ConfigEvent::TableFailed
        }
    };
    vec![DriverEvent::State(event)]
}

async fn ask_peers(peers: Arc<ConfigPeers>, peer: Option<InstanceId>) -> Vec<DriverEvent> {
    let asked = peer.map_or_else(|| (peers.live)(), |peer| vec![peer]);
    let answers = asked.into_iter().map(|peer| (peers.row)(peer));
    let rows = join_all(answers).await;
    let rows = rows.into_iter().flatten().map(ConfigEvent::PeerRow);
    let events = rows.chain([ConfigEvent::PeersDone]);
    events.map(DriverEvent::State).collect()
}

/// One load of a version's pages.
struct PageLoad {
    fresh: bool,
    store: ManifestStore,
    peers: Arc<ConfigPeers>,
    ahead: Option<InstanceId>,
    view: Arc<FleetView>,
    row: VersionRow,
}

impl PageLoad {
    async fn run(self) -> Vec<DriverEvent> {
        let mut fetch = PageFetch::new(&self.store, &self.peers);
        fetch.prefer(self.ahead);
        if self.fresh {
            fetch.prefer_all();
        }
        let loaded = fetch.load(&self.view, &self.row).await;
        let event = match loaded {
            Ok(view) => DriverEvent::Loaded(self.row, Box::new(view)),
            Err(error) => {
                log::debug!("loading version {}: {error}", self.row.version);
                DriverEvent::State(ConfigEvent::LoadFailed(self.row))
            }
        };
        vec![event]
    }
}

#[allow(clippy::cast_precision_loss)]
fn count(snapshot: &ConfigSnapshot) {
    let in_force = snapshot.in_force.as_ref();
    let version = in_force.map_or(0, |held| held.row.version.get());
    metrics::gauge!("guavawell_config_version").set(version as f64);
    let counts = snapshot.counts;
    metrics::counter!("guavawell_config_enforced_total").absolute(counts.enforced);
    metrics::counter!("guavawell_config_table_behind_total").absolute(counts.table_behind);
    metrics::counter!("guavawell_config_forked_total").absolute(counts.forked);
    metrics::counter!("guavawell_config_failed_loads_total").absolute(counts.failed_loads);
}
