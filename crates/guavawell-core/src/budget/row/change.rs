//! Changes that a holder makes to its own grant: reporting charges, returning
//! unused tokens, requesting more, and closing the grant of an earlier tenure.

use serde::Deserialize;
use serde::Serialize;

use super::BudgetGrant;
use super::BudgetRow;
use super::RowChange;
use super::RowError;
use crate::budget::account::TenureCounters;
use crate::budget::slot::SlotId;
use crate::id::SlotEpoch;
use crate::id::TokenCount;

/// Use of a budget in earlier tenures, as known to the current holder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FormerUse {
    /// Use in tenures before this one is unknown because holder and witness
    /// were lost together: every open token of their grants is frozen.
    pub unknown_before: SlotEpoch,
    /// The counters of the earlier tenures whose use is known, in ascending
    /// order of tenure.
    pub counters: Vec<TenureCounters>,
}

/// A change that a holder makes to its own grant.
///
/// Whoever writes it must check in the same transaction that the slot row still
/// names the holder's tenure.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantChange {
    /// The slot.
    pub slot: SlotId,
    /// The holder's tenure.
    pub tenure: SlotEpoch,
    /// The number of the change within this tenure, starting at one.
    pub sequence: u64,
    /// Use in earlier tenures; ignored unless the grant still belongs to one of
    /// them.
    pub former: FormerUse,
    /// Sum of all charges to the witnessed part in this tenure.
    pub settled: TokenCount,
    /// Sum of all charges to the float in this tenure.
    pub float_settled: TokenCount,
    /// Unused tokens that the holder returns to the budget.
    pub hand_back: TokenCount,
    /// Tokens that queued requests need in order to run.
    pub need: TokenCount,
    /// Tokens that the holder would like to receive, including `need`.
    pub want: TokenCount,
    /// Recent use of the budget in this slot, in tokens per minute.
    pub demand: TokenCount,
}

impl BudgetRow {
    /// Applies a holder's change: closes the grant of an earlier tenure, settles
    /// new charges, takes returned tokens back and grants more.
    ///
    /// A change whose sequence number was applied before changes nothing.
    ///
    /// # Errors
    ///
    /// [`RowError::LaterTenure`] if the grant already belongs to a later tenure,
    /// [`RowError::GrantOverdrawn`] if charged and returned tokens, or the use in
    /// earlier tenures, exceed the open tokens of the grant.
    pub fn change_grant(&self, change: &GrantChange) -> Result<RowChange, RowError> {
        let former = self.grant(&change.slot);
        let closes = former.is_some_and(|grant| grant.tenure != change.tenure);
        let mut row = self.clone();
        let index = row.open_grant(change)?;
        let grant = &mut row.grants[index];
        if grant.sequence >= change.sequence {
            return Ok(RowChange::Applied);
        }
        let settled = change.settled.saturating_sub(grant.reported);
        let float_settled = change.float_settled.saturating_sub(grant.float_reported);
        let charged = settled.saturating_add(float_settled);
        let taken = charged.saturating_add(change.hand_back);
        grant.open = grant
            .open
            .checked_sub(taken)
            .ok_or(RowError::GrantOverdrawn)?;
        grant.reported = grant.reported.saturating_add(settled);
        grant.float_reported = grant.float_reported.saturating_add(float_settled);
        grant.sequence = change.sequence;
        grant.demand = change.demand;
        row.settled = row.settled.saturating_add(charged);
        let granted = row.tokens_to_grant(change);
        if !closes && taken.saturating_add(granted) == TokenCount::ZERO {
            return Ok(RowChange::Applied);
        }
        row.grants[index].open = row.grants[index].open.saturating_add(granted);
        row.update_paid();
        Ok(RowChange::Write(row))
    }

    /// Returns the index of the holder's grant. Creates an empty grant if the slot
    /// has none and closes a grant of an earlier tenure.
    fn open_grant(&mut self, change: &GrantChange) -> Result<usize, RowError> {
        let index = match self.grant_index(&change.slot) {
            Ok(index) => index,
            Err(index) => {
                let grant = empty_grant(&change.slot, change.tenure);
                self.grants.insert(index, grant);
                return Ok(index);
            }
        };
        let tenure = self.grants[index].tenure;
        if tenure > change.tenure {
            return Err(RowError::LaterTenure);
        }
        if tenure < change.tenure {
            self.close_grant(index, change)?;
        }
        Ok(index)
    }

    /// Replaces the grant of an earlier tenure with one of the holder's tenure.
    /// Open tokens carry over as far as the use in earlier tenures is known.
    fn close_grant(&mut self, index: usize, change: &GrantChange) -> Result<(), RowError> {
        let mut grant = empty_grant(&change.slot, change.tenure);
        std::mem::swap(&mut grant, &mut self.grants[index]);
        if grant.tenure < change.former.unknown_before {
            self.freeze(&grant, grant.open, true);
            return Ok(());
        }
        let open = self.settle_known_use(&grant, &change.former.counters)?;
        self.grants[index].open = open;
        Ok(())
    }

    /// Settles the known charges of earlier tenures, freezes their uncharged
    /// floats and returns the open tokens left for the new holder.
    fn settle_known_use(
        &mut self,
        grant: &BudgetGrant,
        former: &[TenureCounters],
    ) -> Result<TokenCount, RowError> {
        let mut open = grant.open;
        let mut closed = grant.clone();
        for counters in former {
            if counters.tenure < grant.tenure {
                continue;
            }
            if counters.tenure > grant.tenure {
                closed = empty_grant(&grant.slot, counters.tenure);
            }
            let settled = counters.settled.saturating_sub(closed.reported);
            let float_settled = counters.float_settled.saturating_sub(closed.float_reported);
            closed.float_reported = closed.float_reported.saturating_add(float_settled);
            let float = counters.float.saturating_sub(closed.float_reported);
            let charged = settled.saturating_add(float_settled);
            open = open
                .checked_sub(charged.saturating_add(float))
                .ok_or(RowError::GrantOverdrawn)?;
            self.settled = self.settled.saturating_add(charged);
            self.freeze(&closed, float, false);
        }
        Ok(open)
    }

    /// Returns how many tokens to grant.
    ///
    /// `need` is granted as far as unspent tokens allow. Beyond it, `want` is
    /// granted only up to the unspent tokens divided by twice the number of slots
    /// with recent use, so that no slot takes all that is left of a budget.
    fn tokens_to_grant(&self, change: &GrantChange) -> TokenCount {
        let unspent = self.unspent();
        let active_slots = self
            .grants
            .iter()
            .filter(|grant| grant.demand > TokenCount::ZERO)
            .count()
            .max(1);
        let parts = 2 * u64::try_from(active_slots).unwrap_or(u64::MAX / 2);
        let share = TokenCount::new(unspent.get() / parts);
        change.want.min(share).max(change.need.min(unspent))
    }
}

fn empty_grant(slot: &SlotId, tenure: SlotEpoch) -> BudgetGrant {
    BudgetGrant {
        slot: slot.clone(),
        tenure,
        open: TokenCount::ZERO,
        reported: TokenCount::ZERO,
        float_reported: TokenCount::ZERO,
        sequence: 0,
        demand: TokenCount::ZERO,
    }
}
