//! The holder towards the table and other zones: refill, reports of settled
//! use, and tokens handed back.

use super::AskId;
use super::HolderAnswer;
use super::HolderEffect;
use super::HolderNote;
use super::SlotHolder;
use super::ask::answer_reserve;
use super::stock::BackAsk;
use super::stock::PromisedTokens;
use super::stock::QueuedAsk;
use crate::budget::intent::ChangeKey;
use crate::budget::intent::GrantView;
use crate::budget::intent::TableFailure;
use crate::budget::message::HandBackAnswer;
use crate::budget::message::HandBackRequest;
use crate::budget::message::ReserveAnswer;
use crate::budget::record::LedgerEntry;
use crate::budget::row::GrantChange;
use crate::budget::slot::SlotId;
use crate::clock::ClockTime;
use crate::id::TokenCount;
use crate::request::RequestIdentity;

impl SlotHolder {
    /// Looks at one budget after something changed: serves who waits, moves
    /// the float, decides about a change of the grant.
    pub(super) fn review(&mut self, place: usize, now: ClockTime, effects: &mut Vec<HolderEffect>) {
        if self.is_retired() {
            return;
        }
        self.serve_queue(place, effects);
        self.promise_back(place, effects);
        self.size_float(place);
        self.start_change(place, now, effects);
        self.busy[place] = self.stocks[place].is_busy();
    }

    pub(super) fn review_budget_of(
        &mut self,
        identity: &RequestIdentity,
        now: ClockTime,
        effects: &mut Vec<HolderEffect>,
    ) {
        use crate::budget::ledger::RequestState;
        let budget = match self.ledger.request(identity) {
            Some(RequestState::Settled(charge)) => charge.budget.clone(),
            _ => return,
        };
        if let Ok(place) = self.stock_place(&budget) {
            self.review(place, now, effects);
        }
    }

    fn serve_queue(&mut self, place: usize, effects: &mut Vec<HolderEffect>) {
        if self.stocks[place].queue.is_empty() {
            return;
        }
        let queue = std::mem::take(&mut self.stocks[place].queue);
        for queued in queue {
            if self.ledger.request(&queued.reserve.identity).is_some() {
                self.join_later(queued.ask, queued.reserve, effects);
            } else if !self.try_hold(place, queued.ask, &queued.reserve, effects) {
                self.stocks[place].queue.push(queued);
            }
        }
        if self.stocks[place].queue.is_empty() {
            self.stocks[place].back_ask = BackAsk::Unasked;
        }
    }

    /// Refuses everybody who waits for this budget.
    pub(super) fn refuse_queue(
        &mut self,
        place: usize,
        answer: &ReserveAnswer,
        effects: &mut Vec<HolderEffect>,
    ) {
        let queue = std::mem::take(&mut self.stocks[place].queue);
        self.stocks[place].back_ask = BackAsk::Unasked;
        for queued in queue {
            answer_reserve(queued.ask, answer.clone(), effects);
        }
    }

    pub(super) fn expire_queue(
        &mut self,
        place: usize,
        now: ClockTime,
        effects: &mut Vec<HolderEffect>,
    ) {
        let limit = self.settings.queue_wait;
        let is_late = |queued: &QueuedAsk| now.since(queued.since) >= limit;
        if !self.stocks[place].queue.iter().any(is_late) {
            return;
        }
        let is_read = self.stocks[place].back_ask != BackAsk::Unasked;
        let answer = if is_read {
            self.exhausted(place)
        } else {
            self.unreachable()
        };
        let queue = std::mem::take(&mut self.stocks[place].queue);
        let (late, waiting): (Vec<QueuedAsk>, Vec<QueuedAsk>) =
            queue.into_iter().partition(|queued| is_late(queued));
        self.stocks[place].queue = waiting;
        for queued in late {
            answer_reserve(queued.ask, answer.clone(), effects);
        }
    }

