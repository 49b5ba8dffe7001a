//! Frozen tokens: how they come to be, and the two ways in which they end.

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

/// The late word of a former holder about tokens that froze.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FrozenReport {
    /// The slot.
    pub slot: SlotId,
    /// The tenure that ended.
    pub tenure: SlotEpoch,
    /// Witnessed charges of that tenure, in all.
    pub settled: TokenCount,
    /// Float charges of that tenure, in all.
    pub float_settled: TokenCount,
    /// Worst cases of witnessed attempts whose outcome the holder does not
    /// know yet.
    pub running: TokenCount,
}

/// An operator's audited word that a former holder is destroyed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrozenReclaim {
    /// The slot.
    pub slot: SlotId,
    /// The tenure that ended.
    pub tenure: SlotEpoch,
    /// The most that the holder can have spent of the frozen tokens, as the
    /// audit proves; `None` charges all of them.
    pub spent: Option<TokenCount>,
}

impl BudgetRow {
    /// Applies a former holder's late report; a second one finds nothing.
    ///
    /// # Errors
    ///
    /// [`RowError::NotClosed`] while the grant is still the former holder's,
    /// [`RowError::StillRunning`] if its running attempts draw on the frozen
    /// tokens, [`RowError::GrantOverdrawn`] if it spent more than froze.
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

    /// Ends frozen tokens by an operator's audited word.
    ///
    /// # Errors
    ///
    /// [`RowError::NotClosed`] while the grant is still the former holder's.
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

    /// Settles `spent` of the frozen tokens at `index`; the rest is unspent.
    fn settle_frozen(&self, index: usize, spent: TokenCount) -> Self {
        let mut row = self.clone();
        let frozen = row.frozen.remove(index);
        row.settled = row.settled.saturating_add(spent.min(frozen.tokens));
        row.update_paid();
        row
    }

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
