//! State that all requests of the process share, and its updates.

mod servers;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use event_listener::Event;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ClientLimits;
use guavawell_core::forward::ConnectTimeout;
use guavawell_core::forward::FeedAge;
use guavawell_core::forward::ForwardConfig;
use guavawell_core::forward::LinkCongestion;
use guavawell_core::forward::MemoryUse;
use guavawell_core::forward::RetryAllowance;
use guavawell_core::forward::RetryLimits;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::ServerPaths;
use guavawell_core::forward::ServerTable;
use guavawell_core::id::ServiceId;
use guavawell_fleet::event::EventDraft;
use guavawell_fleet::event::EventLog;

use crate::body_memory::ArrivingBodies;
use crate::budget::BudgetManager;
use crate::clients::ClientConnections;
use crate::clients::ListenerLimits;
use crate::clock::SteadyClock;
use crate::config::ConfigTracker;
use crate::config::FetchedConfig;
use crate::connections::CallerConnections;
use crate::continuation::StreamOrigins;
use crate::crash::CrashChecks;
use crate::http::HttpChannel;
use crate::limit_news::LimitNews;
use crate::link::InstanceLink;
use crate::overload::ProcessorLoad;
use crate::peer::PeerRegistry;
use crate::poison::PoisonTracker;
use crate::poison::parts::PartTracker;
use crate::pool::ConnectionPool;
use crate::read_ahead::WaitingResponses;
use crate::settings::ForwardSettings;
use crate::suspension::SuspensionMonitor;
use crate::tunnel::CarriedTunnels;
use crate::warmth::WarmthQueries;
use crate::zone_history::ZoneHistory;

/// The phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterPhase {
    /// The process accepts requests.
    Serving,
    /// The process began to leave at this time. It still accepts the requests that
    /// [`ForwardRouter::can_finish`] allows.
    Leaving(ClockTime),
    /// The process began to leave at this time. The wait for running requests is
    /// over, and no new ones are accepted.
    Closing(ClockTime),
}

/// A router that forwards requests, with all state of the process.
#[derive(Debug)]
pub struct ForwardRouter {
    /// The settings.
    pub settings: ForwardSettings,
    /// The clock.
    pub clock: SteadyClock,
    /// The event log.
    pub log: EventLog,
    /// The configuration in force.
    pub configs: Rc<ConfigTracker>,
    /// The known backend servers.
    pub servers: RefCell<ServerTable>,
    /// Notified when a server has restarted under the same id.
    pub restart_event: Event,
    /// Notified when the configuration, the list of servers or the suspected
    /// requests were read.
    state_loaded: Event,
    /// Whether the list of servers was read.
    pub servers_read: Cell<bool>,
    /// Newest revision of the list of servers that was read.
    pub server_revision: Cell<u64>,
    /// The age of the list of servers.
    server_age: Cell<FeedAge>,
    /// Notified when a query for the list of servers was answered.
    servers_answered: Event,
    /// Since when a query for the list of servers is due at once.
    servers_due: Cell<Option<ClockTime>>,
    /// Notified when such a query becomes due.
    refresh_event: Event,
    /// Whether all budgets have been read once. Budgets that are added later do
    /// not make the process unready.
    budgets_opened: Cell<bool>,
    /// The reading of changes of evacuated zones that were missed.
    pub zone_history: ZoneHistory,
    /// Questions to servers whether they are cold.
    pub warmth_queries: WarmthQueries,
    /// Recent requests and retries of each service, which limit further retries.
    pub retry_allowance: RefCell<RetryAllowance>,
    /// Recent connection times, from which the connect timeout is derived.
    pub connect_timeout: Cell<ConnectTimeout>,
    /// Changes of servers' rate limits that other instances are to be told.
    pub limit_news: LimitNews,
    /// Whether this instance reaches the servers of each service.
    pub paths: RefCell<ServerPaths>,
    /// Notified when the servers of a service get out of reach.
    pub path_changed: Event,
    /// Connections to servers that this instance carries for others.
    pub(crate) carried: CarriedTunnels,
    /// Detects from connection times whether this instance's network link is
    /// full.
    link_congestion: Cell<LinkCongestion>,
    /// This instance's network link.
    pub link: InstanceLink,
    /// Idle connections to servers.
    pub pool: RefCell<ConnectionPool>,
    /// The other instances.
    pub peers: Rc<PeerRegistry>,
    /// The budgets of the organisations.
    pub budgets: Rc<BudgetManager>,
    /// Requests that are suspected of crashing servers.
    pub poison: Rc<PoisonTracker>,
    /// Where streams began that callers may continue.
    pub origins: StreamOrigins,
    /// What is known about parts of prompts that crash servers.
    pub parts: PartTracker,
    /// Checks whether servers that broke off responses have crashed.
    pub crashes: CrashChecks,
    /// Whether the process was suspended.
    pub suspension: SuspensionMonitor,
    /// How full the processor is.
    pub processor_load: ProcessorLoad,
    /// The callers' open connections.
    pub callers: Rc<CallerConnections>,
    /// Open connections to the ports of readiness and metrics.
    pub probes: Rc<ClientConnections>,
    /// Open connections to the port of other instances, from clients that have not proved
    /// that they are instances.
    pub strangers: Rc<ClientConnections>,
    /// Number of requests being served.
    pub held_requests: Cell<usize>,
    /// Bytes of their bodies, and of responses that are read ahead.
    pub held_bytes: Cell<usize>,
    /// Bodies that are being received.
    pub(crate) arriving: ArrivingBodies,
    /// Bytes of them that have not arrived.
    pub expected_body_bytes: Cell<usize>,
    /// Responses that wait for their callers.
    pub waiting: WaitingResponses,
    /// Number of requests that are being received, or refused without having been
    /// received completely.
    pub pending_requests: Cell<usize>,
    /// The phase of the process.
    pub phase: Cell<RouterPhase>,
    /// Notified when the last phase begins.
    closing_event: Event,
    /// When the platform last failed to answer.
    pub platform_failed_at: Cell<Option<ClockTime>>,
}

