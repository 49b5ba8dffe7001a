//! A store, instances with their real ledgers, and writes that are lost or late.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::grant::BudgetRow;
use guavawell_core::grant::DemandSettings;
use guavawell_core::grant::FleetMember;
use guavawell_core::grant::GrantLedger;
use guavawell_core::grant::HolderSettings;
use guavawell_core::grant::LedgerSettings;
use guavawell_core::grant::LimitRow;
use guavawell_core::grant::ReserveAnswer;
use guavawell_core::id::InstanceId;
use guavawell_core::id::OrganisationId;

/// Tokens of one request.
pub const REQUEST: u64 = 10;

/// A fault injected into the protocol, which the search must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// The protocol is unchanged.
    NoFault,
    /// Writes are applied regardless of the row's version.
    Unconditional,
    /// A write without an answer is taken for rejected.
    ForgetLost,
    /// An instance's estimate of the store's time is ahead of the store.
    ClockAhead,
    /// A new boot takes a time before the end of the previous boot for its end.
    StaleSuccessor,
    /// A process takes its own start for earlier than it was.
    EarlyStart,
}

/// The outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Applied, and the answer arrives.
    Answered,
    /// Applied, but the answer is lost.
    AnswerLost,
    /// Not answered; it may be applied later.
    Late,
}

/// One step of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A second passes.
    Tick,
    /// An instance reads its limit row.
    ReadLimits(usize),
    /// An instance writes its limit row, if it has to.
    WriteLimits(usize, WriteOutcome),
    /// An instance reads the budget row.
    ReadBudget(usize),
    /// An instance writes the budget row, if it has to.
    WriteBudget(usize, WriteOutcome),
    /// A request arrives.
    Request(usize),
    /// A process ends and its successor starts.
    Restart(usize),
    /// The oldest late write is applied, if its condition still holds.
    ApplyLate,
    /// The operator pays for more tokens.
    TopUp,
}

#[derive(Clone, Debug, PartialEq)]
enum Row {
    Limits(LimitRow),
    Budget(BudgetRow),
}

#[derive(Clone, Debug)]
struct LateWrite {
    /// The index of the instance for a limit row; `None` for the budget row.
    limits_of: Option<usize>,
    version: u64,
    row: Row,
}

#[derive(Clone, Debug)]
struct StoredRow<T> {
    version: u64,
    row: Option<T>,
}

/// The store, the instances and the writes in flight.
#[derive(Clone, Debug)]
pub struct Simulation {
    fault: InjectedFault,
    /// Whether one instance holds tokens by its rank, and the others while they get
    /// requests.
    follows_callers: bool,
    now: ClockTime,
    version: u64,
    nonce: u64,
    limits: Vec<StoredRow<LimitRow>>,
    budget: StoredRow<BudgetRow>,
    ledgers: Vec<GrantLedger>,
    late: Vec<LateWrite>,
    /// Whether a request waits at each instance.
    waiting: Vec<bool>,
    paid: u64,
    paid_version: u64,
    /// Tokens that were actually spent.
    pub spent: u64,
}

fn settings() -> LedgerSettings {
    LedgerSettings {
        instances: 1,
        idle_fraction: 0.8,
        max_stock_fraction: 0.9,
        entry_max_age: ClockSpan::default(),
        limit_max_age: ClockSpan::default(),
        late_rate_after: ClockSpan::from_millis(1_000),
        ..LedgerSettings::default()
    }
}

/// One holder by rank; every instance that gets a request holds for two seconds.
fn following_settings() -> LedgerSettings {
    LedgerSettings {
        holders: HolderSettings {
            all_hold_up_to: 0,
            stand_in_time: ClockSpan::from_millis(2_000),
            ..HolderSettings::default()
        },
        demand: DemandSettings {
            follows_callers: true,
            holder_requests_per_second: 0,
            ..DemandSettings::default()
        },
        ..settings()
    }
}

fn fleet(instances: usize) -> Vec<FleetMember> {
    let members = (0..instances).map(|index| FleetMember {
        instance: format!("i{index}").parse().expect("a valid id"),
        zone: "z".parse().expect("a valid id"),
    });
    members.collect()
}

fn organisation() -> OrganisationId {
    "org".parse().expect("a valid id")
}

impl Simulation {
    /// Creates instances that have not started, and a budget of `paid` tokens.
    pub fn new(instances: usize, paid: u64, fault: InjectedFault) -> Self {
        Self::with_ledgers(instances, paid, fault, false)
    }

