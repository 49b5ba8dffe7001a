//! Starts the fleet, and changes it while it runs.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use guavawell_core::clock::ClockTime;
use guavawell_core::finding::FindingList;
use guavawell_core::id::IdError;
use guavawell_core::id::InstanceId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::manifest::VersionProposal;
use guavawell_core::manifest::page::ManifestPages;
use guavawell_core::manifest::parse_manifest;
use guavawell_fleet::config::AcceptOutcome;
use guavawell_fleet::config::ManifestStore;
use guavawell_fleet::drill::LinkGate;
use guavawell_fleet::platform::Objects;
use guavawell_fleet::platform::PlatformError;
use guavawell_fleet::platform::PoolSettings;
use guavawell_fleet::platform::Table;
use guavawell_fleet::router::DrainReport;
use guavawell_fleet::router::RouterError;
use guavawell_fleet::router::RouterHandle;
use guavawell_fleet::router::RouterOptions;
use guavawell_fleet::settings::EventTarget;
use guavawell_fleet::settings::FilePath;
use guavawell_fleet::settings::RouterSettings;
use guavawell_fleet::settings::SecretText;
use guavawell_standin::engine::Engine;
use guavawell_standin::engine::EngineSettings;
use guavawell_standin::engine::ModelEntry;
use guavawell_standin::platform::Platform;
use guavawell_standin::platform::PlatformSettings;
use guavawell_standin::service::Service;
use guavawell_standin::service::ServiceSettings;
use smol::Timer;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use thiserror::Error;

use super::FleetSettings;
use super::drill::ZoneCuts;
use super::manifest::BackendLine;
use super::manifest::manifest_text;

/// Bucket of the object store.
const BUCKET: &str = "guavawell";

/// Time between two looks at whether the fleet is ready.
const READY_LOOK: Duration = Duration::from_millis(20);

/// Looks before a start counts as failed.
const MAX_READY_LOOKS: usize = 1_500;