impl ForwardRouter {
    /// Creates a router that has read neither a configuration nor servers.
    #[must_use]
    pub fn new(
        settings: ForwardSettings,
        clock: SteadyClock,
        log: EventLog,
        configs: Rc<ConfigTracker>,
        budgets: Rc<BudgetManager>,
        poison: Rc<PoisonTracker>,
    ) -> Self {
        let limits = ClientLimits::new(&settings.clients, &settings.capacity);
        let clients = |listener, connections| {
            let limits = ListenerLimits {
                listener,
                connections,
                head_bytes: limits.head_bytes,
            };
            Rc::new(ClientConnections::new(limits, clock, log.clone()))
        };
        Self {
            callers: Rc::new(CallerConnections::new(clients("callers", limits.callers))),
            probes: clients("probes", limits.probes),
            strangers: clients("instances", limits.strangers),
            clock,
            log,
            configs,
            servers: RefCell::new(ServerTable::new(settings.regions.clone())),
            restart_event: Event::new(),
            state_loaded: Event::new(),
            servers_read: Cell::new(false),
            server_revision: Cell::new(0),
            server_age: Cell::default(),
            servers_answered: Event::new(),
            servers_due: Cell::new(None),
            refresh_event: Event::new(),
            budgets_opened: Cell::new(false),
            zone_history: ZoneHistory::default(),
            warmth_queries: WarmthQueries::default(),
            retry_allowance: RefCell::default(),
            connect_timeout: Cell::default(),
            limit_news: LimitNews::default(),
            paths: RefCell::default(),
            path_changed: Event::new(),
            carried: CarriedTunnels::default(),
            link_congestion: Cell::new(LinkCongestion::new(settings.congestion)),
            link: InstanceLink::new(&settings, Rc::clone(budgets.peers().meter())),
            pool: RefCell::default(),
            settings,
            peers: Rc::clone(budgets.peers()),
            budgets,
            poison,
            origins: StreamOrigins::default(),
            parts: PartTracker::default(),
            crashes: CrashChecks::default(),
            suspension: SuspensionMonitor::start(),
            processor_load: ProcessorLoad::default(),
            held_requests: Cell::new(0),
            held_bytes: Cell::new(0),
            arriving: ArrivingBodies::default(),
            expected_body_bytes: Cell::new(0),
            waiting: WaitingResponses::default(),
            pending_requests: Cell::new(0),
            phase: Cell::new(RouterPhase::Serving),
            closing_event: Event::new(),
            platform_failed_at: Cell::new(None),
        }
    }

