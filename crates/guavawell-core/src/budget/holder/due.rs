//! The change of a grant that is due, if any.

use super::HolderEffect;
use super::SlotHolder;
use super::stock::BackAsk;
use super::stock::BudgetStock;
use crate::budget::account::BudgetAccount;
use crate::budget::row::GrantChange;
use crate::clock::ClockTime;
use crate::id::TokenCount;

/// Why a grant has to change.
#[expect(clippy::struct_excessive_bools, reason = "each is a cause of its own")]
struct ChangeCause {
    /// The grant was not read in this tenure yet.
    unread: bool,
    /// Somebody waits for tokens.
    need: TokenCount,
    /// The stock is low.
    low: bool,
    /// Other zones were promised tokens.
    giving: bool,
    /// Charges waited long enough.
    report: bool,
    /// The row may tell of other slots.
    look: bool,
}

impl ChangeCause {
    const fn is_refill(&self) -> bool {
        self.need.get() > 0 || self.low
    }

    const fn is_any(&self) -> bool {
        self.unread || self.is_refill() || self.giving || self.report || self.look
    }

    /// Whether the change tells the row what was charged: without charges,
    /// a change that is granted nothing needs no write.
    const fn tells_charges(&self) -> bool {
        self.unread || self.low || self.giving || self.report
    }
}

impl SlotHolder {
    /// Decides whether the grant has to change, and starts the change.
    pub(super) fn start_change(
        &mut self,
        place: usize,
        now: ClockTime,
        effects: &mut Vec<HolderEffect>,
    ) {
        if self.stocks[place].change.is_some() {
            return;
        }
        let Some(change) = self.next_change(place, now) else {
            return;
        };
        if self.is_mere_report(place, &change) {
            self.reports.take(now);
        }
        let stock = &mut self.stocks[place];
        stock.giving = std::mem::take(&mut stock.promised);
        stock.sequence = change.sequence;
        stock.change = Some(change);
        self.send_change(place, now, effects);
    }

    /// The change that is due, if any.
    fn next_change(&self, place: usize, now: ClockTime) -> Option<GrantChange> {
        let stock = &self.stocks[place];
        let account = self.ledger.account(&stock.budget)?;
        let cause = self.change_cause(place, account, now);
        if !cause.is_any() {
            return None;
        }
        let want = self.wanted(place, account, &cause);
        let has_rest = stock
            .view
            .as_ref()
            .is_some_and(|view| view.unspent > TokenCount::ZERO);
        let is_told = cause.tells_charges() || (has_rest && want > TokenCount::ZERO);
        let (settled, float_settled) = match &stock.view {
            Some(view) if !is_told => (view.reported, view.float_reported),
            _ => (stock.acked_settled, account.counters.float_settled),
        };
        Some(GrantChange {
            slot: self.slot.clone(),
            tenure: self.row.tenure,
            sequence: stock.sequence + 1,
            former: self.ledger.former_use(&stock.budget),
            settled,
            float_settled,
            hand_back: stock.promised.iter().map(|promise| promise.tokens).sum(),
            need: cause.need.min(want),
            want,
            demand: stock.demand,
        })
    }

    fn change_cause(&self, place: usize, account: &BudgetAccount, now: ClockTime) -> ChangeCause {
        let stock = &self.stocks[place];
        let unspent = stock.view.as_ref().map(|view| view.unspent);
        // First see what comes out of the float.
        let awaits_float = stock.is_moving_float() && self.is_witnessed();
        let need = if awaits_float || stock.back_ask == BackAsk::Asked || self.leaving {
            TokenCount::ZERO
        } else {
            stock.shortfall(account)
        };
        let is_waited = !stock.queue.is_empty() || !stock.asked.is_empty();
        let giving = !stock.promised.is_empty();
        let is_asked = giving || !stock.asked.is_empty() || self.leaving;
        let is_near_end = self.is_near_end(place);
        let is_even = is_near_end && stock.stocked >= stock.worth_moving();
        let may_have = unspent.is_some_and(|rest| rest > TokenCount::ZERO || is_even);
        let free = stock.free(account);
        let low = may_have && free < stock.refill_below(is_near_end)
            || !is_near_end && self.is_thin(stock, free);
        ChangeCause {
            unread: unspent.is_none() && (is_waited || !account.is_unused()),
            need,
            low: low && !is_asked,
            giving,
            report: self.is_report_due(place, now) && self.reports.has_one(now),
            look: !is_asked && self.is_look_due(place, now),
        }
    }

    /// Whether the grant is too small for the float to cover its time, and
    /// the row has plenty: a first grant follows the first request's size.
    fn is_thin(&self, stock: &BudgetStock, free: TokenCount) -> bool {
        let settings = &self.settings;
        let most = u64::from(settings.float_percent_most.max(settings.float_percent));
        let cover = stock.use_of(settings.float_cover).get();
        let whole = cover.saturating_mul(100) / most.max(1);
        let unspent = stock.view.as_ref().map_or(0, |view| view.unspent.get());
        free.get() < whole.min(unspent / 8)
    }

    /// Tokens that a change for this cause asks for.
    fn wanted(&self, place: usize, account: &BudgetAccount, cause: &ChangeCause) -> TokenCount {
        let stock = &self.stocks[place];
        let is_first = cause.unread && stock.asked.is_empty();
        if cause.is_refill() || is_first {
            let wanted = stock.wanted_stock(self.settings.stock_span, self.settings.stock_requests);
            return wanted.saturating_sub(stock.free(account)).max(cause.need);
        }
        if cause.look {
            return self.lacking(place);
        }
        TokenCount::ZERO
    }

    /// Whether a change tells of charges and does nothing else.
    fn is_mere_report(&self, place: usize, change: &GrantChange) -> bool {
        let view = self.stocks[place].view.as_ref();
        let tells = view.is_some_and(|view| {
            change.settled > view.reported || change.float_settled > view.float_reported
        });
        tells && change.want == TokenCount::ZERO && change.hand_back == TokenCount::ZERO
    }

    /// Whether charges have waited long enough for the table.
    fn is_report_due(&self, place: usize, now: ClockTime) -> bool {
        let stock = &self.stocks[place];
        let Some(view) = &stock.view else {
            return false;
        };
        let float_settled = self
            .ledger
            .account(&stock.budget)
            .map_or(TokenCount::ZERO, |account| account.counters.float_settled);
        let is_charged = stock.acked_settled > view.reported || float_settled > view.float_reported;
        is_charged && now.since(stock.told_at) >= self.settings.report_after
    }
}
