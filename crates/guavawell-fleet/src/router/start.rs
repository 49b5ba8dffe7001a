//! Starts a router from its settings, and stops it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use guavawell_core::backend::BackendTable;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::id::ManifestVersion;
use guavawell_core::instance::MemberRecord;
use guavawell_core::instance::draw_incarnation;
use guavawell_core::limits::RetryBudget;
use guavawell_core::manifest::ConfigSettings;
use guavawell_core::manifest::FleetView;
use guavawell_core::platform::PlatformRate;
use smol::Timer;
use thiserror::Error;

use super::admit::AdmissionDoor;
use super::background;
use super::bill;
use super::carry;
use super::carry::CarryCounts;
use super::carry::CarryDesk;
use super::carry::SharedDesk;
use super::core::RouterCore;
use super::doubt::DoubtBook;
use super::news;
use super::platform::PlatformClients;
use super::ports;
use super::settings;
use super::targets::backend_specs;
use super::targets::route_targets;
use crate::caller::BodyMemory;
use crate::caller::CallerListener;
use crate::claim::BatchSettings;
use crate::claim::ClaimDriver;
use crate::clock;
use crate::config::ConfigDriver;
use crate::config::ConfigHandle;
use crate::config::ConfigInputs;
use crate::config::ConfigSnapshot;
use crate::config::ManifestStore;
use crate::drill::LinkGate;
use crate::engine::EngineClient;
use crate::event::EventDraft;
use crate::event::EventLog;
use crate::gossip::DriverSettings;
use crate::gossip::GossipDriver;
use crate::order::ModelBook;
use crate::peer::PeerCall;
use crate::peer::PeerClient;
use crate::peer::PeerClientSettings;
use crate::peer::PeerRefusal;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::peer::PeerServer;
use crate::peer::PeerServerSettings;
use crate::settings::RouterSettings;
use crate::slot::SlotDriver;
use crate::task::TaskThreads;
use crate::tls::TlsError;

/// Looks at what is left during a graceful shutdown.
const DRAIN_LOOK: Duration = Duration::from_millis(20);

/// What a router is started with beside its settings.
#[derive(Clone, Debug)]
pub struct RouterOptions {
    /// Threads that serve requests.
    pub threads: usize,
    /// Cuts the router's links and freezes it, in failure drills.
    pub gate: LinkGate,
}

impl Default for RouterOptions {
    fn default() -> Self {
        Self {
            threads: 4,
            gate: LinkGate::default(),
        }
    }
}