    /// Handles the store's answer to a query for the configuration that was
    /// sent at `sent_at`, and wakes tasks that wait for a configuration.
    pub fn config_received(&self, fetched: FetchedConfig<'_>, sent_at: ClockTime) {
        let Some(config) = self.configs.store_answered(fetched, sent_at) else {
            return;
        };
        self.apply_paid_amounts(&config);
        self.config_changed();
    }

    /// Wakes tasks that wait for a configuration.
    pub fn config_changed(&self) {
        self.state_loaded.notify(usize::MAX);
    }

    /// Updates the amounts that organisations have paid. Only a configuration
    /// read from the store raises them, never one received from another
    /// instance.
    fn apply_paid_amounts(&self, config: &ForwardConfig) {
        for entry in &config.organisations {
            if let Some(paid) = entry.paid {
                self.budgets.set_paid(&entry.id, paid.get(), config.version);
            }
        }
    }

    /// Records that the platform failed to answer.
    pub fn platform_failed(&self) {
        self.platform_failed_at.set(Some(self.clock.now()));
    }

    /// Whether the process should receive new connections.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let serving = self.phase.get() == RouterPhase::Serving;
        let has_state = self.has_initial_state();
        if has_state && !self.budgets_opened.get() {
            self.budgets_opened.set(self.budgets.is_open());
        }
        let open = if self.link.decides() {
            self.link.is_ready()
        } else {
            !self.link_congestion.get().is_full(self.clock.now())
        };
        let settled = self.zone_history.is_settled();
        serving && has_state && settled && self.budgets_opened.get() && open
    }

    /// Records how long a connection to a server took to be accepted or
    /// refused; `None` if it timed out.
    pub fn note_connect_time(&self, took: Option<ClockSpan>) {
        let now = self.clock.now();
        if let Some(took) = took {
            self.link.note_connect(took, now);
        }
        let mut link = self.link_congestion.get();
        let before = link.is_full(now);
        match took {
            Some(took) => link.answered(took, now),
            None => link.timed_out(now),
        }
        self.link_congestion.set(link);
        if before != link.is_full(now) && !self.link.decides() {
            let draft = EventDraft::new(if before { "link.open" } else { "link.full" })
                .field("connect_ms", took.map_or(0, ClockSpan::as_millis))
                .field("held", self.held_requests.get());
            self.log.emit(draft);
        }
    }

    /// Whether a configuration, the list of servers and the suspected requests
    /// were read.
    #[must_use]
    pub fn has_initial_state(&self) -> bool {
        self.has_lists() && self.poison.has_loaded_rows()
    }

    /// Whether a configuration and the list of servers were read.
    pub(crate) fn has_lists(&self) -> bool {
        self.configs.current().is_some() && self.servers_read.get()
    }

    /// Whether responses are read before their callers take them.
    #[must_use]
    pub const fn reads_ahead(&self) -> bool {
        self.settings.expects_overload && self.settings.capacity.memory.is_some()
    }

    /// What requests and responses take of the memory that is meant for them.
    #[must_use]
    pub const fn memory_use(&self) -> MemoryUse {
        MemoryUse {
            limit: self.settings.admission.body_bytes,
            held: self.held_bytes.get(),
        }
    }

    /// Waits until [`has_initial_state`](Self::has_initial_state) is true.
    pub async fn wait_for_initial_state(&self) {
        self.wait_loaded(|| self.has_initial_state()).await;
    }

    /// Waits until a condition on what was read from the store is true.
    pub(crate) async fn wait_loaded(&self, is_loaded: impl Fn() -> bool) {
        loop {
            let loaded = self.state_loaded.listen();
            if is_loaded() {
                return;
            }
            loaded.await;
        }
    }

    /// Records that the suspected requests were read.
    pub fn suspects_loaded(&self) {
        self.poison.set_rows_loaded();
        self.state_loaded.notify(usize::MAX);
    }

    /// Keeps an open connection to a server that no request uses yet.
    pub(crate) fn keep_idle(&self, server: &ServerIncarnation, channel: HttpChannel) {
        let now = self.clock.now();
        let max_idle = self.settings.times.idle;
        self.pool.borrow_mut().put(server, channel, now, max_idle);
    }

    /// Whether the process is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.phase.get() != RouterPhase::Serving
    }

    /// Whether a caller's connection may be kept open after its present response.
    #[must_use]
    pub fn keeps_connections(&self) -> bool {
        !self.is_leaving()
            && !self.processor_load.is_overloaded()
            && !self.link.ends_connections(self.clock.now())
    }

    /// Whether all new requests are refused.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        matches!(self.phase.get(), RouterPhase::Closing(_))
    }

    /// Refuses new requests from now on, and those that are not received completely,
    /// so that callers retry at other instances instead of being aborted.
    pub fn begin_closing(&self, began: ClockTime) {
        self.phase.set(RouterPhase::Closing(began));
        self.closing_event.notify(usize::MAX);
    }

    /// Waits until [`is_closing`](Self::is_closing) is true.
    pub async fn wait_for_closing(&self) {
        while !self.is_closing() {
            let closing = self.closing_event.listen();
            closing.await;
        }
    }

    /// Number of requests that are being received, served, refused or carried for
    /// other instances.
    #[must_use]
    pub fn unfinished_requests(&self) -> usize {
        let carried = self.carried.busy_count(self.clock.now());
        self.held_requests.get() + self.pending_requests.get() + carried
    }

    /// When a leaving process ends at the latest: at the end of the grace period.
    #[must_use]
    pub fn exit_at(&self) -> Option<ClockTime> {
        Some(self.left_since()? + self.settings.times.grace)
    }

    /// When the process began to leave.
    fn left_since(&self) -> Option<ClockTime> {
        match self.phase.get() {
            RouterPhase::Serving => None,
            RouterPhase::Leaving(began) | RouterPhase::Closing(began) => Some(began),
        }
    }

    /// Until when a leaving process waits for running requests before it returns its
    /// grants: the end of the grace period, less the time for returning them.
    #[must_use]
    pub fn abort_at(&self) -> Option<ClockTime> {
        let began = self.left_since()?;
        let times = &self.settings.times;
        let rest = times
            .grace
            .as_millis()
            .saturating_sub(times.give_back.as_millis());
        Some(began + ClockSpan::from_millis(rest))
    }

    /// Whether a request may be accepted that ends at `deadline` at the latest.
    /// A leaving process accepts all requests for the announcement time, and
    /// after that only those that end before [`abort_at`](Self::abort_at).
    #[must_use]
    pub fn can_finish(&self, deadline: ClockTime) -> bool {
        let began = match self.phase.get() {
            RouterPhase::Serving => return true,
            RouterPhase::Leaving(began) => began,
            RouterPhase::Closing(_) => return false,
        };
        let announced = self.clock.now().since(began) <= self.settings.times.announce;
        announced || self.abort_at().is_none_or(|abort_at| deadline <= abort_at)
    }

    /// Counts a request, once for all its attempts: the more requests, the more
    /// retries are allowed.
    pub fn count_request(&self, service: &ServiceId) {
        let window = self.settings.retry_limits.window;
        let now = self.clock.now();
        self.retry_allowance
            .borrow_mut()
            .count_request(service, now, window);
    }

    /// Counts a retry if one is still allowed for the service; false if none is.
    #[must_use]
    pub fn take_retry(&self, service: &ServiceId) -> bool {
        let limits = self.retry_limits();
        let now = self.clock.now();
        let mut allowance = self.retry_allowance.borrow_mut();
        allowance.take(service, now, &limits)
    }

    /// Whether a retry is still allowed for the service.
    #[must_use]
    pub fn may_take_retry(&self, service: &ServiceId) -> bool {
        let limits = self.retry_limits();
        let now = self.clock.now();
        let mut allowance = self.retry_allowance.borrow_mut();
        allowance.has_room(service, now, &limits)
    }

    fn retry_limits(&self) -> RetryLimits {
        let limits = self.settings.retry_limits;
        RetryLimits {
            instances: limits.instances.max(self.budgets.instances()),
            ..limits
        }
    }
}