    /// The same with tokens that follow the requests of callers.
    pub fn following_callers(instances: usize, paid: u64, fault: InjectedFault) -> Self {
        Self::with_ledgers(instances, paid, fault, true)
    }

    fn with_ledgers(
        instances: usize,
        paid: u64,
        fault: InjectedFault,
        follows_callers: bool,
    ) -> Self {
        let mut simulation = Self {
            fault,
            follows_callers,
            now: ClockTime::from_millis(1_000_000),
            version: 1,
            nonce: 0,
            limits: vec![
                StoredRow {
                    version: 0,
                    row: None,
                };
                instances
            ],
            budget: StoredRow {
                version: 0,
                row: None,
            },
            ledgers: Vec::new(),
            late: Vec::new(),
            paid,
            paid_version: 1,
            spent: 0,
            waiting: vec![false; instances],
        };
        for index in 0..instances {
            let ledger = simulation.ledger(index);
            simulation.ledgers.push(ledger);
        }
        simulation
    }

    fn ledger(&mut self, index: usize) -> GrantLedger {
        self.nonce += 1;
        let instance: InstanceId = format!("i{index}").parse().expect("a valid id");
        let settings = if self.follows_callers {
            following_settings()
        } else {
            settings()
        };
        let mut ledger = GrantLedger::new(instance, self.nonce, self.started(), settings);
        if self.follows_callers {
            ledger.set_fleet(fleet(self.limits.len()));
        }
        ledger.set_paid(&organisation(), self.paid, self.paid_version);
        ledger
    }

    /// The start time that a process assumes if it starts now.
    fn started(&self) -> ClockTime {
        match self.fault {
            InjectedFault::EarlyStart => ClockTime::from_millis(self.now.as_millis() - 2_000),
            _ => self.now,
        }
    }

    /// What was paid in total.
    pub const fn paid(&self) -> u64 {
        self.paid
    }

    /// Takes a step. Returns false if it changes nothing.
    pub fn step(&mut self, step: Step) -> bool {
        match step {
            Step::Tick => self.now = self.now + ClockSpan::from_millis(1_000),
            Step::ReadLimits(index) => self.read_limits(index),
            Step::WriteLimits(index, outcome) => return self.write_limits(index, outcome),
            Step::ReadBudget(index) => self.read_budget(index),
            Step::WriteBudget(index, outcome) => return self.write_budget(index, outcome),
            Step::Request(index) => self.request(index),
            Step::Restart(index) => {
                self.waiting[index] = false;
                self.ledgers[index] = self.ledger(index);
            }
            Step::ApplyLate => return self.apply_late(),
            Step::TopUp => self.top_up(),
        }
        true
    }

    fn top_up(&mut self) {
        self.paid += 2 * REQUEST;
        self.paid_version += 1;
        for ledger in &mut self.ledgers {
            ledger.set_paid(&organisation(), self.paid, self.paid_version);
        }
    }

    /// Gives the store's time to an instance, as an answer does.
    fn tell(&mut self, index: usize) {
        self.ledgers[index].record_store_time(self.now, self.now, self.now);
    }

    /// The local time of an instance, from which it estimates the store's time.
    fn local(&self) -> ClockTime {
        let ahead = match self.fault {
            InjectedFault::ClockAhead => 20_000,
            _ => 0,
        };
        self.now + ClockSpan::from_millis(ahead)
    }

    fn read_limits(&mut self, index: usize) {
        self.tell(index);
        let stored = self.limits[index].clone();
        self.ledgers[index].limits_read(stored.version, stored.row);
    }

    fn read_budget(&mut self, index: usize) {
        self.tell(index);
        let stored = self.budget.clone();
        self.ledgers[index].budget_read(&organisation(), stored.version, stored.row);
    }

    fn write_limits(&mut self, index: usize, outcome: WriteOutcome) -> bool {
        let now = self.now;
        if self.ledgers[index].must_read_limits() {
            self.read_limits(index);
        }
        let ledger = &mut self.ledgers[index];
        let row = if ledger.boot() == 0 {
            let mut first = ledger.first_limits(now);
            if self.fault == InjectedFault::StaleSuccessor {
                first = first.map(|row| self.stale(index, &row));
            }
            first
        } else {
            ledger.next_limits(now)
        };
        let Some(row) = row else {
            return false;
        };
        let ledger = &mut self.ledgers[index];
        let version = ledger.limits_version();
        ledger.limits_sent(row.clone(), now);
        let write = LateWrite {
            limits_of: Some(index),
            version,
            row: Row::Limits(row),
        };
        self.send(index, write, outcome);
        true
    }

