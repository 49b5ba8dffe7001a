//! Random walks of a fleet that lends: processes end at any moment, accounts of
//! loans come late or never, and what callers got stays within what was paid.

mod grant_rows;

use fastrand::Rng;
use guavawell_core::clock::ClockTime;
use guavawell_core::grant::BookSettings;
use guavawell_core::grant::FleetMember;
use guavawell_core::grant::GrantBook;
use guavawell_core::grant::HolderSettings;
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

/// A request that runs: where, what it has set aside, and how much of it is lent.
struct RunningRequest {
    place: usize,
    lent: u64,
}

struct World {
    rows: StoreRows,
    books: Vec<GrantBook>,
    running: Vec<RunningRequest>,
    /// Accounts on their way.
    accounts: Vec<LoanReturn>,
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

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            rows: StoreRows::new(INSTANCES),
            books: Vec::new(),
            running: Vec::new(),
            accounts: Vec::new(),
            random: Rng::with_seed(seed),
            nonce: 0,
            spent: 0,
            now: at(0),
        };
        for place in 0..INSTANCES {
            let book = world.start(place);
            world.books.push(book);
        }
        world
    }

    /// A new life of an instance, after the one before has ended.
    fn start(&mut self, place: usize) -> GrantBook {
        self.nonce += 1;
        let settings = BookSettings {
            holders: HolderSettings {
                everywhere: 0,
                ..HolderSettings::default()
            },
            ..BookSettings::default()
        };
        let mut book = GrantBook::new(instance(place), self.nonce, self.now, settings);
        book.set_fleet(fleet());
        book.set_paid(&organisation(), PAID, 1);
        self.rows.begin(place, &mut book, self.now);
        book
    }

    /// All that its requests had set aside counts as spent.
    fn kill(&mut self, place: usize) {
        let ended = self
            .running
            .extract_if(.., |request| request.place == place);
        self.spent += ended.count() as u64 * REQUEST;
        self.books[place] = self.start(place);
    }

    fn borrow(&mut self, place: usize) {
        let id = organisation();
        let order = self.books[place].holder_order(&id);
        // Any instance may be the one that answers.
        let skipped = self.random.usize(..order.len());
        let lender: usize = order[skipped].as_str()[1..].parse().expect("its place");
        let ask = self.books[place].loan_ask(&id, REQUEST, self.now);
        let book = &mut self.books[lender];
        let mut answer = book.lend(&id, ask, self.now);
        if let (0, Some(missing)) = (answer.tokens, book.lend_later(&id, ask, self.now)) {
            book.wait(&id, missing, true);
            self.rows.keep(lender, book, self.now);
            book.wait(&id, missing, false);
            answer = book.lend(&id, ask, self.now);
        }
        let signature = book.lender_id();
        // One answer in sixty is lost.
        if self.random.u8(..60) > 0 && answer.tokens > 0 {
            self.books[place].take_loan(&id, signature, answer.tokens, self.now);
        }
    }

    fn request(&mut self, place: usize) {
        let id = organisation();
        if !self.books[place].is_holder(&id, self.now) {
            self.borrow(place);
        }
        let lent = match self.books[place].reserve(&id, REQUEST, self.now) {
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
        let book = &mut self.books[request.place];
        book.settle_loan(&organisation(), REQUEST, request.lent, spent);
    }

    /// An account arrives, at the life that lent or at one after it, or is lost.
    fn deliver(&mut self) {
        if self.accounts.is_empty() {
            return;
        }
        let place = self.random.usize(..self.accounts.len());
        let account = self.accounts.swap_remove(place);
        let lender: usize = account.lender.instance.as_str()[1..]
            .parse()
            .expect("its place");
        if self.random.u8(..30) > 0 {
            self.books[lender].take_return(&account);
        }
    }

    fn step(&mut self) {
        self.now = self.now + guavawell_core::clock::ClockSpan::from_millis(STEP_MS);
        let place = self.random.usize(..INSTANCES);
        match self.random.u32(..1_001) {
            0..400 => self.request(place),
            400..700 => self.finish(),
            700..820 => {
                let due = self.books[place].due_returns(self.now);
                self.accounts.extend(due);
            }
            820..920 => self.deliver(),
            920..998 => self.rows.keep(place, &mut self.books[place], self.now),
            _ => self.kill(place),
        }
    }
}

#[test]
fn a_fleet_that_lends_and_dies_spends_no_more_than_was_paid() {
    let mut most = 0;
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
            let reserved = world.running.len() as u64 * REQUEST;
            let most_spent = world.spent + reserved;
            assert!(most_spent <= PAID, "seed {seed}: {most_spent} of {PAID}");
        }
        most = most.max(world.spent);
    }
    println!("at most {most} of {PAID} spent in {SEEDS} walks");
    assert!(
        most * 4 > PAID * 3,
        "the walks reach the budget's end: {most}"
    );
}
