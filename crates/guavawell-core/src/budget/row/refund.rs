//! Gives a second charge of one request back to its budget.

use super::BudgetRow;
use super::RowError;
use crate::budget::message::TokenPool;
use crate::budget::slot::SlotId;
use crate::id::SlotEpoch;
use crate::id::TokenCount;

/// A charge to be given back, by its place among its tenure's charges.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefundCharge {
    /// The slot that charged.
    pub slot: SlotId,
    /// Its holder's tenure.
    pub tenure: SlotEpoch,
    /// The pool that paid.
    pub pool: TokenPool,
    /// All charges of that tenure's pool up to this one.
    pub counted: TokenCount,
    /// The charge.
    pub tokens: TokenCount,
}

impl BudgetRow {
    /// Whether `settled` holds the charge for certain.
    ///
    /// It does once its tenure reported as much, or was closed by a later one.
    /// While tokens of the tenure, or of one before it, are frozen, a charge
    /// may be among them.
    #[must_use]
    pub fn holds_charge(&self, charge: &RefundCharge) -> bool {
        let is_frozen = self
            .frozen
            .iter()
            .any(|frozen| frozen.slot == charge.slot && frozen.tenure <= charge.tenure);
        let Some(grant) = self.grant(&charge.slot) else {
            return false;
        };
        let reported = match charge.pool {
            TokenPool::Witnessed => grant.reported,
            TokenPool::Float => grant.float_reported,
        };
        let is_reported = grant.tenure == charge.tenure && reported >= charge.counted;
        !is_frozen && (grant.tenure > charge.tenure || is_reported)
    }

    /// Gives a charge back. The row does not know which charges it gave back:
    /// the caller writes it in one transaction with the request's refund row,
    /// which does.
    ///
    /// # Errors
    ///
    /// [`RowError::NotReported`] while `settled` may not hold the charge.
    pub fn refund(&self, charge: &RefundCharge) -> Result<Self, RowError> {
        if !self.holds_charge(charge) {
            return Err(RowError::NotReported);
        }
        let mut row = self.clone();
        row.settled = row
            .settled
            .checked_sub(charge.tokens)
            .ok_or(RowError::GrantOverdrawn)?;
        row.refunded = row.refunded.saturating_add(charge.tokens);
        row.update_paid();
        Ok(row)
    }
}