/// Why a fleet cannot be started or changed.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A stand-in cannot start.
    #[error("a stand-in cannot start: {0}")]
    Standin(#[from] io::Error),
    /// A router cannot start.
    #[error(transparent)]
    Router(#[from] RouterError),
    /// The platform refused.
    #[error("the platform: {0}")]
    Platform(#[from] PlatformError),
    /// The manifest holds findings.
    #[error("{0}")]
    Manifest(#[from] FindingList),
    /// A made-up id is none.
    #[error(transparent)]
    Id(#[from] IdError),
    /// The manifest was not accepted.
    #[error("the manifest was not accepted: {0}")]
    NotAccepted(Box<str>),
    /// The fleet did not become ready.
    #[error("the fleet did not become ready in time: {0}")]
    NotReady(Box<str>),
}

/// A router of the fleet.
pub struct FleetRouter {
    /// Its id.
    pub id: InstanceId,
    /// Its zone's number.
    pub zone: usize,
    /// Where gossip reaches it.
    pub gossip: SocketAddr,
    /// Cuts its links and freezes it.
    pub gate: LinkGate,
    /// The router; absent once killed.
    pub handle: Option<RouterHandle>,
}

/// The whole fleet.
pub struct DemoFleet {
    /// How it was started.
    pub settings: FleetSettings,
    /// The platform.
    pub platform: Platform,
    /// Model engines, zone by zone.
    pub engines: Vec<Engine>,
    /// Plain services, zone by zone.
    pub services: Vec<Service>,
    /// Routers, zone by zone.
    pub routers: Vec<FleetRouter>,
    /// The manifest's backend servers.
    pub backends: Vec<BackendLine>,
    /// Links that are cut now.
    pub(super) cuts: ZoneCuts,
    /// Ports of routers that are gone: bound, but not listening.
    closed_ports: Vec<Socket>,
}

fn free() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

impl DemoFleet {
    /// Starts the stand-ins, accepts the manifest, starts the routers, and
    /// waits until all are ready and every slot is held.
    ///
    /// # Errors
    ///
    /// [`FleetError`].
    pub async fn start(settings: FleetSettings) -> Result<Self, FleetError> {
        // Boxed: a router's start is too large for a caller's stack frame.
        Box::pin(Self::start_all(settings)).await
    }

    async fn start_all(settings: FleetSettings) -> Result<Self, FleetError> {
        let platform = Platform::start(PlatformSettings {
            listen: free(),
            control: free(),
            ..PlatformSettings::default()
        })
        .await?;
        let mut fleet = Self {
            settings,
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            routers: Vec::new(),
            backends: Vec::new(),
            cuts: ZoneCuts::default(),
            closed_ports: Vec::new(),
        };
        fleet.start_backends().await?;
        fleet.accept_settings(ManifestVersion::default()).await?;
        for zone in 0..fleet.settings.zones {
            for _ in 0..fleet.settings.routers {
                fleet.start_router(zone).await?;
            }
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    async fn start_backends(&mut self) -> Result<(), FleetError> {
        for zone in 0..self.settings.zones {
            for index in 0..self.settings.engines {
                let id = format!("engine-{zone}-{index}");
                let engine = Engine::start(EngineSettings {
                    listen: free(),
                    control: free(),
                    name: id.as_str().into(),
                    models: self.preloaded_models(),
                    fence_orders: self.settings.fence_orders,
                    load_time: self.settings.load_time,
                    slots: self.settings.engine_slots,
                    token_time: self.settings.token_time,
                    ..self.settings.engine.clone()
                })
                .await?;
                self.add_backend(&id, zone, engine.address(), true);
                self.engines.push(engine);
            }
            for index in 0..self.settings.services {
                let id = format!("service-{zone}-{index}");
                let service = Service::start(ServiceSettings {
                    listen: free(),
                    control: free(),
                    name: id.as_str().into(),
                    ..ServiceSettings::default()
                })
                .await?;
                self.add_backend(&id, zone, service.address(), false);
                self.services.push(service);
            }
        }
        Ok(())
    }

    fn add_backend(&mut self, id: &str, zone: usize, address: SocketAddr, is_model: bool) {
        self.backends.push(BackendLine {
            id: id.into(),
            zone,
            address,
            is_model,
        });
    }

    fn preloaded_models(&self) -> Vec<ModelEntry> {
        let first = ModelEntry {
            model: "draft-7b".into(),
            version: "1".into(),
        };
        self.settings
            .preloaded
            .then_some(first)
            .into_iter()
            .collect()
    }

    /// Accepts the manifest that the settings describe on top of `base`.
    ///
    /// # Errors
    ///
    /// [`FleetError`].
    pub async fn accept_settings(&self, base: ManifestVersion) -> Result<(), FleetError> {
        let text = manifest_text(&self.settings, &self.backends);
        self.accept(&text, base).await
    }

    /// Accepts a manifest on top of `base`.
    ///
    /// # Errors
    ///
    /// [`FleetError`].
    pub async fn accept(&self, text: &str, base: ManifestVersion) -> Result<(), FleetError> {
        let manifest = parse_manifest("demo.toml", text)?;
        let pages = ManifestPages::of(&manifest);
        let store = ManifestStore::new(self.table(), self.objects());
        let proposal = VersionProposal {
            base,
            root: pages.root.digest,
            who: "demo".into(),
            when: ClockTime::from_millis(0),
            nonce: fastrand::u64(..),
        };
        match store.accept(&proposal, &pages).await? {
            AcceptOutcome::Accepted(_) => Ok(()),
            other => Err(FleetError::NotAccepted(format!("{other:?}").into())),
        }
    }

    /// A client of the platform's table.
    #[must_use]
    pub fn table(&self) -> Table {
        Table::new(self.platform.address(), PoolSettings::default())
    }

    /// A client of the platform's object store.
    #[must_use]
    pub fn objects(&self) -> Objects {
        Objects::new(self.platform.address(), BUCKET, PoolSettings::default())
    }

    /// Starts another router in a zone.
    ///
    /// # Errors
    ///
    /// [`FleetError`].
    pub async fn start_router(&mut self, zone: usize) -> Result<(), FleetError> {
        let name = format!("router-{zone}-{}", self.routers.len());
        let settings = self.router_settings(&name, zone)?;
        let gate = LinkGate::default();
        let options = RouterOptions {
            threads: self.settings.threads,
            gate: gate.clone(),
        };
        let handle = RouterHandle::start(settings, options).await?;
        self.routers.push(FleetRouter {
            id: name.parse()?,
            zone,
            gossip: handle.gossip_address(),
            gate,
            handle: Some(handle),
        });
        self.apply_cuts();
        Ok(())
    }

    fn router_settings(&self, name: &str, zone: usize) -> Result<RouterSettings, FleetError> {
        let mut settings = self.settings.router.clone();
        settings.instance.id = name.parse()?;
        settings.instance.zone = format!("zone-{zone}").parse()?;
        settings.callers.listen = free();
        settings.callers.plain_loopback = settings.callers.tls.is_none();
        settings.operators.listen = free();
        settings.operators.plain_loopback = settings.operators.tls.is_none();
        settings.peers.listen = free();
        settings.peers.plain_loopback = settings.peers.tls.is_none();
        settings.gossip.listen = free();
        settings.gossip.keys = vec![SecretText::new("the key that the demo's routers share")];
        settings.gossip.seeds = self.seeds();
        settings.platform.table = self.platform.address();
        settings.platform.objects = self.platform.address();
        settings.platform.instances = self.platform.address();
        settings.platform.bucket = BUCKET.into();
        if let EventTarget::File(folder) = &settings.log.events {
            let file = folder.as_path().join(format!("{name}.jsonl"));
            settings.log.events = EventTarget::File(FilePath::new(file));
        }
        Ok(settings)
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        self.live().map(RouterHandle::gossip_address).collect()
    }

    /// Routers that run.
    pub fn live(&self) -> impl Iterator<Item = &RouterHandle> {
        self.routers
            .iter()
            .filter_map(|router| router.handle.as_ref())
    }

    /// Where callers reach the routers that run.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.live().map(RouterHandle::caller_address).collect()
    }

    /// Kills a router as a crash would.
    pub fn kill(&mut self, index: usize) {
        if let Some(handle) = self.routers[index].handle.take() {
            handle.kill();
            self.close_port(handle);
        }
    }

    /// Stops a router gracefully.
    pub async fn drain(&mut self, index: usize) -> DrainReport {
        let Some(handle) = self.routers[index].handle.take() else {
            return DrainReport::default();
        };
        let report = handle.drain().await;
        self.close_port(handle);
        report
    }

    /// Keeps the port of a router that is gone, so that its callers are
    /// refused and do not meet whoever gets the port next.
    fn close_port(&mut self, handle: RouterHandle) {
        let address = handle.caller_address();
        drop(handle);
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None);
        if let Ok(socket) = socket
            && socket.set_reuse_address(true).is_ok()
            && socket.bind(&address.into()).is_ok()
        {
            self.closed_ports.push(socket);
        }
    }

    /// Waits until every router is ready and every slot is held and witnessed.
    ///
    /// # Errors
    ///
    /// [`FleetError::NotReady`] after half a minute.
    pub async fn wait_ready(&self) -> Result<(), FleetError> {
        let mut state = String::new();
        for _ in 0..MAX_READY_LOOKS {
            let ready = self.live().filter(|router| router.is_ready()).count();
            let slots: usize = self.live().map(RouterHandle::witnessed_slots).sum();
            let wanted = self.settings.zones * usize::from(self.settings.shards);
            if ready == self.live().count() && slots >= wanted {
                return Ok(());
            }
            state = format!("{ready} routers ready, {slots} of {wanted} slots witnessed");
            Timer::after(READY_LOOK).await;
        }
        Err(FleetError::NotReady(state.into()))
    }

    /// Gives running charges time to reach the table.
    pub async fn flush(&self, time: Duration) {
        Timer::after(time).await;
    }

    /// Kills every router.
    pub fn stop(&mut self) {
        for index in 0..self.routers.len() {
            self.kill(index);
        }
    }
}