/// Why a router cannot start.
#[derive(Debug, Error)]
pub enum RouterError {
    /// A port cannot be opened.
    #[error("cannot listen for {what} on {address}: {source}; choose a free address")]
    Listen {
        /// Whom the port is for.
        what: &'static str,
        /// The address in the settings.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// Certificates or keys cannot be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The event log, a thread or a key file fails.
    #[error("cannot start: {0}")]
    Io(#[from] io::Error),
}

/// Parts that others need before they can exist; set once at the start.
pub(super) type SharedParts = Arc<OnceLock<(Arc<SlotDriver>, ConfigHandle)>>;

/// A running router.
pub struct RouterHandle {
    pub(super) core: Arc<RouterCore>,
    pub(super) config: ConfigHandle,
    pub(super) gossip: GossipDriver,
    callers: Arc<CallerListener>,
    operators: Arc<CallerListener>,
    peers: PeerServer,
    desk: SharedDesk,
    threads: TaskThreads,
}

/// What was left when a graceful shutdown ran out of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrainReport {
    /// Requests that were still being answered.
    pub requests: usize,
    /// Slots that nobody took over.
    pub slots: usize,
    /// Billing records that were not durable. Who took their slots over
    /// writes them; where nobody did, they are lost with this instance.
    pub records: usize,
}

impl RouterHandle {
    /// Starts a router; it serves callers once a manifest is in force.
    ///
    /// # Errors
    ///
    /// [`RouterError`]: a port, a certificate or a thread is not to be had.
    pub async fn start(
        settings: RouterSettings,
        options: RouterOptions,
    ) -> Result<Self, RouterError> {
        let life = InstanceIncarnation {
            instance: settings.instance.id.clone(),
            incarnation: draw_incarnation(clock::now(), fastrand::u64(..)),
        };
        let events = EventLog::open(
            &settings::event_log(&settings),
            life.instance.clone(),
            life.incarnation,
        )?;
        let threads = TaskThreads::start("router", options.threads, &options.gate)?;
        let tasks = threads.spawner();
        let callers = ports::bind_callers(&settings).await?;
        let operators = ports::bind_operators(&settings).await?;
        let slots = SharedParts::default();
        let desk = SharedDesk::default();
        let peers = start_peers(&settings, &life, &events, &slots, &desk, &options.gate)?;
        let own = background::own_record(&settings, &life, callers.address(), peers.address());
        let gossip = start_gossip(&settings, own, &events, &options.gate).await?;
        let client = PeerClient::start(&PeerClientSettings {
            peers: settings.peers.clone(),
            life: life.clone(),
            tls: ports::client_tls(&settings)?,
            log: events.clone(),
        })?;
        let carriers = carry::carrier_link(&settings, &gossip, &client, &options.gate);
        let clients = PlatformClients::new(&settings, &options.gate, carriers.as_ref());
        carry::start(&settings, &clients, &desk, &tasks, &events);
        let PlatformClients {
            table,
            objects,
            instances,
            shares,
        } = clients;
        let view = Arc::new(ArcSwap::from_pointee(FleetView::empty()));
        let link = settings::peer_link(gossip.clone(), client.clone(), options.gate.clone());
        let journal = bill::start_journal(&settings, objects.clone(), &life, &tasks, &slots);
        let driver = SlotDriver::new(settings::slot_parts(
            &settings,
            &life,
            &events,
            tasks.clone(),
            &table,
            &view,
            &gossip,
            client,
            journal.clone(),
            &options.gate,
        ));
        let core = Arc::new(RouterCore {
            life: life.clone(),
            view,
            backends: ArcSwap::from_pointee(BackendTable::new(
                settings::routing(&settings),
                Vec::new(),
                clock::now(),
            )),
            models: Arc::new(ModelBook::default()),
            door: Arc::new(AdmissionDoor::new(settings::admission(&settings))),
            engines: EngineClient::new(settings::engines(&settings)),
            slots: driver,
            journal,
            doubts: DoubtBook::default(),
            claims: ClaimDriver::start(table.clone(), life.clone(), BatchSettings::default()),
            table: table.clone(),
            instances,
            shares,
            retries: RetryBudget::new(settings::retries(&settings)),
            events,
            tasks,
            gate: options.gate,
            bodies: BodyMemory::new(settings::body_memory(&settings)),
            chat: settings::chat_limits(&settings),
            leaving: AtomicBool::new(false),
            ready: AtomicBool::new(false),
            settings,
        });
        let folds = bill::run_folds(Arc::clone(&core), gossip.clone(), objects.clone());
        core.tasks.spawn(folds);
        let (config, handle, hints) = ConfigDriver::new(ConfigInputs {
            settings: ConfigSettings::default(),
            store: ManifestStore::new(table.without_relay(), objects.without_relay()),
            peers: news::config_peers(link, gossip.clone()),
            on_change: on_change(&core, &gossip),
        });
        // Set once: nothing else sets it.
        let _ = slots.set((Arc::clone(&core.slots), handle.clone()));
        let router = Self {
            core,
            config: handle,
            gossip,
            callers,
            operators,
            peers,
            desk,
            threads,
        };
        router.spawn_all(config, hints)?;
        Ok(router)
    }

    fn spawn_all(
        &self,
        config: ConfigDriver,
        hints: crate::config::ConfigHints,
    ) -> Result<(), RouterError> {
        let tasks = &self.core.tasks;
        tasks.spawn(config.run());
        background::spawn(&self.core, &self.gossip, hints);
        ports::serve_callers(&self.core, &self.callers)?;
        ports::serve_operators(&self.core, &self.operators, &self.config)?;
        let row = background::instance_row(
            self.callers.address(),
            self.operators.address(),
            self.peers.address(),
            &self.core,
        );
        tasks.spawn(background::publish_row(Arc::clone(&self.core), row));
        self.core.events.emit(EventDraft::new("instance.started"));
        Ok(())
    }

    /// Where callers reach it.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Where operators reach it.
    #[must_use]
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Where other routers' calls reach it.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Where gossip reaches it.
    #[must_use]
    pub fn gossip_address(&self) -> SocketAddr {
        self.gossip.address()
    }

    /// Whether callers are served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.core.is_ready()
    }

    /// The manifest version in force here.
    #[must_use]
    pub fn manifest_version(&self) -> ManifestVersion {
        self.core.view.load().version()
    }

    /// Slots held now.
    #[must_use]
    pub fn held_slots(&self) -> usize {
        self.core.slots.held().len()
    }

    /// This router's share of the platform's writes.
    #[must_use]
    pub fn write_share(&self) -> PlatformRate {
        self.core.shares.writes.read().rate
    }

    /// Slots held now whose reservations another router acknowledges.
    #[must_use]
    pub fn witnessed_slots(&self) -> usize {
        self.core.slots.witnessed()
    }

    /// Attempts of this router whose outcome is in doubt.
    #[must_use]
    pub fn doubts(&self) -> usize {
        self.core.doubts.list().len()
    }

    /// Exchanges with the platform that peers asked this router to carry.
    #[must_use]
    pub fn carry_counts(&self) -> CarryCounts {
        self.desk.get().map(CarryDesk::counts).unwrap_or_default()
    }