    /// The first row of a boot that assumes that the previous boot ended when
    /// its row was written.
    fn stale(&self, index: usize, row: &LimitRow) -> LimitRow {
        let before = self.limits[index].row.clone().unwrap_or_default();
        LimitRow {
            at: row.at,
            ..before.successor(row.nonce, before.at, row.at)
        }
    }

    fn write_budget(&mut self, index: usize, outcome: WriteOutcome) -> bool {
        let id = organisation();
        if self.ledgers[index].must_read_budget(&id) {
            self.read_budget(index);
        }
        let Some(row) = self.ledgers[index].next_budget(&id, self.now) else {
            return false;
        };
        let ledger = &mut self.ledgers[index];
        let version = ledger.budget_version(&id);
        ledger.budget_sent(&id, row.clone(), self.now);
        let write = LateWrite {
            limits_of: None,
            version,
            row: Row::Budget(row),
        };
        self.send(index, write, outcome);
        true
    }

    fn send(&mut self, index: usize, write: LateWrite, outcome: WriteOutcome) {
        if outcome == WriteOutcome::Answered {
            let done = self.apply(&write);
            self.tell(index);
            self.answer(index, &write, done);
            return;
        }
        self.forget_unanswered(index, &write);
        if outcome == WriteOutcome::Late {
            self.late.push(write);
        } else {
            self.apply(&write);
        }
    }

    /// With the fault `ForgetLost`, treats a write without an answer as
    /// rejected.
    fn forget_unanswered(&mut self, index: usize, write: &LateWrite) {
        if self.fault != InjectedFault::ForgetLost {
            return;
        }
        match write.limits_of {
            Some(_) => self.ledgers[index].limits_rejected(),
            None => self.ledgers[index].budget_rejected(&organisation()),
        }
    }

    fn apply(&mut self, write: &LateWrite) -> bool {
        let held = match write.limits_of {
            Some(index) => self.limits[index].version,
            None => self.budget.version,
        };
        if held != write.version && self.fault != InjectedFault::Unconditional {
            return false;
        }
        self.version += 1;
        match (&write.row, write.limits_of) {
            (Row::Limits(row), Some(index)) => {
                self.limits[index] = StoredRow {
                    version: self.version,
                    row: Some(row.clone()),
                };
            }
            (Row::Budget(row), _) => {
                self.budget = StoredRow {
                    version: self.version,
                    row: Some(row.clone()),
                };
            }
            (Row::Limits(_), None) => unreachable!("a limit row belongs to an instance"),
        }
        true
    }

    fn answer(&mut self, index: usize, write: &LateWrite, done: bool) {
        let id = organisation();
        match (write.limits_of, done) {
            (Some(_), true) => self.ledgers[index].limits_written(self.version),
            (Some(_), false) => {
                self.ledgers[index].limits_rejected();
                self.read_limits(index);
            }
            (None, true) => self.ledgers[index].budget_written(&id, self.version),
            (None, false) => {
                self.ledgers[index].budget_rejected(&id);
                self.read_budget(index);
            }
        }
    }

    fn apply_late(&mut self) -> bool {
        if self.late.is_empty() {
            return false;
        }
        let write = self.late.remove(0);
        self.apply(&write)
    }

    /// Sends a request. If it is refused, it waits, so that the next writes ask
    /// for tokens; the next request takes its place.
    fn request(&mut self, index: usize) {
        let id = organisation();
        let now = self.local();
        let ledger = &mut self.ledgers[index];
        let answer = ledger.reserve(&id, REQUEST, now);
        ledger.count_request(&id, REQUEST, answer, now);
        if answer != ReserveAnswer::Granted {
            if !self.waiting[index] {
                ledger.wait(&id, REQUEST, true);
                self.waiting[index] = true;
            }
            return;
        }
        self.spent += REQUEST;
        ledger.settle(&id, REQUEST, REQUEST);
        if std::mem::take(&mut self.waiting[index]) {
            ledger.wait(&id, REQUEST, false);
        }
    }
}
