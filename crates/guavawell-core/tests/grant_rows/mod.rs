//! The store's rows of one budget, for tests of several instances.

use guavawell_core::clock::ClockTime;
use guavawell_core::grant::BudgetRow;
use guavawell_core::grant::GrantBook;
use guavawell_core::grant::LineRow;
use guavawell_core::id::OrganisationId;

pub fn organisation() -> OrganisationId {
    "org".parse().expect("a valid id")
}

pub fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(1_000_000 + millis)
}

/// The store's rows, with their versions.
pub struct StoreRows {
    version: u64,
    budget: (u64, Option<BudgetRow>),
    lines: Vec<(u64, Option<LineRow>)>,
}

impl StoreRows {
    pub fn new(instances: usize) -> Self {
        Self {
            version: 1,
            budget: (0, None),
            lines: vec![(0, None); instances],
        }
    }

    fn next(&mut self) -> u64 {
        self.version += 1;
        self.version
    }

    fn write_lines(&mut self, place: usize, book: &mut GrantBook, row: LineRow, now: ClockTime) {
        book.sent_lines(row.clone(), now);
        let version = self.next();
        self.lines[place] = (version, Some(row));
        book.wrote_lines(version);
    }

    /// Begins a boot: closes the one before and takes a first grant.
    pub fn begin(&mut self, place: usize, book: &mut GrantBook, now: ClockTime) {
        self.begin_lines(place, book, now);
        self.keep(place, book, now);
    }

    /// Begins a boot and closes the one before.
    pub fn begin_lines(&mut self, place: usize, book: &mut GrantBook, now: ClockTime) {
        book.tell_time(now, now, now);
        let (version, row) = self.lines[place].clone();
        book.saw_lines(version, row);
        let first = book.first_lines(now).expect("the store's time is known");
        self.write_lines(place, book, first, now);
    }

    /// An instance reads the budget's row.
    pub fn show_budget(&self, book: &mut GrantBook) {
        let (version, row) = self.budget.clone();
        book.saw_budget(&organisation(), version, row);
    }

    /// Brings both rows of an instance up to date.
    pub fn keep(&mut self, place: usize, book: &mut GrantBook, now: ClockTime) {
        book.tell_time(now, now, now);
        self.show_budget(book);
        if let Some(row) = book.next_budget(&organisation(), now) {
            book.sent_budget(&organisation(), row.clone(), now);
            let version = self.next();
            self.budget = (version, Some(row));
            book.wrote_budget(&organisation(), version);
        }
        if let Some(row) = book.next_lines(now) {
            self.write_lines(place, book, row, now);
        }
    }
}
