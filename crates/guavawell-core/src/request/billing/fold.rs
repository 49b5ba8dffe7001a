//! Reduces billing records to one charge for each request.

use super::record::BillingRecord;
use crate::budget::SlotId;
use crate::id::AttemptId;
use crate::id::BudgetId;
use crate::id::SlotEpoch;
use crate::id::TokenCount;
use crate::request::identity::RequestIdentity;

/// A charge to refund, because its request was charged before.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RefundIntent {
    /// The request.
    pub identity: RequestIdentity,
    /// The budget to refund.
    pub budget: BudgetId,
    /// The attempt whose charge is refunded.
    pub attempt: AttemptId,
    /// The slot that charged it.
    pub slot: SlotId,
    /// The tenure that charged it.
    pub tenure: SlotEpoch,
    /// The tokens to refund.
    pub tokens: TokenCount,
    /// The attempt whose charge is kept.
    pub kept: AttemptId,
}

/// The charges that are kept, and those to refund.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BillingFold {
    /// The one charge that is kept for each identity, sorted by identity.
    pub charges: Vec<BillingRecord>,
    /// Further charges of an identity, sorted by identity.
    pub refunds: Vec<RefundIntent>,
    /// Number of records that repeat a charge.
    pub repeated: usize,
}

/// Finds the charge to keep and the charges to refund for each identity. The
/// order of the records does not matter.
///
/// The earliest charge of an identity is kept. Of charges made at the same
/// time, the one with the lowest attempt id is kept. Further records of the
/// same charge are only counted.
#[must_use]
pub fn fold_records(mut records: Vec<BillingRecord>) -> BillingFold {
    records.sort_by(|left, right| {
        let order = left.identity.cmp(&right.identity);
        let order = order.then(left.at.cmp(&right.at));
        let order = order.then(left.attempt.cmp(&right.attempt));
        let order = order.then(left.slot.cmp(&right.slot));
        order.then(left.tenure.cmp(&right.tenure))
    });
    let mut fold = BillingFold::default();
    let mut seen: Vec<BillingRecord> = Vec::new();
    for record in records {
        if seen
            .first()
            .is_some_and(|first| first.identity != record.identity)
        {
            seen.clear();
        }
        if seen.iter().any(|other| other.is_same_charge(&record)) {
            fold.repeated += 1;
            continue;
        }
        match seen.first() {
            None => fold.charges.push(record.clone()),
            Some(first) => fold.refunds.push(refund(&record, first)),
        }
        seen.push(record);
    }
    fold
}

fn refund(record: &BillingRecord, first: &BillingRecord) -> RefundIntent {
    RefundIntent {
        identity: record.identity.clone(),
        budget: record.budget.clone(),
        attempt: record.attempt,
        slot: record.slot.clone(),
        tenure: record.tenure,
        tokens: record.charged,
        kept: first.attempt,
    }
}

impl BillingFold {
    /// The charge that is kept for an identity.
    #[must_use]
    pub fn charge(&self, identity: &RequestIdentity) -> Option<&BillingRecord> {
        let found = self
            .charges
            .binary_search_by(|charge| charge.identity.cmp(identity));
        found.ok().map(|index| &self.charges[index])
    }

    /// The tokens of all charges to a budget that are kept.
    #[must_use]
    pub fn charged(&self, budget: &BudgetId) -> TokenCount {
        let of_budget = self
            .charges
            .iter()
            .filter(|charge| charge.budget == *budget);
        of_budget.map(|charge| charge.charged).sum()
    }

    /// The tokens to refund to a budget.
    #[must_use]
    pub fn owed(&self, budget: &BudgetId) -> TokenCount {
        let of_budget = self
            .refunds
            .iter()
            .filter(|refund| refund.budget == *budget);
        of_budget.map(|refund| refund.tokens).sum()
    }
}
