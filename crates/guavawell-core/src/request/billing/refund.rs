//! Refunds for requests that were charged more than once.
//!
//! Each such request has a row, `refund/{organisation}/{request}`. The row
//! names the charge that is kept, which is decided once, and the charges that
//! were refunded. It is written in one transaction with the budget's row.
//!
//! Refunds are not listed in the budget's row, because such a list would grow
//! with every refund or have to drop some, and because the charges of one
//! request may belong to two budgets.

use serde::Deserialize;
use serde::Serialize;

use super::record::BillingRecord;
use crate::budget::RefundCharge;
use crate::budget::SlotId;
use crate::clock::ClockTime;
use crate::id::AttemptId;
use crate::id::BudgetId;
use crate::id::TokenCount;
use crate::request::identity::RequestIdentity;

/// The table row of a request that was charged more than once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefundRow {
    /// The attempt whose charge is kept. This never changes.
    pub kept: AttemptId,
    /// The refunded charges.
    pub refunds: Vec<RefundEntry>,
}

/// A refunded charge.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefundEntry {
    /// The attempt.
    pub attempt: AttemptId,
    /// The slot that charged it.
    pub slot: SlotId,
    /// The budget.
    pub budget: BudgetId,
    /// The tokens.
    pub tokens: TokenCount,
    /// Time of the refund.
    pub at: ClockTime,
}

/// The table key of a request's refund row.
#[must_use]
pub fn refund_key(identity: &RequestIdentity) -> String {
    format!("refund/{}/{}", identity.organisation, identity.request)
}

impl RefundRow {
    /// A row that keeps the earliest of `charges`, without refunds. `None` if
    /// there are no charges.
    #[must_use]
    pub fn first(charges: &[BillingRecord]) -> Option<Self> {
        let earliest = charges
            .iter()
            .min_by_key(|record| (record.at, record.attempt))?;
        Some(Self {
            kept: earliest.attempt,
            refunds: Vec::new(),
        })
    }

    /// The charges among `charges` that are neither kept nor refunded.
    pub fn open<'a>(
        &'a self,
        charges: &'a [BillingRecord],
    ) -> impl Iterator<Item = &'a BillingRecord> {
        charges.iter().filter(|record| {
            let is_refunded = self
                .refunds
                .iter()
                .any(|entry| entry.attempt == record.attempt && entry.slot == record.slot);
            record.attempt != self.kept && !is_refunded
        })
    }

    /// The row with a refund of `record` added.
    #[must_use]
    pub fn with(&self, record: &BillingRecord, at: ClockTime) -> Self {
        let mut row = self.clone();
        row.refunds.push(RefundEntry {
            attempt: record.attempt,
            slot: record.slot.clone(),
            budget: record.budget.clone(),
            tokens: record.charged,
            at,
        });
        row
    }
}

impl BillingRecord {
    /// The charge as [`crate::budget::BudgetRow::refund`] takes it.
    #[must_use]
    pub fn refund_charge(&self) -> RefundCharge {
        RefundCharge {
            slot: self.slot.clone(),
            tenure: self.tenure,
            pool: self.pool,
            counted: self.counted,
            tokens: self.charged,
        }
    }
}
