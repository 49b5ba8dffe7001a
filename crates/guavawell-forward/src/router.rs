//! What all requests of this process share, and what changes its beliefs.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use event_listener::Event;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ConnectTimeout;
use guavawell_core::forward::FeedAge;
use guavawell_core::forward::ForwardConfig;
use guavawell_core::forward::LinkCongestion;
use guavawell_core::forward::RetryAllowance;
use guavawell_core::forward::RetryLimits;
use guavawell_core::forward::ServerEntry;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::ServerPhase;
use guavawell_core::forward::ServerTable;
use guavawell_core::id::BackendId;
use guavawell_core::id::ServiceId;
use guavawell_fleet::event::EventDraft;
use guavawell_fleet::event::EventLog;

use crate::budget::BudgetDesk;
use crate::clock::SteadyClock;
use crate::clock::wait_while;
use crate::config::ConfigDesk;
use crate::config::ConfigTold;
use crate::crash::CrashChecks;
use crate::peer::PeerDesk;
use crate::poison::PoisonDesk;
use crate::pool::ConnectionPool;
use crate::settings::ForwardSettings;

/// Where the process stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterPhase {
    /// It serves as far as it can.
    Serving,
    /// It was told to leave at this time.
    Leaving(ClockTime),
    /// Everything that was held has ended; it takes no request any more.
    Closing(ClockTime),
}

/// One forwarding router.
#[derive(Debug)]
pub struct ForwardRouter {
    /// Its settings.
    pub settings: ForwardSettings,
    /// Its clock.
    pub clock: SteadyClock,
    /// Its log.
    pub log: EventLog,
    /// The configuration in force here.
    pub configs: Rc<ConfigDesk>,
    /// Known backend servers.
    pub servers: RefCell<ServerTable>,
    /// A server started again under its id.
    pub reborn: Event,
    /// The configuration or the list of servers was read.
    informed: Event,
    /// Whether the list of servers was read.
    pub servers_read: Cell<bool>,
    /// How old the list of servers may be.
    server_age: Cell<FeedAge>,
    /// A question for the list was answered.
    servers_answered: Event,
    /// Whether budgets were open once; new ones do not close the door again.
    opened: Cell<bool>,
    /// Allowance for repeats.
    pub repeats: RefCell<RetryAllowance>,
    /// What tries to connect to servers tell of the way.
    pub connects: Cell<ConnectTimeout>,
    /// What connections to servers tell of the own link.
    link: Cell<LinkCongestion>,
    /// Idle connections to servers.
    pub pool: RefCell<ConnectionPool>,
    /// The other instances.
    pub peers: Rc<PeerDesk>,
    /// Budgets.
    pub budgets: Rc<BudgetDesk>,
    /// Requests that crash servers.
    pub poison: Rc<PoisonDesk>,
    /// Looks at whether servers that broke off have crashed.
    pub crashes: CrashChecks,
    /// Requests held now.
    pub held_requests: Cell<usize>,
    /// Bytes of request bodies held now.
    pub held_bytes: Cell<usize>,
    /// Where the process stands.
    pub phase: Cell<RouterPhase>,
    /// When the platform last failed to answer.
    pub trouble_at: Cell<Option<ClockTime>>,
}

impl ForwardRouter {
    /// A router that knows nothing yet.
    #[must_use]
    pub fn new(
        settings: ForwardSettings,
        clock: SteadyClock,
        log: EventLog,
        configs: Rc<ConfigDesk>,
        budgets: Rc<BudgetDesk>,
        poison: Rc<PoisonDesk>,
    ) -> Self {
        Self {
            clock,
            log,
            configs,
            servers: RefCell::default(),
            reborn: Event::new(),
            informed: Event::new(),
            servers_read: Cell::new(false),
            server_age: Cell::default(),
            servers_answered: Event::new(),
            opened: Cell::new(false),
            repeats: RefCell::default(),
            connects: Cell::default(),
            link: Cell::new(LinkCongestion::new(settings.congestion)),
            pool: RefCell::default(),
            settings,
            peers: Rc::clone(budgets.peers()),
            budgets,
            poison,
            crashes: CrashChecks::default(),
            held_requests: Cell::new(0),
            held_bytes: Cell::new(0),
            phase: Cell::new(RouterPhase::Serving),
            trouble_at: Cell::new(None),
        }
    }

    /// The store answered a question about the configuration sent at `asked`.
    pub fn config_told(&self, told: ConfigTold<'_>, asked: ClockTime) {
        let Some(config) = self.configs.store_answered(told, asked) else {
            return;
        };
        self.take_paid(&config);
        self.config_changed();
    }

