//! A store, instances with the real book, and writes that are lost or late.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::grant::BookSettings;
use guavawell_core::grant::BudgetRow;
use guavawell_core::grant::GrantBook;
use guavawell_core::grant::LineRow;
use guavawell_core::grant::ReserveAnswer;
use guavawell_core::id::InstanceId;
use guavawell_core::id::OrganisationId;

/// Tokens of one request.
pub const REQUEST: u64 = 10;

/// A fault planted into the protocol, which the search must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// None: the protocol as it is.
    Sound,
    /// Writes land whatever the row's version.
    Unconditional,
    /// A write whose answer is lost counts as not done.
    ForgetLost,
    /// The instance's idea of the store's time runs ahead.
    ClockAhead,
    /// A successor takes a time from before its predecessor's death.
    StaleSuccessor,
    /// A process takes its own start for earlier than it was.
    EarlyStart,
}

/// How the answer to a write fares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Done and answered.
    Answered,
    /// Done, and the answer is lost.
    AnswerLost,
    /// Not answered; it may land later.
    Late,
}

/// One step of the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A second passes.
    Tick,
    /// An instance reads its lines.
    ReadLines(usize),
    /// An instance writes its lines, if it wants to.
    WriteLines(usize, Fate),
    /// An instance reads the budget.
    ReadBudget(usize),
    /// An instance writes the budget, if it wants to.
    WriteBudget(usize, Fate),
    /// A request arrives.
    Request(usize),
    /// The process dies and its successor starts.
    Restart(usize),
    /// The oldest late write lands, if its condition still holds.
    Land,
    /// The operator pays more.
    TopUp,
}

#[derive(Clone, Debug, PartialEq)]
enum Row {
    Lines(LineRow),
    Budget(BudgetRow),
}

#[derive(Clone, Debug)]
struct LateWrite {
    /// Index of the instance for its lines, or none for the budget.
    lines_of: Option<usize>,
    version: u64,
    row: Row,
}

#[derive(Clone, Debug)]
struct StoredRow<T> {
    version: u64,
    row: Option<T>,
}

/// The world.
#[derive(Clone, Debug)]
pub struct World {
    plant: Plant,
    now: ClockTime,
    version: u64,
    nonce: u64,
    lines: Vec<StoredRow<LineRow>>,
    budget: StoredRow<BudgetRow>,
    books: Vec<GrantBook>,
    late: Vec<LateWrite>,
    /// Instances at which a request waits.
    waiting: Vec<bool>,
    paid: u64,
    paid_version: u64,
    /// Tokens that were really spent.
    pub spent: u64,
}

fn settings() -> BookSettings {
    BookSettings {
        instances: 1,
        unseen_part: 0.8,
        most_part: 0.9,
        entry_age: ClockSpan::default(),
        line_age: ClockSpan::default(),
        turn: ClockSpan::from_millis(1_000),
        ..BookSettings::default()
    }
}

fn organisation() -> OrganisationId {
    "org".parse().expect("a valid id")
}