    /// Decides whether the grant has to change, and starts the change.
    fn start_change(&mut self, place: usize, now: ClockTime, effects: &mut Vec<HolderEffect>) {
        if self.stocks[place].change.is_some() {
            return;
        }
        let Some(change) = self.next_change(place, now) else {
            return;
        };
        if change.want == TokenCount::ZERO && change.hand_back == TokenCount::ZERO {
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
        let free = stock.free(account);
        let unspent = stock.view.as_ref().map(|view| view.unspent);
        // The table has no more: first see what comes out of the float.
        let awaits_float =
            unspent == Some(TokenCount::ZERO) && stock.is_moving_float() && self.is_witnessed();
        let need = if awaits_float || matches!(stock.back_ask, BackAsk::Asked(_)) {
            TokenCount::ZERO
        } else {
            stock.shortfall(account)
        };
        let is_unread = unspent.is_none()
            && (!stock.queue.is_empty() || !stock.asked.is_empty() || !account.is_unused());
        let is_giving = !stock.promised.is_empty();
        let is_asked = is_giving || !stock.asked.is_empty();
        let is_low = !is_asked
            && unspent.is_some_and(|rest| rest > TokenCount::ZERO)
            && free < stock.refill_below;
        let is_report_due = self.is_report_due(place, now) && self.reports.has_one(now);
        let is_refill = (need > TokenCount::ZERO || is_low) && !self.leaving;
        if !(is_unread || is_refill || is_giving || is_report_due) {
            return None;
        }
        let wanted = stock.wanted_stock(self.settings.stock_span, self.settings.stock_requests);
        let want = if is_refill || (is_unread && stock.asked.is_empty()) {
            wanted.saturating_sub(free).max(need)
        } else {
            TokenCount::ZERO
        };
        // Without charges, a change that is granted nothing needs no write.
        let is_probe =
            unspent == Some(TokenCount::ZERO) && !is_giving && !is_report_due && !is_unread;
        let (settled, float_settled) = match &stock.view {
            Some(view) if is_probe => (view.reported, view.float_reported),
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
            need: need.min(want),
            want,
            demand: stock.demand,
        })
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
        is_charged && now.since(stock.sent_at) >= self.settings.report_after
    }

    pub(super) fn resend_change(
        &mut self,
        place: usize,
        now: ClockTime,
        effects: &mut Vec<HolderEffect>,
    ) {
        if now.since(self.stocks[place].sent_at) >= self.settings.table_retry {
            self.send_change(place, now, effects);
        }
    }

    pub(super) fn take_grant(
        &mut self,
        key: &ChangeKey,
        outcome: Result<GrantView, TableFailure>,
        now: ClockTime,
        effects: &mut Vec<HolderEffect>,
    ) {
        let Ok(place) = self.stock_place(&key.budget) else {
            return;
        };
        let change = self.stocks[place].change.as_ref();
        let is_awaited = change.is_some_and(|change| key.names(change));
        if self.is_retired() || !is_awaited {
            return;
        }
        match outcome {
            Ok(view) => self.take_view(place, view, now, effects),
            Err(TableFailure::Unreachable) => {
                self.stocks[place].table_away = true;
                let answer = self.unreachable();
                self.refuse_queue(place, &answer, effects);
            }
            Err(TableFailure::NotHolder) => self.read_slot(effects),
            Err(TableFailure::NoBudget) => {
                self.drop_change(place, effects);
                self.stocks[place].exhausted_until = now + self.settings.exhausted_hold;
                let answer = self.exhausted(place);
                self.refuse_queue(place, &answer, effects);
            }
            Err(TableFailure::Refused(_)) => {
                self.drop_change(place, effects);
                let note = HolderNote::AccountMismatch(key.budget.clone());
                effects.push(HolderEffect::Note(note));
                let answer = self.unreachable();
                self.refuse_queue(place, &answer, effects);
            }
        }
    }

    /// Takes the grant as it is after the change on its way.
    ///
    /// A change that carries nothing and is granted nothing is not written. If
    /// it is granted something after all, by a late write, the next view shows
    /// it.
    fn take_view(
        &mut self,
        place: usize,
        view: GrantView,
        now: ClockTime,
        effects: &mut Vec<HolderEffect>,
    ) {
        let stock = &mut self.stocks[place];
        stock.change = None;
        stock.table_away = false;
        stock.view = Some(view);
        let given = std::mem::take(&mut stock.giving);
        answer_given(given, effects);
        self.close_former(place, effects);
        self.serve_queue(place, effects);
        self.set_refill_mark(place);
        self.after_shortage(place, now, effects);
        self.review(place, now, effects);
    }

    /// The table holds the former tenures' use now.
    fn close_former(&mut self, place: usize, effects: &mut Vec<HolderEffect>) {
        let budget = self.stocks[place].budget.clone();
        let is_closed = self
            .ledger
            .account(&budget)
            .is_none_or(|account| account.former.is_empty());
        if is_closed {
            return;
        }
        let tenure = self.row.tenure;
        self.record(LedgerEntry::Rebase {
            budget: budget.clone(),
            tenure,
        });
        effects.push(HolderEffect::Note(HolderNote::TenureClosed(budget)));
    }

    /// The next refill starts when half of the stock is used, or half of
    /// what could be had of it.
    fn set_refill_mark(&mut self, place: usize) {
        let stock = &self.stocks[place];
        let wanted = stock.wanted_stock(self.settings.stock_span, self.settings.stock_requests);
        let free = self
            .ledger
            .account(&stock.budget)
            .map_or(TokenCount::ZERO, |account| stock.free(account));
        let mark = wanted.min(free).get() / 2;
        self.stocks[place].refill_below = TokenCount::new(mark);
    }