    /// Another configuration may be in force.
    pub fn config_changed(&self) {
        self.informed.notify(usize::MAX);
    }

    /// What organisations paid. Only the store's own word raises it.
    fn take_paid(&self, config: &ForwardConfig) {
        for entry in &config.organisations {
            if let Some(paid) = entry.paid {
                self.budgets.set_paid(&entry.id, paid.get(), config.version);
            }
        }
    }

    /// The platform lists a server.
    pub fn list_server(&self, entry: ServerEntry) {
        let incarnation = entry.incarnation.clone();
        let phase = entry.phase;
        let mut servers = self.servers.borrow_mut();
        let before = servers.get(&incarnation).map(|held| held.phase);
        let former = servers.upsert(entry);
        let after = servers.get(&incarnation).map(|held| held.phase);
        drop(servers);
        if let Some(former) = former {
            self.end_life(&former, &incarnation);
        }
        if before != after {
            self.note_server("server.listed", &incarnation, phase);
        }
    }

    /// A server started again: nothing of its former life is used any more.
    fn end_life(&self, former: &ServerIncarnation, incarnation: &ServerIncarnation) {
        self.pool.borrow_mut().forget(former);
        self.reborn.notify(usize::MAX);
        let draft = EventDraft::new("server.reborn")
            .field("life", incarnation)
            .field("before", former);
        self.log.emit(draft);
    }

    /// Whether a server still takes requests: it may have begun to leave, or
    /// asked for a pause, while a connection to it was being opened.
    #[must_use]
    pub fn takes_requests(&self, incarnation: &ServerIncarnation) -> bool {
        let now = self.clock.now();
        let servers = self.servers.borrow();
        let entry = servers.get(incarnation);
        entry.is_some_and(|held| held.takes_requests(now) && !held.is_paused(now))
    }

    /// The platform no longer lists a server.
    pub fn unlist_server(&self, id: &BackendId) {
        let now = self.clock.now();
        let lapse = &self.settings.times.lapse;
        let phase = lapse.phase_after_removal(now, self.trouble_at.get());
        self.remove_server("server.unlisted", id, phase);
    }

    /// The platform's entry of a server cannot be read. Whoever wrote it, it
    /// names no server to use.
    pub fn distrust_server(&self, id: &BackendId) {
        self.remove_server("server.distrusted", id, ServerPhase::Unreadable);
    }

    fn remove_server(&self, kind: &str, id: &BackendId, phase: ServerPhase) {
        let mut servers = self.servers.borrow_mut();
        let Some(incarnation) = servers.newest(id).map(|entry| entry.incarnation.clone()) else {
            return;
        };
        servers.remove(&incarnation, phase);
        drop(servers);
        self.note_server(kind, &incarnation, phase);
    }

    /// The platform's whole list was read: servers that are not in it are
    /// unlisted, and those of `unreadable` entries are not used.
    pub fn list_all(&self, entries: Vec<ServerEntry>, unreadable: &[BackendId]) {
        let readable = entries.iter().map(|entry| &entry.incarnation.id);
        let mut listed: Vec<BackendId> = readable.chain(unreadable).cloned().collect();
        listed.sort();
        let known = self.servers.borrow();
        let ids = known
            .servers()
            .iter()
            .map(|entry| entry.incarnation.id.clone());
        let missing: Vec<BackendId> = ids.filter(|id| listed.binary_search(id).is_err()).collect();
        drop(known);
        for id in missing {
            self.unlist_server(&id);
        }
        for id in unreadable {
            self.distrust_server(id);
        }
        for entry in entries {
            self.list_server(entry);
        }
        self.servers_read.set(true);
        self.informed.notify(usize::MAX);
    }

    /// A question for the list of servers that was sent at `asked` was answered.
    pub fn servers_checked(&self, asked: ClockTime) {
        let mut age = self.server_age.get();
        age.check(asked);
        self.server_age.set(age);
        self.servers_answered.notify(usize::MAX);
    }

    /// A question for the list of servers that was sent at `asked` has no answer.
    pub fn servers_unanswered(&self, asked: ClockTime) {
        let mut age = self.server_age.get();
        let poll_timeout = self.settings.times.servers.poll_timeout();
        age.unanswered(asked, poll_timeout, self.clock.boot_now());
        self.server_age.set(age);
    }

    /// The age beyond which an answer about the servers is overdue.
    fn servers_overdue_after(&self) -> ClockSpan {
        let pace = self.settings.times.servers;
        pace.overdue_after(self.budgets.instances())
    }

    /// Whether an answer about the servers is overdue.
    #[must_use]
    pub fn servers_overdue(&self) -> bool {
        let age = self.server_age.get().at(self.clock.boot_now());
        age.is_some_and(|age| age > self.servers_overdue_after())
    }

