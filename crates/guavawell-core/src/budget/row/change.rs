//! A holder's changes of its own grant: settle, hand back, refill, and the
//! close of a former tenure.

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

/// What former holders did, as their successor knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FormerUse {
    /// Of tenures before this one nothing is known (holder and witness died
    /// together): their grants freeze whole.
    pub unknown_before: SlotEpoch,
    /// The witness's counters of later tenures, by tenure.
    pub counters: Vec<TenureCounters>,
}

/// A holder's change of its own grant. Its writer compares the slot row.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantChange {
    /// The slot.
    pub slot: SlotId,
    /// The holder's tenure.
    pub tenure: SlotEpoch,
    /// The change's number in this tenure, from one.
    pub sequence: u64,
    /// What former tenures did; used if the grant is still theirs.
    pub former: FormerUse,
    /// Witnessed charges of this tenure, in all.
    pub settled: TokenCount,
    /// Float charges of this tenure, in all.
    pub float_settled: TokenCount,
    /// Tokens given back.
    pub hand_back: TokenCount,
    /// Tokens without which a waiting request cannot run.
    pub need: TokenCount,
    /// Tokens wanted in stock, `need` included.
    pub want: TokenCount,
    /// Recent use in tokens a minute.
    pub demand: TokenCount,
}

impl BudgetRow {
    /// Applies a holder's change: closes a former tenure, settles, takes
    /// back, grants.
    ///
    /// # Errors
    ///
    /// [`RowError::LaterTenure`] if the slot has a new holder,
    /// [`RowError::GrantOverdrawn`] if the holder's account does not fit.
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

    /// The place of the changing holder's grant, opened or taken over.
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

    /// Settles what the witness knows, freezes the float, and returns what
    /// goes on to the new holder.
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

    /// Tokens to grant: the need if it is there, else a share of the rest
    /// that shrinks towards the end and with the slots that draw on it.
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
