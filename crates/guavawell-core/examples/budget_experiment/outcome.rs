//! The global ledger that judges every policy.

use std::fmt;

use crate::scenario::Scenario;
use crate::workload::Arrival;
use crate::workload::BUDGETS;
use crate::workload::NEAR_END;
use crate::workload::TOP_UP;
use crate::workload::is_small;
use crate::workload::paid;

/// Where a falsely refused request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalSide {
    /// No zone was cut off.
    Whole,
    /// From the zone that was cut off.
    Cut,
    /// From another zone, while one was cut off.
    Joined,
}

/// Where the tokens were that a falsely refused request needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalCause {
    /// Nobody held the zone's slot.
    NoHolder,
    /// In the own grant, without a witness to acknowledge.
    Unwitnessed,
    /// Frozen by a takeover.
    Frozen,
    /// On the other side of the cut.
    AcrossCut,
    /// Within reach, but in pieces, on their way, or in no grant.
    Scattered,
}

/// One class of false refusals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RefusalClass {
    pub side: RefusalSide,
    /// Whether the budget's rest was within 5% of its end.
    pub near_end: bool,
    pub cause: RefusalCause,
}

/// What one run came to.
#[derive(Clone, Debug, Default)]
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
    /// False refusals by class, sorted.
    pub classes: Vec<(RefusalClass, u64)>,
}

impl RunOutcome {
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.refused += other.refused;
        self.falsely_refused += other.falsely_refused;
        self.overspend += other.overspend;
        self.frozen += other.frozen;
        self.writes += other.writes;
        for (class, count) in &other.classes {
            self.count_class(*class, *count);
        }
    }

    pub fn count_class(&mut self, class: RefusalClass, count: u64) {
        match self.classes.binary_search_by_key(&class, |entry| entry.0) {
            Ok(place) => self.classes[place].1 += count,
            Err(place) => self.classes.insert(place, (class, count)),
        }
    }

    /// The classes as one line.
    pub fn class_line(&self) -> String {
        let class = |(class, count): &(RefusalClass, u64)| {
            let rest = if class.near_end { "near end" } else { "rich" };
            format!("{:?}/{rest}/{:?} {count}", class.side, class.cause)
        };
        let classes: Vec<String> = self.classes.iter().map(class).collect();
        classes.join(", ")
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
    paid: Vec<u64>,
    pub outcome: RunOutcome,
}

impl GlobalLedger {
    pub fn new() -> Self {
        Self {
            spent: vec![0; BUDGETS],
            paid: (0..BUDGETS).map(paid).collect(),
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

    /// Adds the top-up to each small budget.
    pub fn top_up(&mut self) {
        for budget in (0..BUDGETS).filter(|budget| is_small(*budget)) {
            self.paid[budget] += TOP_UP;
        }
    }

    pub fn rest(&self, budget: usize) -> u64 {
        self.paid[budget].saturating_sub(self.spent[budget])
    }

    /// Counts a refusal; `true` if it was a false one.
    pub fn refuse(&mut self, arrival: &Arrival) -> bool {
        self.outcome.refused += 1;
        let is_false = self.rest(arrival.budget) >= arrival.worst;
        self.outcome.falsely_refused += u64::from(is_false);
        is_false
    }

    /// Counts a false refusal's class.
    pub fn classify(
        &mut self,
        arrival: &Arrival,
        cause: RefusalCause,
        scenario: &Scenario,
        step: usize,
    ) {
        let side = match scenario.cut_now(step) {
            None => RefusalSide::Whole,
            Some(cut) if cut.zone == arrival.zone => RefusalSide::Cut,
            Some(_) => RefusalSide::Joined,
        };
        let class = RefusalClass {
            side,
            near_end: self.rest(arrival.budget) <= NEAR_END,
            cause,
        };
        self.outcome.count_class(class, 1);
    }

    /// Counts what was spent beyond the paid sums, everything settled.
    pub fn finish(mut self) -> RunOutcome {
        let beyond = |(spent, paid): (&u64, &u64)| spent.saturating_sub(*paid);
        self.outcome.overspend = self.spent.iter().zip(&self.paid).map(beyond).sum();
        self.outcome
    }
}
