//! Random walks of a fleet whose instances lend tokens. Processes end at any
//! moment, and reports on loans come late or never. Callers must never get more
//! than what was paid, and what they were charged is counted: exactly once where
//! nothing is lost, and once at least in any case.

mod grant_rows;

use fastrand::Rng;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::grant::BudgetFacts;
use guavawell_core::grant::DemandSettings;
use guavawell_core::grant::FleetMember;
use guavawell_core::grant::GrantLedger;
use guavawell_core::grant::HolderSettings;
use guavawell_core::grant::LedgerSettings;
use guavawell_core::grant::LoanReturn;
use guavawell_core::grant::ReserveAnswer;
use guavawell_core::id::InstanceId;

use grant_rows::StoreRows;
use grant_rows::at;
use grant_rows::organisation;

const INSTANCES: usize = 8;
const ZONES: usize = 2;
const PAID: u64 = 60_000;
const REQUEST: u64 = 1_000;
const STEPS: u64 = 4_000;
/// Time between two steps, in milliseconds.
const STEP_MS: u64 = 20;
const SEEDS: u64 = 150;
/// Time after which borrowed tokens are due to be returned.
const REPORT_PAUSE: ClockSpan = ClockSpan::from_millis(1_000);
/// Rounds in which all reports arrive and all rows are written.
const REPORT_ROUNDS: usize = 5;

/// A running request: its instance, and the borrowed part of its reservation.
struct RunningRequest {
    place: usize,
    lent: u64,
}

struct Simulation {
    rows: StoreRows,
    ledgers: Vec<GrantLedger>,
    running: Vec<RunningRequest>,
    /// Reports on their way to lenders.
    returns: Vec<LoanReturn>,
    random: Rng,
    nonce: u64,
    spent: u64,
    now: ClockTime,
    /// Whether answers and reports are lost and processes end.
    loses: bool,
    /// Whether tokens follow the requests of callers.
    follows_callers: bool,
}

/// A walk for each seed, with tokens that follow callers' requests and without.
fn walks() -> impl Iterator<Item = (u64, Simulation)> {
    let seeds = 0..SEEDS;
    seeds.flat_map(|seed| [false, true].map(|follows| (seed, Simulation::new(seed, follows))))
}

fn instance(place: usize) -> InstanceId {
    format!("i{place}").parse().expect("a valid id")
}

fn fleet() -> Vec<FleetMember> {
    let members = (0..INSTANCES).map(|place| FleetMember {
        instance: instance(place),
        zone: format!("z{}", place % ZONES).parse().expect("a valid id"),
    });
    members.collect()
}

impl Simulation {
    fn new(seed: u64, follows_callers: bool) -> Self {
        let mut simulation = Self {
            rows: StoreRows::new(INSTANCES),
            ledgers: Vec::new(),
            running: Vec::new(),
            returns: Vec::new(),
            random: Rng::with_seed(seed),
            nonce: 0,
            spent: 0,
            now: at(0),
            loses: true,
            follows_callers,
        };
        for place in 0..INSTANCES {
            let ledger = simulation.start(place);
            simulation.ledgers.push(ledger);
        }
        simulation
    }

    /// Starts a new boot of an instance, after the previous one has ended.
    fn start(&mut self, place: usize) -> GrantLedger {
        self.nonce += 1;
        let settings = LedgerSettings {
            holders: HolderSettings {
                all_hold_up_to: 0,
                ..HolderSettings::default()
            },
            demand: DemandSettings {
                follows_callers: self.follows_callers,
                holder_requests_per_second: 2,
                ..DemandSettings::default()
            },
            ..LedgerSettings::default()
        };
        let mut ledger = GrantLedger::new(instance(place), self.nonce, self.now, settings);
        ledger.set_fleet(fleet());
        ledger.set_paid(&organisation(), PAID, 1);
        self.rows.begin_boot(place, &mut ledger, self.now);
        ledger
    }

    /// Ends a process. Everything that its requests had reserved counts as
    /// spent.
    fn kill(&mut self, place: usize) {
        let ended = self
            .running
            .extract_if(.., |request| request.place == place);
        self.spent += ended.count() as u64 * REQUEST;
        self.ledgers[place] = self.start(place);
    }

    fn borrow(&mut self, place: usize) {
        let id = organisation();
        let order = self.ledgers[place].holder_order(&id);
        // Any instance may be the one that answers.
        let skipped = self.random.usize(..order.len());
        let lender: usize = order[skipped].as_str()[1..]
            .parse()
            .expect("an index in the id");
        let request = self.ledgers[place].loan_request(&id, REQUEST, self.now);
        let ledger = &mut self.ledgers[lender];
        let mut answer = ledger.lend(&id, request, self.now);
        if let (0, Some(missing)) = (
            answer.tokens,
            ledger.tokens_to_fetch(&id, request, self.now),
        ) {
            ledger.wait(&id, missing, true);
            self.rows.sync_rows(lender, ledger, self.now);
            ledger.wait(&id, missing, false);
            answer = ledger.lend(&id, request, self.now);
        }
        let lender_id = ledger.lender_id();
        // One answer in sixty is lost.
        let is_lost = self.random.u8(..60) == 0 && self.loses;
        if !is_lost && answer.tokens > 0 {
            self.ledgers[place].receive_loan(&id, lender_id, answer.tokens, self.now);
        }
    }

