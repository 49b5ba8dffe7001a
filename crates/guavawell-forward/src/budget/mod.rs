//! Token budgets of this instance.
//!
//! `guavawell_core::grant::GrantLedger` is the ledger: it decides without I/O what may
//! be reserved and which rows must be written. This module makes the calls to the
//! store and to other instances, and lets requests wait for their results.
//!
//! In a large fleet only a few instances, the holders, have tokens of an
//! organisation; the others borrow tokens from them for each request. A boot is one
//! run of an instance's process.

mod borrow;
mod calls;
mod fleet_key;
mod left;
mod lend;
mod limits;
mod peers;
mod questions;
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
use guavawell_core::grant::DemandSettings;
use guavawell_core::grant::FleetMember;
use guavawell_core::grant::GrantLedger;
use guavawell_core::grant::LedgerSettings;
use guavawell_core::grant::QuestionPace;
use guavawell_core::id::InstanceId;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::ZoneId;
use guavawell_fleet::event::EventLog;
use smol::LocalExecutor;
use smol::Timer;

use self::questions::SharedQuestion;
use crate::clock::SteadyClock;
use crate::clock::wait_until;
use crate::peer::PeerRegistry;
use crate::poison::PoisonTracker;
use crate::store::RowStore;

pub use reserve::BudgetRefusal;
pub use reserve::TokenReservation;

/// Table of the spending limits: one row per instance.
const LIMIT_TABLE: &str = "guavawell_lines";
/// Table of the organisations' budgets: one row per organisation.
const BUDGET_TABLE: &str = "guavawell_budgets";
/// Table of the running instances; all its rows are in [`PEER_PART`].
const PEER_TABLE: &str = "guavawell_instances";
/// Part of [`PEER_TABLE`] that holds the rows.
const PEER_PART: &str = "";
/// Key of the single row in each part of the other tables.
const ROW_KEY: &str = "row";
/// Interval between checks whether the row of spending limits must be written.
const LIMIT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between checks whether a budget's row must be written or read.
const BUDGET_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between polls for other instances' writes to budget rows.
const POLL_INTERVAL: ClockSpan = ClockSpan::from_millis(500);
/// Poll interval while an instance lacks tokens that another one may give back:
/// short, so that the tokens arrive while the request still waits.
const CONTENDED_POLL_INTERVAL: ClockSpan = ClockSpan::from_millis(120);
/// Added to [`POLL_INTERVAL`] for each writer of a row, so that reading all
/// others' writes takes a bounded share of CPU time.
const POLL_INTERVAL_PER_WRITER: ClockSpan = ClockSpan::from_millis(15);
/// Added to [`CONTENDED_POLL_INTERVAL`] for each writer of a row.
const CONTENDED_POLL_INTERVAL_PER_WRITER: ClockSpan = ClockSpan::from_millis(15);
/// Delay between the first and second read of the fleet's instances.
const FIRST_PEER_REFRESH_DELAY: Duration = Duration::from_millis(400);
/// Interval between later reads of the fleet's instances.
const PEER_REFRESH_INTERVAL: Duration = Duration::from_secs(5);
/// Largest random delay of the first write of a row, for each of its writers:
/// instances that start together would make each other's conditional writes fail.
const START_JITTER_PER_WRITER: Duration = Duration::from_millis(8);
/// Shortest delay before a failed call to the store is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// The budgets of this process, and the tasks that keep their rows up to date.
#[derive(Debug)]
pub struct BudgetManager {
    clock: SteadyClock,
    log: EventLog,
    store: RowStore,
    instance: InstanceId,
    /// Availability zone of this instance.
    zone: ZoneId,
    /// The other instances.
    peers: Rc<PeerRegistry>,
    /// Requests suspected of crashing servers; instances share them directly.
    poison: Rc<PoisonTracker>,
    ledger: RefCell<GrantLedger>,
    /// How tokens follow callers' requests.
    demand: DemandSettings,
    /// The loans that are asked for now, for several requests each.
    open_questions: RefCell<Vec<Rc<SharedQuestion>>>,
    /// Whether others are asked for loans.
    question_pace: Cell<QuestionPace>,
    /// Notified when a change in the ledger may let a waiting reservation succeed.
    changed: Event,
    /// Notified when the spending limits may have to be written.
    limit_wakeup: Event,
    /// Notified when budget rows may have to be written, or a budget is new.
    budget_wakeup: Event,
    /// Moving average of the store's response time, in milliseconds.
    mean_latency_ms: Cell<u64>,
    /// The newest row version in any of the store's answers.
    newest_version: Cell<u64>,
    /// Time of the first failed call since the last one that succeeded.
    failing_since: Cell<Option<ClockTime>>,
    /// Number of calls that the store's rate limit rejected since the last event
    /// about it, and the time of that event.
    rate_limited: Cell<(u64, Option<ClockTime>)>,
}

impl BudgetManager {
    /// Creates a manager with an empty ledger.
    #[must_use]
    pub fn new(
        member: FleetMember,
        settings: LedgerSettings,
        clock: SteadyClock,
        log: EventLog,
        store: RowStore,
        poison: Rc<PoisonTracker>,
        peers: Rc<PeerRegistry>,
    ) -> Self {
        let nonce = fastrand::u64(1..);
        Self {
            clock,
            log,
            store,
            ledger: RefCell::new(GrantLedger::new(
                member.instance.clone(),
                nonce,
                SteadyClock::ORIGIN,
                settings,
            )),
            demand: settings.demand,
            open_questions: RefCell::default(),
            question_pace: Cell::default(),
            instance: member.instance,
            zone: member.zone,
            peers,
            poison,
            changed: Event::new(),
            limit_wakeup: Event::new(),
            budget_wakeup: Event::new(),
            mean_latency_ms: Cell::new(20),
            newest_version: Cell::new(0),
            failing_since: Cell::new(None),
            rate_limited: Cell::default(),
        }
    }

    /// The other instances.
    #[must_use]
    pub const fn peers(&self) -> &Rc<PeerRegistry> {
        &self.peers
    }

    /// Sets the tokens that an organisation paid for, by a version of the
    /// configuration.
    pub fn set_paid(&self, organisation: &OrganisationId, paid: u64, version: u64) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.set_paid(organisation, paid, version);
        self.budget_wakeup.notify(usize::MAX);
    }

    /// Whether this boot has begun and every budget that it holds was read.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.ledger.borrow().is_open()
    }

    /// The number of this boot of the instance; 0 until the store has confirmed it.
    pub(crate) fn boot(&self) -> u64 {
        self.ledger.borrow().boot()
    }

    /// The number of instances in the fleet, as the ledger assumes it.
    #[must_use]
    pub fn instances(&self) -> usize {
        self.ledger.borrow().instances()
    }

    /// Starts the tasks that read and write rows and call other instances.
    pub fn start(self: &Rc<Self>, executor: &Rc<LocalExecutor<'static>>) {
        let manager = Rc::clone(self);
        let task_executor = Rc::clone(executor);
        let startup = async move {
            // The instances, and so the holders of each budget, are known before
            // the first budget is written. Otherwise each instance of a fleet that
            // starts as a whole would add an entry to every budget's row.
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
            manager.maintain_limits().await;
        };
        executor.spawn(startup).detach();
    }
}

/// The delay before a retry, with jitter so that instances do not retry together.
fn retry_delay() -> Duration {
    RETRY_DELAY + RETRY_DELAY.mul_f64(fastrand::f64())
}
