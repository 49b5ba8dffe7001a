//! The account of one budget in a slot's ledger.

use serde::Deserialize;
use serde::Serialize;

use super::message::TokenPool;
use crate::id::BudgetId;
use crate::id::SlotEpoch;
use crate::id::TokenCount;

/// What one tenure did with one budget; the settled counts only rise.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TenureCounters {
    /// The tenure that the counters count for.
    pub tenure: SlotEpoch,
    /// Tokens moved into the float, less those moved out again.
    pub float: TokenCount,
    /// Tokens charged to the witnessed part.
    pub settled: TokenCount,
    /// Tokens charged to the float, as far as known.
    pub float_settled: TokenCount,
}

impl TenureCounters {
    /// Counters at zero.
    #[must_use]
    pub const fn new(tenure: SlotEpoch) -> Self {
        Self {
            tenure,
            float: TokenCount::ZERO,
            settled: TokenCount::ZERO,
            float_settled: TokenCount::ZERO,
        }
    }

    /// Whether nothing was ever moved or charged.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::new(self.tenure)
    }

    pub(super) fn charge(&mut self, pool: TokenPool, charged: TokenCount) {
        let settled = match pool {
            TokenPool::Witnessed => &mut self.settled,
            TokenPool::Float => &mut self.float_settled,
        };
        *settled = settled.saturating_add(charged);
    }
}

/// One budget in a slot's ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BudgetAccount {
    /// The budget.
    pub budget: BudgetId,
    /// The present tenure's counters.
    pub counters: TenureCounters,
    /// Counters of former tenures that the table may not hold yet, by
    /// tenure.
    pub former: Vec<TenureCounters>,
    /// Worst cases of running attempts in the witnessed part.
    pub reserved: TokenCount,
    /// Worst cases of running attempts in the float.
    pub float_reserved: TokenCount,
}

impl BudgetAccount {
    /// An account with nothing in it.
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

    /// Whether nothing was moved, charged or reserved in any tenure that the
    /// account still counts for.
    #[must_use]
    pub fn is_unused(&self) -> bool {
        self.former.is_empty()
            && self.counters.is_empty()
            && self.reserved == TokenCount::ZERO
            && self.float_reserved == TokenCount::ZERO
    }

    /// What of `float` is neither charged nor reserved.
    #[must_use]
    pub const fn float_free(&self, float: TokenCount) -> TokenCount {
        float
            .saturating_sub(self.counters.float_settled)
            .saturating_sub(self.float_reserved)
    }

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