    fn request(&mut self, place: usize) {
        let id = organisation();
        if !self.ledgers[place].is_holder(&id, self.now) {
            self.borrow(place);
        }
        let answer = self.ledgers[place].reserve(&id, REQUEST, self.now);
        self.ledgers[place].count_request(&id, REQUEST, answer, self.now);
        let lent = match answer {
            ReserveAnswer::Granted => 0,
            ReserveAnswer::GrantedLoan(lent) => lent,
            _ => return,
        };
        self.running.push(RunningRequest { place, lent });
    }

    fn finish(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let request = self
            .running
            .swap_remove(self.random.usize(..self.running.len()));
        let spent = REQUEST / 4 * self.random.u64(1..=4);
        self.spent += spent;
        let ledger = &mut self.ledgers[request.place];
        ledger.settle_loan(&organisation(), REQUEST, request.lent, spent);
    }

    /// Loses a report, or delivers it to the boot that lent or a later one.
    fn deliver(&mut self) {
        if self.returns.is_empty() {
            return;
        }
        let place = self.random.usize(..self.returns.len());
        let loan_return = self.returns.swap_remove(place);
        let lender: usize = loan_return.lender.instance.as_str()[1..]
            .parse()
            .expect("an index in the id");
        let is_lost = self.random.u8(..30) == 0 && self.loses;
        if !is_lost {
            self.ledgers[lender].apply_return(&loan_return);
        }
    }

    /// Lets all requests end, all reports arrive and all rows be written.
    fn settle_down(&mut self) {
        while !self.running.is_empty() {
            self.finish();
        }
        for _ in 0..REPORT_ROUNDS {
            self.now = self.now + REPORT_PAUSE;
            for place in 0..INSTANCES {
                let due = self.ledgers[place].due_returns(self.now);
                self.returns.extend(due);
            }
            while !self.returns.is_empty() {
                self.deliver();
            }
            for place in 0..INSTANCES {
                self.rows
                    .sync_rows(place, &mut self.ledgers[place], self.now);
            }
        }
    }

    /// Tokens that count as used: those of running boots and of ended ones.
    fn counted(&self) -> u64 {
        let id = organisation();
        let facts = self
            .ledgers
            .iter()
            .map(|ledger| ledger.facts(&id, self.now));
        let facts: Vec<BudgetFacts> = facts.collect();
        let used: u64 = facts.iter().map(|facts| facts.used).sum();
        let closed = facts.iter().map(|facts| facts.closed).max();
        used + closed.unwrap_or_default()
    }

    fn step(&mut self) {
        self.now = self.now + ClockSpan::from_millis(STEP_MS);
        let place = self.random.usize(..INSTANCES);
        match self.random.u32(..1_001) {
            0..400 => self.request(place),
            400..700 => self.finish(),
            700..820 => {
                let due = self.ledgers[place].due_returns(self.now);
                self.returns.extend(due);
            }
            820..920 => self.deliver(),
            920..998 => self
                .rows
                .sync_rows(place, &mut self.ledgers[place], self.now),
            _ if self.loses => self.kill(place),
            _ => {}
        }
    }
}

#[test]
fn a_fleet_that_lends_and_dies_spends_no_more_than_was_paid() {
    let mut most = 0;
    for (seed, mut simulation) in walks() {
        for _ in 0..STEPS {
            simulation.step();
            let reserved = simulation.running.len() as u64 * REQUEST;
            let max_spent = simulation.spent + reserved;
            assert!(max_spent <= PAID, "seed {seed}: {max_spent} of {PAID}");
        }
        most = most.max(simulation.spent);
    }
    println!("at most {most} of {PAID} spent in {SEEDS} walks");
    assert!(
        most * 4 > PAID * 3,
        "the walks spend too little of the budget: {most}"
    );
}

// Guards against a charge that two instances count, the one that lent its tokens and
// the one that spent them, whatever the order of loans, charges and reports.
#[test]
fn what_callers_are_charged_is_counted_once_where_nothing_is_lost() {
    for (seed, mut simulation) in walks() {
        simulation.loses = false;
        for _ in 0..STEPS {
            simulation.step();
        }
        simulation.settle_down();
        assert_eq!(simulation.counted(), simulation.spent, "seed {seed}");
    }
}

// Guards against a charge that nobody counts, as its process ends or its report is
// lost.
#[test]
fn what_callers_are_charged_is_counted_whatever_is_lost() {
    for (seed, mut simulation) in walks() {
        for _ in 0..STEPS {
            simulation.step();
        }
        simulation.settle_down();
        let (counted, spent) = (simulation.counted(), simulation.spent);
        assert!(counted >= spent, "seed {seed}: {counted} of {spent}");
    }
}
