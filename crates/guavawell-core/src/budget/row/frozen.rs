//! Freezing tokens of an ended tenure, and the two ways to release them: a late
//! report of the former holder or an operator's reclaim.

use serde::Deserialize;
use serde::Serialize;

use super::BudgetGrant;
use super::BudgetRow;
use super::FrozenTokens;
use super::RowChange;
use super::RowError;
use crate::budget::slot::SlotId;
use crate::id::SlotEpoch;
use crate::id::TokenCount;

/// A former holder's late report of its use of tokens that were frozen.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FrozenReport {
    /// The slot.
    pub slot: SlotId,
    /// The tenure that ended.
    pub tenure: SlotEpoch,
    /// Sum of all charges to the witnessed part in that tenure.
    pub settled: TokenCount,
    /// Sum of all charges to the float in that tenure.
    pub float_settled: TokenCount,
    /// Tokens reserved by attempts in the witnessed part whose outcome the
    /// holder does not know yet.
    pub running: TokenCount,
}

/// An operator's audited statement that a former holder is lost for good and
/// will never report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrozenReclaim {
    /// The slot.
    pub slot: SlotId,
    /// The tenure that ended.
    pub tenure: SlotEpoch,
    /// Upper bound, proved by the audit, of what the holder spent of the frozen
    /// tokens; `None` charges all of them.
    pub spent: Option<TokenCount>,
}

impl BudgetRow {
    /// Applies a former holder's late report: charges what it spent of the frozen
    /// tokens and makes the others available again. A repeated report changes
    /// nothing.
    ///
    /// # Errors
    ///
    /// [`RowError::NotClosed`] while no later tenure has closed the grant,
    /// [`RowError::StillRunning`] if the whole grant is frozen and the holder still
    /// has running attempts, [`RowError::GrantOverdrawn`] if it spent more than was
    /// frozen.
    pub fn report_frozen(&self, report: &FrozenReport) -> Result<RowChange, RowError> {
        let Some(index) = self.frozen_index(&report.slot, report.tenure) else {
            return self.nothing_frozen(&report.slot, report.tenure);
        };
        let frozen = &self.frozen[index];
        if frozen.whole && report.running > TokenCount::ZERO {
            return Err(RowError::StillRunning);
        }
        let settled = report.settled.saturating_sub(frozen.reported);
        let float_settled = report.float_settled.saturating_sub(frozen.float_reported);
        let spent = if frozen.whole {
            settled.saturating_add(float_settled)
        } else {
            float_settled
        };
        if spent > frozen.tokens {
            return Err(RowError::GrantOverdrawn);
        }
        Ok(RowChange::Write(self.settle_frozen(index, spent)))
    }

    /// Charges frozen tokens as an operator's audit states and makes the others
    /// available again. A repeated reclaim changes nothing.
    ///
    /// # Errors
    ///
    /// [`RowError::NotClosed`] while no later tenure has closed the grant.
    pub fn reclaim_frozen(&self, reclaim: &FrozenReclaim) -> Result<RowChange, RowError> {
        let Some(index) = self.frozen_index(&reclaim.slot, reclaim.tenure) else {
            return self.nothing_frozen(&reclaim.slot, reclaim.tenure);
        };
        let spent = reclaim.spent.unwrap_or(self.frozen[index].tokens);
        Ok(RowChange::Write(self.settle_frozen(index, spent)))
    }

    pub(super) fn freeze(&mut self, grant: &BudgetGrant, tokens: TokenCount, whole: bool) {
        if tokens == TokenCount::ZERO {
            return;
        }
        let frozen = FrozenTokens {
            slot: grant.slot.clone(),
            tenure: grant.tenure,
            tokens,
            whole,
            reported: grant.reported,
            float_reported: grant.float_reported,
        };
        let key = |frozen: &FrozenTokens| (frozen.slot.clone(), frozen.tenure);
        let index = self
            .frozen
            .partition_point(|other| key(other) < key(&frozen));
        self.frozen.insert(index, frozen);
    }

    /// Removes the frozen tokens at `index` and settles `spent` of them, at most
    /// all; the others become available again.
    fn settle_frozen(&self, index: usize, spent: TokenCount) -> Self {
        let mut row = self.clone();
        let frozen = row.frozen.remove(index);
        row.settled = row.settled.saturating_add(spent.min(frozen.tokens));
        row.update_paid();
        row
    }

    /// Outcome for a tenure without frozen tokens: an error if its grant has not
    /// been closed yet, otherwise nothing to change.
    fn nothing_frozen(&self, slot: &SlotId, tenure: SlotEpoch) -> Result<RowChange, RowError> {
        match self.grant(slot) {
            Some(grant) if grant.tenure <= tenure => Err(RowError::NotClosed),
            _ => Ok(RowChange::Applied),
        }
    }

    fn frozen_index(&self, slot: &SlotId, tenure: SlotEpoch) -> Option<usize> {
        self.frozen
            .iter()
            .position(|frozen| frozen.slot == *slot && frozen.tenure == tenure)
    }
}
