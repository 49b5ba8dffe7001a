//! Refunds a charge to its budget, for a request that was charged twice.

use super::BudgetRow;
use super::RowError;
use crate::budget::message::TokenPool;
use crate::budget::slot::SlotId;
use crate::id::SlotEpoch;
use crate::id::TokenCount;

/// A charge to refund, identified by the sum of its tenure's charges up to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefundCharge {
    /// The slot that charged.
    pub slot: SlotId,
    /// The tenure of the holder that charged.
    pub tenure: SlotEpoch,
    /// The pool that paid.
    pub pool: TokenPool,
    /// Sum of all charges to `pool` in that tenure, up to and including this one.
    pub counted: TokenCount,
    /// The charge.
    pub tokens: TokenCount,
}

impl BudgetRow {
    /// Whether `settled` is known to include the charge.
    ///
    /// It does once the tenure has reported charges up to [`RefundCharge::counted`],
    /// or a later tenure has closed it. Neither counts while tokens of the tenure or
    /// of an earlier one are frozen, because the charge may be among those tokens.
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

    /// Refunds a charge.
    ///
    /// The row does not record which charges were refunded. The caller must write
    /// it in one transaction with the request's refund row, which does.
    ///
    /// # Errors
    ///
    /// [`RowError::NotReported`] while `settled` may not include the charge,
    /// [`RowError::GrantOverdrawn`] if `settled` is less than the charge.
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
