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
use guavawell_core::grant::FleetMember;
use guavawell_core::grant::GrantLedger;
use guavawell_core::grant::LedgerSettings;
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
const LINE_TICK: Duration = Duration::from_millis(100);
/// Pause between looks at whether a budget's row wants writing or reading.
const BUDGET_TICK: Duration = Duration::from_millis(500);
/// Pause between questions for other instances' writes.
const FOLLOW_PAUSE: ClockSpan = ClockSpan::from_millis(500);
/// The same while an instance lacks tokens that another one may give back, so
/// that they move while the request waits.
const CONTENDED_PAUSE: ClockSpan = ClockSpan::from_millis(120);
/// Further pause for each writer of a row, so that reading what all others
/// write takes a bounded part of the processor.
const FOLLOW_EACH: ClockSpan = ClockSpan::from_millis(15);
/// See [`FOLLOW_EACH`].
const CONTENDED_EACH: ClockSpan = ClockSpan::from_millis(15);
/// Time from the start to the second look at the fleet's instances.
const FIRST_LOOK: Duration = Duration::from_millis(400);
/// Pause between looks at the fleet's instances.
const LOOK_PAUSE: Duration = Duration::from_secs(5);
/// Spread of the first writes of a row for each of its writers: all of them
/// start at one moment and would turn each other's writes down.
const START_SPREAD_EACH: Duration = Duration::from_millis(8);
/// Pause after a failed call to the store.
const FAULT_PAUSE: Duration = Duration::from_millis(150);

/// The budgets of this process.
#[derive(Debug)]
pub struct BudgetDesk {
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
    book: RefCell<GrantLedger>,
    /// Something in the book changed for the better.
    changed: Event,
    /// The lines want writing.
    line_bell: Event,
    /// Budgets' rows want writing.
    budget_bell: Event,
    /// Usual time of the store's answers, in milliseconds.
    answer_ms: Cell<u64>,
    /// The newest version that the store has told.
    newest: Cell<u64>,
    /// When the store began to fail, if it does.
    failing_since: Cell<Option<ClockTime>>,
    /// Calls that the store turned down for its rate since the last log line
    /// about them, and when that was.
    limited: Cell<(u64, Option<ClockTime>)>,
}

impl BudgetDesk {
    /// A desk that knows nothing yet.
    #[must_use]
    pub fn new(
        member: FleetMember,
        settings: LedgerSettings,
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
            book: RefCell::new(GrantLedger::new(
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
            line_bell: Event::new(),
            budget_bell: Event::new(),
            answer_ms: Cell::new(20),
            newest: Cell::new(0),
            failing_since: Cell::new(None),
            limited: Cell::default(),
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
        self.budget_bell.notify(usize::MAX);
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
        let desk = Rc::clone(self);
        let spawner = Rc::clone(executor);
        let begin = async move {
            // Who holds what is known first, so that a fleet that starts as a
            // whole does not write a hundred entries into each row.
            desk.learn_key().await;
            desk.announce().await;
            while !desk.read_peers().await {
                Timer::after(fault_pause()).await;
            }
            desk.open_lines().await;
            spawner.spawn(Rc::clone(&desk).keep_peers()).detach();
            spawner.spawn(Rc::clone(&desk).keep_accounts()).detach();
            let teller = Rc::clone(&desk);
            let spawner_of_calls = Rc::clone(&spawner);
            spawner
                .spawn(async move { teller.tell_suspects(&spawner_of_calls).await })
                .detach();
            let budgets = Rc::clone(&desk);
            let spawner_of_rows = Rc::clone(&spawner);
            spawner
                .spawn(async move { budgets.watch_budgets(&spawner_of_rows).await })
                .detach();
            let follower = Rc::clone(&desk);
            spawner
                .spawn(async move { follower.follow_budgets().await })
                .detach();
            desk.write_lines().await;
        };
        executor.spawn(begin).detach();
    }
}

/// A pause after a failure, spread so that instances do not come back at one
/// moment.
fn fault_pause() -> Duration {
    FAULT_PAUSE + FAULT_PAUSE.mul_f64(fastrand::f64())
}
