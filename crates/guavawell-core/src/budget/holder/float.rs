//! The solo float of a holder: its size, and tokens moving into and out of
//! it with the witness's word.

use super::SlotHolder;
use super::wait::WaitKind;
use crate::budget::record::LedgerEntry;
use crate::id::TokenCount;

impl SlotHolder {
    /// Takes tokens out of the float if the witnessed part does not cover
    /// what is wanted; `true` if the witness has to acknowledge first.
    pub(super) fn lower_float_for(&mut self, place: usize, wanted: TokenCount) -> bool {
        let missing = wanted.saturating_sub(self.surplus(place));
        self.stocks[place].queue.is_empty() && self.lower_float_by(place, missing)
    }

    /// Moves up to `missing` tokens out of the float; `false` if none can.
    pub(super) fn lower_float_by(&mut self, place: usize, missing: TokenCount) -> bool {
        let stock = &self.stocks[place];
        if !self.is_witnessed() || stock.is_moving_float() {
            return false;
        }
        let free = self
            .ledger
            .account(&stock.budget)
            .map_or(TokenCount::ZERO, |account| stock.float_free(account));
        let tokens = missing.min(free);
        if tokens == TokenCount::ZERO {
            return false;
        }
        self.lower_float(place, tokens);
        true
    }

    pub(super) fn lower_float(&mut self, place: usize, tokens: TokenCount) {
        let budget = self.stocks[place].budget.clone();
        self.record(LedgerEntry::LowerFloat {
            budget: budget.clone(),
            tokens,
        });
        self.stocks[place].lowering = tokens;
        self.wait(WaitKind::Lower(budget, tokens));
    }

    /// Keeps the float at its part of the grant, with slack on both sides.
    pub(super) fn size_float(&mut self, place: usize) {
        let stock = &self.stocks[place];
        let is_quiet = stock.queue.is_empty() && stock.asked.is_empty() && !self.leaving;
        if !is_quiet || !self.is_witnessed() || stock.view.is_none() || stock.is_moving_float() {
            return;
        }
        let Some(account) = self.ledger.account(&stock.budget) else {
            return;
        };
        let part = u128::from(stock.open().get()) * u128::from(self.settings.float_percent) / 100;
        let part = u64::try_from(part).unwrap_or(u64::MAX);
        let target = TokenCount::new(part).min(self.settings.float_most);
        let free = stock.float_free(account);
        let live = free.saturating_add(account.float_reserved);
        if live.get() < target.get() / 2 {
            let tokens = target.saturating_sub(live).min(self.witnessed_free(place));
            self.raise_float(place, tokens);
        } else if live.get() > target.get().saturating_mul(2) {
            let tokens = live.saturating_sub(target).min(free);
            if tokens > TokenCount::ZERO {
                self.lower_float(place, tokens);
            }
        }
    }

    fn raise_float(&mut self, place: usize, tokens: TokenCount) {
        if tokens == TokenCount::ZERO {
            return;
        }
        let budget = self.stocks[place].budget.clone();
        self.record(LedgerEntry::RaiseFloat {
            budget: budget.clone(),
            tokens,
        });
        self.stocks[place].raising = tokens;
        self.wait(WaitKind::Raise(budget, tokens));
    }
}
