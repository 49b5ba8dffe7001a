//! One budget as its slot's holder keeps it: the grant as last read, what is
//! on its way, and how fast it is used.

use super::event::AskId;
use crate::budget::account::BudgetAccount;
use crate::budget::intent::GrantView;
use crate::budget::message::ReserveRequest;
use crate::budget::row::GrantChange;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::id::BudgetId;
use crate::id::TokenCount;

const MILLIS_A_MINUTE: u64 = 60_000;

/// A reservation that waits for tokens.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct QueuedAsk {
    pub(super) ask: AskId,
    pub(super) reserve: ReserveRequest,
    pub(super) since: ClockTime,
}

/// Tokens that another zone asked for, or was promised.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PromisedTokens {
    /// Whom to tell; `None` where nobody asked.
    pub(super) ask: Option<AskId>,
    pub(super) tokens: TokenCount,
}

/// Whether other zones were asked for tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) enum BackAsk {
    #[default]
    Unasked,
    /// Since the outcome of the change of this number.
    Asked(u64),
    Done,
}

/// One budget as its slot's holder keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct BudgetStock {
    pub(super) budget: BudgetId,
    /// The grant as last read in this tenure.
    pub(super) view: Option<GrantView>,
    /// The number of the last change made.
    pub(super) sequence: u64,
    /// The change on its way, sent again unchanged until its outcome is known.
    pub(super) change: Option<GrantChange>,
    /// When the change was last sent.
    pub(super) sent_at: ClockTime,
    /// Whether the last change met no table.
    pub(super) table_away: bool,
    /// Witnessed charges that the witness acknowledged.
    pub(super) acked_settled: TokenCount,
    /// Tokens moving into the float, not acknowledged yet.
    pub(super) raising: TokenCount,
    /// Tokens moving out of the float, not acknowledged yet.
    pub(super) lowering: TokenCount,
    /// Asks of other zones that are not decided yet, with the tokens wanted.
    pub(super) asked: Vec<PromisedTokens>,
    /// Promises to other zones that no change carries yet.
    pub(super) promised: Vec<PromisedTokens>,
    /// Promises that the change on its way carries.
    pub(super) giving: Vec<PromisedTokens>,
    /// Reservations that wait for tokens.
    pub(super) queue: Vec<QueuedAsk>,
    pub(super) back_ask: BackAsk,
    /// Whether the late report of a former holder stands in the table.
    pub(super) is_reported: bool,
    /// Whether that report was sent at `sent_at`.
    pub(super) is_report_sent: bool,
    /// Until then the budget counts as exhausted without a read.
    pub(super) exhausted_until: ClockTime,
    /// Refill when less is free.
    pub(super) refill_below: TokenCount,
    /// Recent use in tokens a minute.
    pub(super) demand: TokenCount,
    /// Tokens reserved since `measured_at`.
    used: TokenCount,
    measured_at: ClockTime,
    /// A moving mean of the reserved amounts.
    pub(super) usual_amount: TokenCount,
}

impl BudgetStock {
    pub(super) const fn new(budget: BudgetId, now: ClockTime) -> Self {
        Self {
            budget,
            view: None,
            sequence: 0,
            change: None,
            sent_at: now,
            table_away: false,
            acked_settled: TokenCount::ZERO,
            raising: TokenCount::ZERO,
            lowering: TokenCount::ZERO,
            asked: Vec::new(),
            promised: Vec::new(),
            giving: Vec::new(),
            queue: Vec::new(),
            back_ask: BackAsk::Unasked,
            is_reported: false,
            is_report_sent: false,
            exhausted_until: ClockTime::from_millis(0),
            refill_below: TokenCount::ZERO,
            demand: TokenCount::ZERO,
            used: TokenCount::ZERO,
            measured_at: now,
            usual_amount: TokenCount::ZERO,
        }
    }

    /// Open tokens of the grant as last read.
    pub(super) fn open(&self) -> TokenCount {
        self.view
            .as_ref()
            .map_or(TokenCount::ZERO, |view| view.open)
    }

    /// Float tokens that the row's open grant still covers.
    pub(super) fn float_outstanding(&self, account: &BudgetAccount) -> TokenCount {
        let reported = self
            .view
            .as_ref()
            .map_or(TokenCount::ZERO, |view| view.float_reported);
        account
            .counters
            .float
            .saturating_add(self.lowering)
            .saturating_sub(reported)
    }

    /// What of the witnessed part is free.
    pub(super) fn witnessed_free(&self, account: &BudgetAccount) -> TokenCount {
        let Some(view) = &self.view else {
            return TokenCount::ZERO;
        };
        let settled = account.counters.settled.saturating_sub(view.reported);
        view.open
            .saturating_sub(self.float_outstanding(account))
            .saturating_sub(settled)
            .saturating_sub(account.reserved)
            .saturating_sub(self.handing_back())
    }

    /// What of the float is free: only acknowledged moves count.
    pub(super) fn float_free(&self, account: &BudgetAccount) -> TokenCount {
        account.float_free(account.counters.float.saturating_sub(self.raising))
    }

    /// Everything that is free.
    pub(super) fn free(&self, account: &BudgetAccount) -> TokenCount {
        self.witnessed_free(account)
            .saturating_add(self.float_free(account))
    }

    /// Whether something is under way that the next tick has to look at.
    pub(super) fn is_busy(&self) -> bool {
        self.change.is_some()
            || self.used > TokenCount::ZERO
            || !self.queue.is_empty()
            || !self.asked.is_empty()
            || !self.promised.is_empty()
    }

    /// Whether a move into or out of the float is not acknowledged yet.
    pub(super) fn is_moving_float(&self) -> bool {
        self.raising.saturating_add(self.lowering) > TokenCount::ZERO
    }

    /// Tokens promised or given to other zones that the view still counts.
    pub(super) fn handing_back(&self) -> TokenCount {
        let promises = self.promised.iter().chain(&self.giving);
        promises.map(|promise| promise.tokens).sum()
    }

    /// What the waiting reservations need beyond the free witnessed part.
    pub(super) fn shortfall(&self, account: &BudgetAccount) -> TokenCount {
        let queued: TokenCount = self.queue.iter().map(|queued| queued.reserve.amount).sum();
        queued.saturating_sub(self.witnessed_free(account))
    }

    /// The stock that the budget's use asks for.
    pub(super) fn wanted_stock(&self, span: ClockSpan, requests: u64) -> TokenCount {
        let by_use = self.demand.get().saturating_mul(span.as_millis()) / MILLIS_A_MINUTE;
        let by_count = self.usual_amount.get().saturating_mul(requests);
        TokenCount::new(by_use.max(by_count))
    }

    /// Counts a reservation towards the recent use.
    pub(super) fn count_use(&mut self, amount: TokenCount) {
        self.used = self.used.saturating_add(amount);
        let usual = self.usual_amount.get();
        let mean = if usual == 0 {
            amount.get()
        } else {
            usual - usual / 8 + amount.get() / 8
        };
        self.usual_amount = TokenCount::new(mean);
    }

    /// Renews the measured demand once a second or more has passed.
    pub(super) fn measure(&mut self, now: ClockTime) {
        let passed = now.since(self.measured_at).as_millis();
        if passed < 1_000 {
            return;
        }
        let rate = self.used.get().saturating_mul(MILLIS_A_MINUTE) / passed;
        let demand = self.demand.get() - self.demand.get() / 4 + rate / 4;
        self.demand = TokenCount::new(demand);
        self.used = TokenCount::ZERO;
        self.measured_at = now;
    }
}
