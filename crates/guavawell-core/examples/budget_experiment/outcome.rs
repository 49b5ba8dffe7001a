//! The global ledger that judges every policy.

use std::fmt;

use crate::workload::Arrival;
use crate::workload::BUDGETS;
use crate::workload::paid;

/// What one run came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunOutcome {
    pub requests: u64,
    /// Refused for the budget, rightly or not.
    pub refused: u64,
    /// Refused although the budget's unspent rest covered the request.
    pub falsely_refused: u64,
    /// Tokens spent beyond what was paid.
    pub overspend: u64,
    /// Tokens that nobody can spend at the end.
    pub frozen: u64,
    /// Writes of the table.
    pub writes: u64,
}

impl RunOutcome {
    pub const fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.refused += other.refused;
        self.falsely_refused += other.falsely_refused;
        self.overspend += other.overspend;
        self.frozen += other.frozen;
        self.writes += other.writes;
    }
}

impl fmt::Display for RunOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let writes = self.writes * 1_000 / self.requests.max(1);
        write!(
            formatter,
            "{:>8} {:>8} {:>8} {:>10} {:>10} {:>8}",
            self.requests, self.refused, self.falsely_refused, self.overspend, self.frozen, writes
        )
    }
}

/// One ledger that sees everything.
pub struct GlobalLedger {
    spent: Vec<u64>,
    pub outcome: RunOutcome,
}

impl GlobalLedger {
    pub fn new() -> Self {
        Self {
            spent: vec![0; BUDGETS],
            outcome: RunOutcome::default(),
        }
    }

    pub fn grant(&mut self, arrival: &Arrival) {
        self.spent[arrival.budget] += arrival.worst;
    }

    pub fn settle(&mut self, arrival: &Arrival) {
        self.spent[arrival.budget] -= arrival.worst - arrival.actual;
    }

    pub const fn count(&mut self) {
        self.outcome.requests += 1;
    }

    pub fn refuse(&mut self, arrival: &Arrival) {
        self.outcome.refused += 1;
        let rest = paid(arrival.budget).saturating_sub(self.spent[arrival.budget]);
        if rest >= arrival.worst {
            self.outcome.falsely_refused += 1;
        }
    }

    /// Counts what was spent beyond the paid sums, everything settled.
    pub fn finish(mut self) -> RunOutcome {
        let beyond = |(budget, spent): (usize, &u64)| spent.saturating_sub(paid(budget));
        self.outcome.overspend = self.spent.iter().enumerate().map(beyond).sum();
        self.outcome
    }
}