    /// Whether an operator asked for a graceful shutdown.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.core.is_leaving()
    }

    /// Stops gracefully: announces leaving, finishes every answer, hands the
    /// slots over, writes its billing records, then stops. Bounded by
    /// `shutdown.drain_ms`, and a second more for the records.
    pub async fn drain(&self) -> DrainReport {
        let until = clock::now() + self.core.settings.shutdown.drain_ms;
        self.core.leaving.store(true, Ordering::Release);
        self.core.events.emit(EventDraft::new("instance.leaving"));
        log::info!("leaving");
        self.gossip.leave().await;
        self.callers.stop();
        let mut report = DrainReport::default();
        while clock::now() < until {
            // Looked at first, and in this order: a closed port adds no
            // connection, and without one no request comes.
            let is_quiet = self.callers.is_closed() && self.callers.open() == 0;
            report.requests = self.callers.busy();
            let handed = report.requests == 0 && self.core.slots.leave();
            report.slots = self.core.slots.held().len();
            if handed && is_quiet {
                break;
            }
            Timer::after(DRAIN_LOOK).await;
        }
        // A charge that another router tells after the last segment would be
        // left in memory: it goes to the successor instead.
        self.peers.stop();
        report.records = bill::flush_journal(&self.core.journal, until).await;
        if report != DrainReport::default() {
            log::warn!(
                "left with {} requests under way, {} slots held, {} billing records not durable",
                report.requests,
                report.slots,
                report.records
            );
        }
        self.core.events.emit(
            EventDraft::new("instance.stopped")
                .field("requests", report.requests)
                .field("slots", report.slots)
                .field("records", report.records),
        );
        self.kill();
        report
    }

    /// Stops at once, as a crash would: nothing is handed over.
    pub fn kill(&self) {
        // A frozen thread could not be joined.
        self.core.gate.set_paused(false);
        self.callers.stop();
        self.operators.stop();
        self.peers.stop();
        self.threads.stop();
        self.core.events.close();
    }
}

fn start_peers(
    settings: &RouterSettings,
    life: &InstanceIncarnation,
    events: &EventLog,
    slots: &SharedParts,
    desk: &SharedDesk,
    gate: &LinkGate,
) -> Result<PeerServer, RouterError> {
    let peers = PeerServerSettings {
        peers: settings.peers.clone(),
        life: life.clone(),
        tls: ports::peer_tls(settings)?,
        log: events.clone(),
    };
    let slots = Arc::clone(slots);
    let desk = Arc::clone(desk);
    let gate = gate.clone();
    let handler = move |call: PeerCall| {
        let slots = Arc::clone(&slots);
        let desk = Arc::clone(&desk);
        let gate = gate.clone();
        async move {
            gate.hold(&call.from.instance).await;
            let parts = slots.get().zip(desk.get());
            let Some(((driver, config), desk)) = parts else {
                return PeerReply::Refused(PeerRefusal::Overloaded);
            };
            if let PeerRequest::Relay(ask) = &call.request {
                let reply = desk.answer(ask).await;
                gate.hold(&call.from.instance).await;
                return reply;
            }
            if let Some(reply) = news::answer_news(config, &call.request) {
                return reply;
            }
            let reply = driver.answer(call.request).await;
            gate.hold(&call.from.instance).await;
            reply
        }
    };
    PeerServer::start(&peers, handler).map_err(|source| RouterError::Listen {
        what: "peers",
        address: settings.peers.listen,
        source,
    })
}

async fn start_gossip(
    settings: &RouterSettings,
    own: MemberRecord,
    events: &EventLog,
    gate: &LinkGate,
) -> Result<GossipDriver, RouterError> {
    let keys = settings::gossip_keys(settings)?;
    let driver = DriverSettings {
        seeds: settings.gossip.seeds.clone(),
        membership: settings::membership(settings),
        gate: gate.clone(),
        ..DriverSettings::new(settings.gossip.listen, keys)
    };
    let listener = background::member_listener(events.clone());
    GossipDriver::bind(driver, own, listener)
        .await
        .map_err(|source| RouterError::Listen {
            what: "gossip",
            address: settings.gossip.listen,
            source,
        })
}

/// Takes a version in force into use: view, backend servers, admission.
fn on_change(
    core: &Arc<RouterCore>,
    gossip: &GossipDriver,
) -> Box<dyn Fn(&ConfigSnapshot) + Send + Sync> {
    let core = Arc::clone(core);
    let gossip = gossip.clone();
    Box::new(move |snapshot| {
        let Some(in_force) = &snapshot.in_force else {
            return;
        };
        core.view.store(Arc::clone(&snapshot.view));
        core.backends.rcu(|table| {
            let specs = core.models.correct(backend_specs(&snapshot.view));
            table.with_specs(specs, clock::now())
        });
        core.door.set_targets(route_targets(&snapshot.view));
        gossip.set_manifest(in_force.row.version);
        core.ready.store(true, Ordering::Release);
        core.events
            .emit(EventDraft::new("config.in_force").field("version", in_force.row.version));
    })
}
