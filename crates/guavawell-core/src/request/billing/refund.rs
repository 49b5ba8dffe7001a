//! Which of several charges of one request stands, decided once.
//!
//! One row for each request that was charged twice, under
//! `refund/{organisation}/{request}`. It names the charge that stands and those
//! given back, and is written in one transaction with the budget's row. Weighed
//! against a list in the budget's row: that would grow with every refund or
//! forget some, and one request's charges may lie in two budgets.

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

/// The table's row of a request that was charged twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefundRow {
    /// The attempt whose charge stands, for good.
    pub kept: AttemptId,
    /// Charges given back.
    pub refunds: Vec<RefundEntry>,
}

/// One charge that was given back.
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
    /// When it was given back.
    pub at: ClockTime,
}

/// The table's key of a request's refund row.
#[must_use]
pub fn refund_key(identity: &RequestIdentity) -> String {
    format!("refund/{}/{}", identity.organisation, identity.request)
}

impl RefundRow {
    /// A row that lets the earliest of `charges` stand and gives none back yet.
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

    /// The charges among `charges` that are neither kept nor given back.
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

    /// The row once `record` is given back too.
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
    /// The charge as a refund of it needs it.
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
