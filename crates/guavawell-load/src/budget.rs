//! What callers received against what was paid.
//!
//! Each request sets its worst case aside when it begins. A whole answer
//! gives back what it did not use, a refusal gives all back, and an answer
//! that stayed incomplete keeps its worst case, since nobody outside knows
//! what was charged. So the rest kept here is never above the true one, and a
//! refusal that this rest would have covered was a false one.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use guavawell_core::id::BudgetId;
use serde::Serialize;

use crate::history::RequestHistory;
use crate::history::TryEnd;
use crate::hooks::AnswerUsage;
use crate::plan::BudgetExpectation;

/// Reason of a refusal for want of budget.
const EXHAUSTED: &str = "budget_exhausted";

/// One budget's figures.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BudgetReport {
    /// The budget.
    pub budget: BudgetId,
    /// Tokens left in it when the run started, by the plan.
    pub left: u64,
    /// Tokens of whole answers, prompts included.
    pub used: u64,
    /// Tokens used beyond what was left.
    pub overspend: u64,
    /// Refusals for want of budget.
    pub refused: u64,
    /// Of these, refusals that the unspent rest would have covered.
    pub refused_falsely: u64,
}

/// One budget as the run goes.
struct BudgetCount {
    budget: BudgetId,
    left: u64,
    rest: AtomicI64,
    used: AtomicU64,
    refused: AtomicU64,
    refused_falsely: AtomicU64,
}

/// All budgets that the plan names, sorted.
pub(crate) struct BudgetCounts(Vec<BudgetCount>);

impl BudgetCounts {
    pub(crate) fn new(expectations: &[BudgetExpectation]) -> Self {
        let count = |expectation: &BudgetExpectation| BudgetCount {
            budget: expectation.budget.clone(),
            left: expectation.left.get(),
            rest: AtomicI64::new(expectation.left.get().cast_signed()),
            used: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            refused_falsely: AtomicU64::new(0),
        };
        let mut counts: Vec<BudgetCount> = expectations.iter().map(count).collect();
        counts.sort_by(|a, b| a.budget.cmp(&b.budget));
        Self(counts)
    }

    /// Sets a request's worst case aside.
    pub(crate) fn begin(&self, budget: Option<&BudgetId>, worst: u64) {
        if let Some(count) = self.find(budget) {
            count.rest.fetch_sub(worst.cast_signed(), Ordering::AcqRel);
        }
    }

    /// Takes a request's end in.
    pub(crate) fn finish(&self, history: &RequestHistory, worst: u64) {
        let Some(count) = self.find(history.budget.as_ref()) else {
            return;
        };
        match &history.end {
            TryEnd::Whole | TryEnd::Wrong { .. } => {
                let used = history.usage().map_or(worst, AnswerUsage::total);
                count.used.fetch_add(used, Ordering::AcqRel);
                count.give_back(worst.saturating_sub(used));
            }
            TryEnd::Refused { reason, .. } => {
                let before = count.give_back(if stayed_unrun(history) { worst } else { 0 });
                if &**reason == EXHAUSTED {
                    count.refused.fetch_add(1, Ordering::AcqRel);
                    let covered = before >= 0;
                    let falsely = u64::from(covered);
                    count.refused_falsely.fetch_add(falsely, Ordering::AcqRel);
                }
            }
            TryEnd::Unreachable | TryEnd::Shed if stayed_unrun(history) => {
                count.give_back(worst);
            }
            _ => {}
        }
    }

    /// The figures.
    pub(crate) fn reports(&self) -> Vec<BudgetReport> {
        let report = |count: &BudgetCount| {
            let used = count.used.load(Ordering::Acquire);
            BudgetReport {
                budget: count.budget.clone(),
                left: count.left,
                used,
                overspend: used.saturating_sub(count.left),
                refused: count.refused.load(Ordering::Acquire),
                refused_falsely: count.refused_falsely.load(Ordering::Acquire),
            }
        };
        self.0.iter().map(report).collect()
    }

    fn find(&self, budget: Option<&BudgetId>) -> Option<&BudgetCount> {
        let budget = budget?;
        let place = self.0.binary_search_by(|count| count.budget.cmp(budget));
        place.ok().map(|place| &self.0[place])
    }
}

impl BudgetCount {
    /// Gives tokens back and says what the rest was before.
    fn give_back(&self, tokens: u64) -> i64 {
        self.rest.fetch_add(tokens.cast_signed(), Ordering::AcqRel)
    }
}

/// Whether no try can have run: none was cut, and none may have run by the
/// router's own word.
fn stayed_unrun(history: &RequestHistory) -> bool {
    let unrun = |end: &TryEnd| match end {
        TryEnd::Refused { outcome, .. } => outcome.denies_run(),
        TryEnd::Unreachable | TryEnd::Shed => true,
        _ => false,
    };
    history.tries.iter().all(|one| unrun(&one.end))
}
