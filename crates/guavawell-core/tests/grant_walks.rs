//! Random walks of a fleet whose instances lend tokens. Processes end at any
//! moment, and reports on loans come late or never. Callers must never get more
//! than what was paid.

mod grant_rows;

use fastrand::Rng;
use guavawell_core::clock::ClockTime;
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
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            rows: StoreRows::new(INSTANCES),
            ledgers: Vec::new(),
            running: Vec::new(),
            returns: Vec::new(),
            random: Rng::with_seed(seed),
            nonce: 0,
            spent: 0,
            now: at(0),
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
        if self.random.u8(..60) > 0 && answer.tokens > 0 {
            self.ledgers[place].receive_loan(&id, lender_id, answer.tokens, self.now);
        }
    }

    fn request(&mut self, place: usize) {
        let id = organisation();
        if !self.ledgers[place].is_holder(&id, self.now) {
            self.borrow(place);
        }
        let lent = match self.ledgers[place].reserve(&id, REQUEST, self.now) {
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
        if self.random.u8(..30) > 0 {
            self.ledgers[lender].apply_return(&loan_return);
        }
    }

    fn step(&mut self) {
        self.now = self.now + guavawell_core::clock::ClockSpan::from_millis(STEP_MS);
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
            _ => self.kill(place),
        }
    }
}

#[test]
fn a_fleet_that_lends_and_dies_spends_no_more_than_was_paid() {
    let mut most = 0;
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
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