    /// Whether a request waits for an answer about the servers.
    #[must_use]
    pub fn servers_awaited(&self) -> bool {
        let now = self.clock.boot_now();
        let overdue_after = self.servers_overdue_after();
        self.server_age.get().is_awaited(overdue_after, now)
    }

    /// Waits for an answer about the servers that is overdue, for `patience` at
    /// most.
    pub async fn await_servers(&self, patience: ClockSpan) {
        let awaited = || self.servers_awaited();
        if !wait_while(&self.clock, &self.servers_answered, patience, awaited).await {
            let mut age = self.server_age.get();
            age.wait_timed_out();
            self.server_age.set(age);
        }
    }

    fn note_server(&self, kind: &str, incarnation: &ServerIncarnation, phase: ServerPhase) {
        let phase = match phase {
            ServerPhase::Ready => "ready",
            ServerPhase::Leaving => "leaving",
            ServerPhase::Lapsed(_) => "lapsed",
            ServerPhase::Unreadable => "unreadable",
        };
        let draft = EventDraft::new(kind)
            .field("server", incarnation)
            .field("phase", phase);
        self.log.emit(draft);
    }

    /// The platform failed to answer.
    pub fn platform_failed(&self) {
        self.trouble_at.set(Some(self.clock.now()));
    }

    /// Whether new connections are welcome.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let serving = self.phase.get() == RouterPhase::Serving;
        let informed = self.is_informed();
        if informed && !self.opened.get() {
            self.opened.set(self.budgets.is_open());
        }
        let open = !self.link.get().is_full(self.clock.now());
        serving && informed && self.opened.get() && open
    }

    /// A connection to a server stood after a time, or was turned down; `None`
    /// if it did not in time.
    pub fn connected(&self, took: Option<ClockSpan>) {
        let now = self.clock.now();
        let mut link = self.link.get();
        let before = link.is_full(now);
        match took {
            Some(took) => link.connected(took, now),
            None => link.late(now),
        }
        self.link.set(link);
        if before != link.is_full(now) {
            let draft = EventDraft::new(if before { "link.open" } else { "link.full" })
                .field("connect_ms", took.map_or(0, ClockSpan::as_millis))
                .field("held", self.held_requests.get());
            self.log.emit(draft);
        }
    }

    /// Whether a configuration, the list of servers and what the fleet believes
    /// of requests that crash them are known.
    #[must_use]
    pub fn is_informed(&self) -> bool {
        self.configs.current().is_some() && self.servers_read.get() && self.poison.is_read()
    }

    /// Waits until a configuration and the list of servers are known.
    pub async fn wait_informed(&self) {
        loop {
            let informed = self.informed.listen();
            if self.is_informed() {
                return;
            }
            informed.await;
        }
    }

    /// What the fleet believes of requests that crash servers was read.
    pub fn poison_read(&self) {
        self.poison.rows_read();
        self.informed.notify(usize::MAX);
    }

    /// Whether the process was told to leave.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.phase.get() != RouterPhase::Serving
    }

    /// When requests that still run are cut, if the process is leaving.
    #[must_use]
    pub fn cut_at(&self) -> Option<ClockTime> {
        let (RouterPhase::Leaving(began) | RouterPhase::Closing(began)) = self.phase.get() else {
            return None;
        };
        let times = &self.settings.times;
        let rest = times
            .grace
            .as_millis()
            .saturating_sub(times.give_back.as_millis());
        Some(began + ClockSpan::from_millis(rest))
    }

    /// Whether a request that lasts until `ends_at` at most may be taken.
    #[must_use]
    pub fn can_finish(&self, ends_at: ClockTime) -> bool {
        let began = match self.phase.get() {
            RouterPhase::Serving => return true,
            RouterPhase::Leaving(began) => began,
            RouterPhase::Closing(_) => return false,
        };
        let announced = self.clock.now().since(began) <= self.settings.times.announce;
        announced || self.cut_at().is_none_or(|cut| ends_at <= cut)
    }

    /// Counts the first sending of a request.
    pub fn count_request(&self, service: &ServiceId) {
        let window = self.settings.repeats.window;
        let now = self.clock.now();
        self.repeats
            .borrow_mut()
            .count_request(service, now, window);
    }

    /// Asks for one repeat.
    #[must_use]
    pub fn take_repeat(&self, service: &ServiceId) -> bool {
        let settings = RetryLimits {
            instances: self
                .settings
                .repeats
                .instances
                .max(self.budgets.instances()),
            ..self.settings.repeats
        };
        let now = self.clock.now();
        self.repeats.borrow_mut().take(service, now, &settings)
    }
}