impl World {
    /// Instances that have not begun, before a budget of `paid` tokens.
    pub fn new(instances: usize, paid: u64, plant: Plant) -> Self {
        let mut world = Self {
            plant,
            now: ClockTime::from_millis(1_000_000),
            version: 1,
            nonce: 0,
            lines: vec![
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
            books: Vec::new(),
            late: Vec::new(),
            paid,
            paid_version: 1,
            spent: 0,
            waiting: vec![false; instances],
        };
        for index in 0..instances {
            let book = world.book(index);
            world.books.push(book);
        }
        world
    }

    fn book(&mut self, index: usize) -> GrantBook {
        self.nonce += 1;
        let instance: InstanceId = format!("i{index}").parse().expect("a valid id");
        let mut book = GrantBook::new(instance, self.nonce, self.started(), settings());
        book.set_paid(&organisation(), self.paid, self.paid_version);
        book
    }

    /// When a process that starts now takes its predecessor for ended.
    fn started(&self) -> ClockTime {
        match self.plant {
            Plant::EarlyStart => ClockTime::from_millis(self.now.as_millis() - 2_000),
            _ => self.now,
        }
    }

    /// What was paid in all.
    pub const fn paid(&self) -> u64 {
        self.paid
    }

    /// Takes a step; false if it changes nothing.
    pub fn step(&mut self, step: Step) -> bool {
        match step {
            Step::Tick => self.now = self.now + ClockSpan::from_millis(1_000),
            Step::ReadLines(index) => self.read_lines(index),
            Step::WriteLines(index, fate) => return self.write_lines(index, fate),
            Step::ReadBudget(index) => self.read_budget(index),
            Step::WriteBudget(index, fate) => return self.write_budget(index, fate),
            Step::Request(index) => self.request(index),
            Step::Restart(index) => {
                self.waiting[index] = false;
                self.books[index] = self.book(index);
            }
            Step::Land => return self.land(),
            Step::TopUp => self.top_up(),
        }
        true
    }

    fn top_up(&mut self) {
        self.paid += 2 * REQUEST;
        self.paid_version += 1;
        for book in &mut self.books {
            book.set_paid(&organisation(), self.paid, self.paid_version);
        }
    }

    /// An answer tells the store's time.
    fn tell(&mut self, index: usize) {
        self.books[index].tell_time(self.now, self.now, self.now);
    }

    /// The instance's own clock, by which it reckons the store's time.
    fn local(&self) -> ClockTime {
        let ahead = match self.plant {
            Plant::ClockAhead => 20_000,
            _ => 0,
        };
        self.now + ClockSpan::from_millis(ahead)
    }

    fn read_lines(&mut self, index: usize) {
        self.tell(index);
        let stored = self.lines[index].clone();
        self.books[index].saw_lines(stored.version, stored.row);
    }

    fn read_budget(&mut self, index: usize) {
        self.tell(index);
        let stored = self.budget.clone();
        self.books[index].saw_budget(&organisation(), stored.version, stored.row);
    }

    fn write_lines(&mut self, index: usize, fate: Fate) -> bool {
        let now = self.now;
        if self.books[index].lines_unsure() {
            self.read_lines(index);
        }
        let book = &mut self.books[index];
        let row = if book.boot() == 0 {
            let mut first = book.first_lines(now);
            if self.plant == Plant::StaleSuccessor {
                first = first.map(|row| self.stale(index, &row));
            }
            first
        } else {
            book.next_lines(now)
        };
        let Some(row) = row else {
            return false;
        };
        let book = &mut self.books[index];
        let version = book.lines_version();
        book.sent_lines(row.clone(), now);
        let write = LateWrite {
            lines_of: Some(index),
            version,
            row: Row::Lines(row),
        };
        self.send(index, write, fate);
        true
    }

    /// The first row of a boot that takes its predecessor's row as of its
    /// writing, as if no time had passed since.
    fn stale(&self, index: usize, row: &LineRow) -> LineRow {
        let before = self.lines[index].row.clone().unwrap_or_default();
        LineRow {
            at: row.at,
            ..before.succeed(row.nonce, before.at, row.at)
        }
    }

    fn write_budget(&mut self, index: usize, fate: Fate) -> bool {
        let id = organisation();
        if self.books[index].budget_unsure(&id) {
            self.read_budget(index);
        }
        let Some(row) = self.books[index].next_budget(&id, self.now) else {
            return false;
        };
        let book = &mut self.books[index];
        let version = book.budget_version(&id);
        book.sent_budget(&id, row.clone(), self.now);
        let write = LateWrite {
            lines_of: None,
            version,
            row: Row::Budget(row),
        };
        self.send(index, write, fate);
        true
    }

    fn send(&mut self, index: usize, write: LateWrite, fate: Fate) {
        if fate == Fate::Answered {
            let done = self.apply(&write);
            self.tell(index);
            self.answer(index, &write, done);
            return;
        }
        self.forget(index, &write);
        if fate == Fate::Late {
            self.late.push(write);
        } else {
            self.apply(&write);
        }
    }

    /// With the plant, a missing answer counts as "not done".
    fn forget(&mut self, index: usize, write: &LateWrite) {
        if self.plant != Plant::ForgetLost {
            return;
        }
        match write.lines_of {
            Some(_) => self.books[index].dropped_lines(),
            None => self.books[index].dropped_budget(&organisation()),
        }
    }

    fn apply(&mut self, write: &LateWrite) -> bool {
        let held = match write.lines_of {
            Some(index) => self.lines[index].version,
            None => self.budget.version,
        };
        if held != write.version && self.plant != Plant::Unconditional {
            return false;
        }
        self.version += 1;
        match (&write.row, write.lines_of) {
            (Row::Lines(row), Some(index)) => {
                self.lines[index] = StoredRow {
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
            (Row::Lines(_), None) => unreachable!("lines belong to an instance"),
        }
        true
    }

    fn answer(&mut self, index: usize, write: &LateWrite, done: bool) {
        let id = organisation();
        match (write.lines_of, done) {
            (Some(_), true) => self.books[index].wrote_lines(self.version),
            (Some(_), false) => {
                self.books[index].dropped_lines();
                self.read_lines(index);
            }
            (None, true) => self.books[index].wrote_budget(&id, self.version),
            (None, false) => {
                self.books[index].dropped_budget(&id);
                self.read_budget(index);
            }
        }
    }

    fn land(&mut self) -> bool {
        if self.late.is_empty() {
            return false;
        }
        let write = self.late.remove(0);
        self.apply(&write)
    }

    /// A request that finds no tokens waits, so that the next writes ask for
    /// them; the next request takes its place.
    fn request(&mut self, index: usize) {
        let id = organisation();
        let now = self.local();
        let book = &mut self.books[index];
        if book.reserve(&id, REQUEST, now) != ReserveAnswer::Granted {
            if !self.waiting[index] {
                book.wait(&id, REQUEST, true);
                self.waiting[index] = true;
            }
            return;
        }
        self.spent += REQUEST;
        book.settle(&id, REQUEST, REQUEST);
        if std::mem::take(&mut self.waiting[index]) {
            book.wait(&id, REQUEST, false);
        }
    }
}
