//! Carries the book of budgets out: reservations that wait for the store, and
//! the writes that the book asks for.

mod borrow;
mod calls;
mod fleet_key;
mod lend;
mod lines;
mod peers;
mod reserve;
mod rows;
mod suspects;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::grant::BookSettings;
use guavawell_core::grant::FleetMember;
use guavawell_core::grant::GrantBook;
use guavawell_core::id::InstanceId;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::ZoneId;
use guavawell_fleet::event::EventLog;
use smol::LocalExecutor;
use smol::Timer;

use crate::clock::SteadyClock;
use crate::clock::wait_until;
use crate::peer::PeerDesk;
use crate::poison::PoisonDesk;
use crate::store::RowStore;

pub use reserve::BudgetRefusal;
pub use reserve::TokenReservation;

/// Table of the rows that bound what instances can have spent.
const LINE_TABLE: &str = "guavawell_lines";
/// Table of the organisations' budgets.
const BUDGET_TABLE: &str = "guavawell_budgets";
/// Table of the instances, in its unnamed part.
const PEER_TABLE: &str = "guavawell_instances";
/// The part of [`PEER_TABLE`].
const PEER_PART: &str = "";
/// Key of the one row in each part of the other tables.
const ROW_KEY: &str = "row";
/// Pause between looks at whether a row wants writing.
const LINE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between looks at whether a budget's row wants writing or reading.
const BUDGET_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause between questions for other instances' writes.
const POLL_INTERVAL: ClockSpan = ClockSpan::from_millis(500);
/// The same while an instance lacks tokens that another one may give back, so
/// that they move while the request waits.
const CONTENDED_POLL_INTERVAL: ClockSpan = ClockSpan::from_millis(120);
/// Further pause for each writer of a row, so that reading what all others
/// write takes a bounded part of the processor.
const POLL_INTERVAL_PER_WRITER: ClockSpan = ClockSpan::from_millis(15);
/// See [`POLL_INTERVAL_PER_WRITER`].
const CONTENDED_POLL_INTERVAL_PER_WRITER: ClockSpan = ClockSpan::from_millis(15);
/// Time from the start to the second look at the fleet's instances.
const FIRST_PEER_REFRESH_DELAY: Duration = Duration::from_millis(400);
/// Pause between looks at the fleet's instances.
const PEER_REFRESH_INTERVAL: Duration = Duration::from_secs(5);
/// Spread of the first writes of a row for each of its writers: all of them
/// start at one moment and would turn each other's writes down.
const START_JITTER_PER_WRITER: Duration = Duration::from_millis(8);
/// Pause after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// The budgets of this process.
#[derive(Debug)]
pub struct BudgetManager {
    clock: SteadyClock,
    log: EventLog,
    store: RowStore,
    instance: InstanceId,
    /// Its availability zone.
    zone: ZoneId,
    /// The other instances.
    peers: Rc<PeerDesk>,
    /// Requests that crash servers, which instances tell each other of.
    poison: Rc<PoisonDesk>,
    book: RefCell<GrantBook>,
    /// Something in the book changed for the better.
    changed: Event,
    /// The lines want writing.
    line_wakeup: Event,
    /// Budgets' rows want writing.
    budget_wakeup: Event,
    /// Usual time of the store's answers, in milliseconds.
    mean_latency_ms: Cell<u64>,
    /// The newest version that the store has told.
    newest_version: Cell<u64>,
    /// When the store began to fail, if it does.
    failing_since: Cell<Option<ClockTime>>,
    /// Calls that the store turned down for its rate since the last log line
    /// about them, and when that was.
    rate_limited: Cell<(u64, Option<ClockTime>)>,
}

impl BudgetManager {
    /// A manager that knows nothing yet.
    #[must_use]
    pub fn new(
        member: FleetMember,
        settings: BookSettings,
        clock: SteadyClock,
        log: EventLog,
        store: RowStore,
        poison: Rc<PoisonDesk>,
        peers: Rc<PeerDesk>,
    ) -> Self {
        let nonce = fastrand::u64(1..);
        Self {
            clock,
            log,
            store,
            book: RefCell::new(GrantBook::new(
                member.instance.clone(),
                nonce,
                SteadyClock::ORIGIN,
                settings,
            )),
            instance: member.instance,
            zone: member.zone,
            peers,
            poison,
            changed: Event::new(),
            line_wakeup: Event::new(),
            budget_wakeup: Event::new(),
            mean_latency_ms: Cell::new(20),
            newest_version: Cell::new(0),
            failing_since: Cell::new(None),
            rate_limited: Cell::default(),
        }
    }

    /// The other instances.
    #[must_use]
    pub const fn peers(&self) -> &Rc<PeerDesk> {
        &self.peers
    }

    /// The configuration says what an organisation paid.
    pub fn set_paid(&self, organisation: &OrganisationId, paid: u64, version: u64) {
        let mut book = self.book.borrow_mut();
        book.set_paid(organisation, paid, version);
        self.budget_wakeup.notify(usize::MAX);
    }

    /// Whether every budget was read once.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.book.borrow().is_open()
    }

    /// Instances of the fleet that are reckoned with.
    #[must_use]
    pub fn instances(&self) -> usize {
        self.book.borrow().instances()
    }

    /// Starts the tasks that write rows and talk to other instances.
    pub fn start(self: &Rc<Self>, executor: &Rc<LocalExecutor<'static>>) {
        let manager = Rc::clone(self);
        let task_executor = Rc::clone(executor);
        let startup = async move {
            // Who holds what is known first, so that a fleet that starts as a
            // whole does not write a hundred entries into each row.
            manager.load_key().await;
            manager.register().await;
            while !manager.read_peers().await {
                Timer::after(retry_delay()).await;
            }
            manager.start_boot().await;
            task_executor
                .spawn(Rc::clone(&manager).maintain_peers())
                .detach();
            task_executor
                .spawn(Rc::clone(&manager).send_due_returns())
                .detach();
            let suspect_manager = Rc::clone(&manager);
            let suspect_executor = Rc::clone(&task_executor);
            task_executor
                .spawn(async move { suspect_manager.broadcast_suspects(&suspect_executor).await })
                .detach();
            let budget_manager = Rc::clone(&manager);
            let budget_executor = Rc::clone(&task_executor);
            task_executor
                .spawn(async move { budget_manager.spawn_budget_tasks(&budget_executor).await })
                .detach();
            let change_manager = Rc::clone(&manager);
            task_executor
                .spawn(async move { change_manager.poll_changes().await })
                .detach();
            manager.maintain_lines().await;
        };
        executor.spawn(startup).detach();
    }
}

/// A pause after a failure, spread so that instances do not come back at one
/// moment.
fn retry_delay() -> Duration {
    RETRY_DELAY + RETRY_DELAY.mul_f64(fastrand::f64())
}
