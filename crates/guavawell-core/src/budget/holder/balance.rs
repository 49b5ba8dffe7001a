//! Near the end of a budget: every slot should hold its part of the rest, so
//! that zones that are parted run dry together.

use super::SlotHolder;
use super::stock::BudgetStock;
use super::stock::PromisedTokens;
use crate::budget::account::BudgetAccount;
use crate::budget::row::fair_part;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::id::TokenCount;

/// Looks at a row over the time that its rest lasts.
const LOOKS: u64 = 64;

impl BudgetStock {
    /// This slot's part of the rest by recent use, as far as the row tells:
    /// what other slots used since their last change counts as theirs still.
    fn fair_stock(&self, account: &BudgetAccount) -> Option<TokenCount> {
        let view = self.view.as_ref()?;
        let open: TokenCount = view.elsewhere.iter().map(|other| other.open).sum();
        let rest = view.unspent.saturating_add(open);
        let demands = view.elsewhere.iter().map(|other| other.demand);
        let rest = rest.saturating_add(self.free(account));
        Some(fair_part(rest, self.demand, demands))
    }

    /// How long this slot's part of the rest lasts, in milliseconds; `None`
    /// for a budget that is not used.
    fn rest_lasts(&self, account: &BudgetAccount) -> Option<u64> {
        let part = self.fair_stock(account)?;
        let by_minute = part.get().saturating_mul(60_000);
        by_minute.checked_div(self.demand.get())
    }

    /// Whether this slot's part of the rest is used within the span.
    pub(super) fn is_near_end(&self, account: &BudgetAccount, span: ClockSpan) -> bool {
        self.fair_stock(account)
            .is_some_and(|part| part < self.use_of(span))
    }
}

impl SlotHolder {
    pub(super) fn is_near_end(&self, place: usize) -> bool {
        let stock = &self.stocks[place];
        self.ledger
            .account(&stock.budget)
            .is_some_and(|account| stock.is_near_end(account, self.settings.balance_span))
    }

    /// Whether the row has to be looked at, to learn of other slots: the more
    /// often, the nearer the end.
    pub(super) fn is_look_due(&self, place: usize, now: ClockTime) -> bool {
        let stock = &self.stocks[place];
        let account = self.ledger.account(&stock.budget);
        let lasts = account.and_then(|account| stock.rest_lasts(account));
        lasts.is_some_and(|lasts| {
            let every = self.settings.balance_every.as_millis().max(lasts / LOOKS);
            now.since(stock.sent_at).as_millis() >= every
        })
    }

    /// What this slot lacks of its part; nothing if it is little.
    pub(super) fn lacking(&self, place: usize) -> TokenCount {
        let stock = &self.stocks[place];
        let Some(account) = self.ledger.account(&stock.budget) else {
            return TokenCount::ZERO;
        };
        let part = stock.fair_stock(account).unwrap_or_default();
        let lacking = part.saturating_sub(stock.free(account));
        if !self.is_near_end(place) || lacking.get() < part.get() / 8 {
            return TokenCount::ZERO;
        }
        lacking
    }

    /// Promises the row what this slot holds beyond its part, out of the
    /// float too.
    pub(super) fn return_excess(&mut self, place: usize) {
        let stock = &self.stocks[place];
        let is_quiet = stock.queue.is_empty() && stock.asked.is_empty() && !self.leaving;
        let is_moving = stock.change.is_some() || !stock.promised.is_empty();
        if !is_quiet || is_moving || !self.is_near_end(place) {
            return;
        }
        let Some(account) = self.ledger.account(&stock.budget) else {
            return;
        };
        let part = stock.fair_stock(account).unwrap_or_default();
        let excess = stock.free(account).saturating_sub(part);
        let least = TokenCount::new(part.get() / 8).max(stock.usual_amount);
        let witnessed = stock.witnessed_free(account);
        if excess < least || self.lower_float_by(place, excess.saturating_sub(witnessed)) {
            return;
        }
        let tokens = excess.min(witnessed);
        if tokens >= least && tokens > TokenCount::ZERO {
            let promise = PromisedTokens { ask: None, tokens };
            self.stocks[place].promised.push(promise);
        }
    }
}