    /// Asks other zones, and refuses only after they were asked.
    fn after_shortage(&mut self, place: usize, now: ClockTime, effects: &mut Vec<HolderEffect>) {
        let stock = &self.stocks[place];
        let account = self.ledger.account(&stock.budget);
        let wanted = account.map_or(TokenCount::ZERO, |account| stock.shortfall(account));
        if stock.queue.is_empty() || wanted == TokenCount::ZERO {
            return;
        }
        let others = stock.view.iter().flat_map(|view| &view.elsewhere);
        let open: TokenCount = others.clone().map(|other| other.open).sum();
        let slots: Vec<SlotId> = others.map(|other| other.slot.clone()).collect();
        let is_unasked = stock.back_ask == BackAsk::Unasked;
        if matches!(stock.back_ask, BackAsk::Asked(_)) {
            return;
        }
        let is_last = stock
            .view
            .as_ref()
            .is_none_or(|view| view.unspent == TokenCount::ZERO);
        let is_moving = stock.is_moving_float() && self.is_witnessed();
        if is_last && (is_moving || self.lower_float_by(place, wanted)) {
            return;
        }
        let stock = &self.stocks[place];
        if is_unasked && open >= wanted {
            let key = ChangeKey {
                budget: stock.budget.clone(),
                tenure: self.ledger.tenure,
                sequence: stock.sequence,
            };
            self.stocks[place].back_ask = BackAsk::Asked(key.sequence);
            effects.push(HolderEffect::AskHandBack { key, wanted, slots });
            return;
        }
        let budget = stock.budget.clone();
        let answer = self.exhausted(place);
        self.stocks[place].exhausted_until = now + self.settings.exhausted_hold;
        self.refuse_queue(place, &answer, effects);
        effects.push(HolderEffect::Note(HolderNote::Exhausted(budget)));
    }

    pub(super) fn hand_back_done(
        &mut self,
        key: &ChangeKey,
        now: ClockTime,
        effects: &mut Vec<HolderEffect>,
    ) {
        let Ok(place) = self.stock_place(&key.budget) else {
            return;
        };
        let stock = &mut self.stocks[place];
        let is_awaited = stock.back_ask == BackAsk::Asked(key.sequence);
        if key.tenure != self.ledger.tenure || !is_awaited {
            return;
        }
        stock.back_ask = BackAsk::Done;
        self.review(place, now, effects);
    }

    pub(super) fn hand_back(
        &mut self,
        ask: AskId,
        back: &HandBackRequest,
        now: ClockTime,
        effects: &mut Vec<HolderEffect>,
    ) {
        if self.is_retired() {
            let holder = Some(self.next_holder());
            let answer = HolderAnswer::HandBack(HandBackAnswer::NotHolder { holder });
            effects.push(HolderEffect::Answer(ask, answer));
            return;
        }
        let place = self.stock_or_new(&back.budget, now);
        self.stocks[place].asked.push(PromisedTokens {
            ask: Some(ask),
            tokens: back.wanted,
        });
        self.review(place, now, effects);
    }

    /// Decides about asks of other zones: deducts here before it promises.
    fn promise_back(&mut self, place: usize, effects: &mut Vec<HolderEffect>) {
        let stock = &self.stocks[place];
        if stock.asked.is_empty() || stock.view.is_none() || stock.is_moving_float() {
            return;
        }
        let wanted: TokenCount = stock.asked.iter().map(|asked| asked.tokens).sum();
        if self.lower_float_for(place, wanted) {
            return;
        }
        for asked in std::mem::take(&mut self.stocks[place].asked) {
            let tokens = self.surplus(place).min(asked.tokens);
            let promise = PromisedTokens { tokens, ..asked };
            if tokens == TokenCount::ZERO {
                answer_given(vec![promise], effects);
            } else {
                self.stocks[place].promised.push(promise);
            }
        }
    }

    /// What this zone can spare: nothing while somebody waits here.
    pub(super) fn surplus(&self, place: usize) -> TokenCount {
        let stock = &self.stocks[place];
        if !stock.queue.is_empty() {
            return TokenCount::ZERO;
        }
        self.witnessed_free(place)
    }

    fn drop_change(&mut self, place: usize, effects: &mut Vec<HolderEffect>) {
        self.stocks[place].change = None;
        let given = std::mem::take(&mut self.stocks[place].giving);
        let nothing = given.into_iter().map(|promise| PromisedTokens {
            tokens: TokenCount::ZERO,
            ..promise
        });
        answer_given(nothing.collect(), effects);
    }
}

pub(super) fn answer_given(given: Vec<PromisedTokens>, effects: &mut Vec<HolderEffect>) {
    for promise in given {
        let tokens = promise.tokens;
        let answer = HolderAnswer::HandBack(HandBackAnswer::Given { tokens });
        effects.extend(promise.ask.map(|ask| HolderEffect::Answer(ask, answer)));
    }
}
