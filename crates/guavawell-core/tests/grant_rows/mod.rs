//! The store's rows for one budget, for tests with several instances.

use guavawell_core::clock::ClockTime;
use guavawell_core::grant::BudgetRow;
use guavawell_core::grant::GrantLedger;
use guavawell_core::grant::LimitRow;
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
    limits: Vec<(u64, Option<LimitRow>)>,
}

impl StoreRows {
    pub fn new(instances: usize) -> Self {
        Self {
            version: 1,
            budget: (0, None),
            limits: vec![(0, None); instances],
        }
    }

    fn next(&mut self) -> u64 {
        self.version += 1;
        self.version
    }

    fn write_limits(
        &mut self,
        place: usize,
        ledger: &mut GrantLedger,
        row: LimitRow,
        now: ClockTime,
    ) {
        ledger.limits_sent(row.clone(), now);
        let version = self.next();
        self.limits[place] = (version, Some(row));
        ledger.limits_written(version);
    }

    /// Starts a boot: closes the previous one and takes a first grant.
    pub fn begin_boot(&mut self, place: usize, ledger: &mut GrantLedger, now: ClockTime) {
        self.begin_limits(place, ledger, now);
        self.sync_rows(place, ledger, now);
    }

    /// Starts a boot in the limit row and closes the previous one.
    pub fn begin_limits(&mut self, place: usize, ledger: &mut GrantLedger, now: ClockTime) {
        ledger.record_store_time(now, now, now);
        let (version, row) = self.limits[place].clone();
        ledger.limits_read(version, row);
        let first = ledger.first_limits(now).expect("the store's time is known");
        self.write_limits(place, ledger, first, now);
    }

    /// An instance reads the budget row.
    pub fn read_budget(&self, ledger: &mut GrantLedger) {
        let (version, row) = self.budget.clone();
        ledger.budget_read(&organisation(), version, row);
    }

    /// Brings the budget row and the limit row of an instance up to date.
    pub fn sync_rows(&mut self, place: usize, ledger: &mut GrantLedger, now: ClockTime) {
        ledger.record_store_time(now, now, now);
        self.read_budget(ledger);
        if let Some(row) = ledger.next_budget(&organisation(), now) {
            ledger.budget_sent(&organisation(), row.clone(), now);
            let version = self.next();
            self.budget = (version, Some(row));
            ledger.budget_written(&organisation(), version);
        }
        if let Some(row) = ledger.next_limits(now) {
            self.write_limits(place, ledger, row, now);
        }
    }
}
