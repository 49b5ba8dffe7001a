//! One budget's account in the ledger of a slot.

use serde::Deserialize;
use serde::Serialize;

use super::message::TokenPool;
use crate::id::BudgetId;
use crate::id::SlotEpoch;
use crate::id::TokenCount;

/// Use of one budget in one tenure. `settled` and `float_settled` never decrease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TenureCounters {
    /// The tenure.
    pub tenure: SlotEpoch,
    /// Tokens moved into the float minus those moved out of it.
    pub float: TokenCount,
    /// Tokens charged to the witnessed part.
    pub settled: TokenCount,
    /// Tokens charged to the float. At the witness this may lag behind, as the
    /// holder can charge the float while it can't reach the witness.
    pub float_settled: TokenCount,
}

impl TenureCounters {
    /// Creates counters at zero.
    #[must_use]
    pub const fn new(tenure: SlotEpoch) -> Self {
        Self {
            tenure,
            float: TokenCount::ZERO,
            settled: TokenCount::ZERO,
            float_settled: TokenCount::ZERO,
        }
    }

    /// Whether all counters are zero.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::new(self.tenure)
    }

    pub(super) fn charge(&mut self, pool: TokenPool, charged: TokenCount) {
        let settled = self.settled_mut(pool);
        *settled = settled.saturating_add(charged);
    }

    /// Takes a charge back.
    pub(super) fn refund(&mut self, pool: TokenPool, charged: TokenCount) {
        let settled = self.settled_mut(pool);
        *settled = settled.saturating_sub(charged);
    }

    const fn settled_mut(&mut self, pool: TokenPool) -> &mut TokenCount {
        match pool {
            TokenPool::Witnessed => &mut self.settled,
            TokenPool::Float => &mut self.float_settled,
        }
    }
}

/// One budget in a slot's ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BudgetAccount {
    /// The budget.
    pub budget: BudgetId,
    /// The counters of the current tenure.
    pub counters: TenureCounters,
    /// Counters of earlier tenures that the budget row may not include yet, in
    /// ascending order of tenure.
    pub former: Vec<TenureCounters>,
    /// Tokens reserved by running attempts in the witnessed part.
    pub reserved: TokenCount,
    /// Tokens reserved by running attempts in the float.
    pub float_reserved: TokenCount,
}

impl BudgetAccount {
    /// Creates an account without use or reservations.
    #[must_use]
    pub const fn empty(budget: BudgetId, tenure: SlotEpoch) -> Self {
        Self {
            budget,
            counters: TenureCounters::new(tenure),
            former: Vec::new(),
            reserved: TokenCount::ZERO,
            float_reserved: TokenCount::ZERO,
        }
    }

    /// Whether nothing is reserved, and nothing was moved or charged in any tenure
    /// that the account still covers.
    #[must_use]
    pub fn is_unused(&self) -> bool {
        self.former.is_empty()
            && self.counters.is_empty()
            && self.reserved == TokenCount::ZERO
            && self.float_reserved == TokenCount::ZERO
    }

    /// The tokens of `float` that are neither charged nor reserved.
    #[must_use]
    pub const fn float_free(&self, float: TokenCount) -> TokenCount {
        float
            .saturating_sub(self.counters.float_settled)
            .saturating_sub(self.float_reserved)
    }

    /// Starts new counters for `tenure`, keeps the old ones in `former` and drops
    /// the reservations in the float, which a takeover freezes.
    pub(super) fn begin_tenure(&mut self, tenure: SlotEpoch) {
        let ended = std::mem::replace(&mut self.counters, TenureCounters::new(tenure));
        if !ended.is_empty() {
            self.former.push(ended);
        }
        self.float_reserved = TokenCount::ZERO;
    }

    pub(super) fn add_reserved(&mut self, pool: TokenPool, amount: TokenCount) {
        let reserved = self.reserved_mut(pool);
        *reserved = reserved.saturating_add(amount);
    }

    pub(super) fn subtract_reserved(&mut self, pool: TokenPool, amount: TokenCount) {
        let reserved = self.reserved_mut(pool);
        *reserved = reserved.saturating_sub(amount);
    }

    const fn reserved_mut(&mut self, pool: TokenPool) -> &mut TokenCount {
        match pool {
            TokenPool::Witnessed => &mut self.reserved,
            TokenPool::Float => &mut self.float_reserved,
        }
    }
}
