//! The holder towards routers: reserve, serve, seal; what it refuses and why.

use super::AskId;
use super::HolderAnswer;
use super::HolderEffect;
use super::SlotHolder;
use super::stock::QueuedAsk;
use super::wait::WaitKind;
use crate::budget::ledger::RequestState;
use crate::budget::ledger::ReservedAttempt;
use crate::budget::message::BackendAssignment;
use crate::budget::message::ReserveAnswer;
use crate::budget::message::ReserveGrant;
use crate::budget::message::ReserveRequest;
use crate::budget::message::SealAnswer;
use crate::budget::message::SealRequest;
use crate::budget::message::TokenPool;
use crate::budget::record::LedgerEntry;
use crate::clock::ClockTime;
use crate::id::AttemptId;
use crate::id::BudgetId;
use crate::id::TokenCount;
use crate::request::RequestIdentity;

impl SlotHolder {
    pub(super) fn reserve(
        &mut self,
        ask: AskId,
        reserve: ReserveRequest,
        now: ClockTime,
        effects: &mut Vec<HolderEffect>,
    ) {
        if self.is_retired() || self.leaving {
            return answer_reserve(ask, self.not_holder_reserve(), effects);
        }
        if self.is_released(reserve.attempt) {
            return answer_reserve(ask, self.unreachable(), effects);
        }
        if self.is_awaited(ask, &reserve) {
            return;
        }
        let is_unsure = self.is_unsure(&reserve.identity) || self.is_renewing(reserve.attempt);
        if is_unsure || self.is_join(&reserve) {
            return self.join_later(ask, reserve, effects);
        }
        if let Some(held) = self.inherited(&reserve) {
            return self.hold_anew(ask, reserve, held, effects);
        }
        if let Some(answer) = self.known_request(&reserve) {
            return answer_reserve(ask, answer, effects);
        }
        let place = self.stock_or_new(&reserve.budget, now);
        if self.queue_again(place, ask, &reserve) {
            return;
        }
        self.stocks[place].count_use(reserve.amount);
        if !self.try_hold(place, ask, &reserve, effects) {
            self.queue_or_refuse(place, ask, reserve, now, effects);
        }
        self.review(place, now, effects);
    }

    /// The answer for a request whose outcome is known, or that runs.
    pub(super) fn known_request(&self, reserve: &ReserveRequest) -> Option<ReserveAnswer> {
        let answer = match self.ledger.request(&reserve.identity)? {
            RequestState::Sealed => ReserveAnswer::Sealed,
            RequestState::Settled(charge)
                if charge.budget != reserve.budget || charge.digest != reserve.digest =>
            {
                ReserveAnswer::Mismatch
            }
            RequestState::Settled(charge) => ReserveAnswer::AlreadyBilled {
                attempt: charge.attempt,
                charged: charge.charged,
                backend: charge.backend.clone(),
            },
            RequestState::Reserved(held)
                if held.budget != reserve.budget || held.digest != reserve.digest =>
            {
                ReserveAnswer::Mismatch
            }
            RequestState::Reserved(held) if held.attempt != reserve.attempt => {
                ReserveAnswer::Joined {
                    attempt: held.attempt,
                    router: held.router.clone(),
                    backend: held.backend.clone(),
                }
            }
            RequestState::Reserved(held) => self.granted(held),
        };
        Some(answer)
    }

    /// The asked attempt, if a former tenure reserved it from the witnessed
    /// part and the ask is the same.
    fn inherited(&self, reserve: &ReserveRequest) -> Option<ReservedAttempt> {
        let held = self.held(&reserve.identity, reserve.attempt)?;
        let is_same = held.budget == reserve.budget && held.digest == reserve.digest;
        let is_former = held.tenure != self.ledger.tenure;
        (is_same && is_former && held.pool == TokenPool::Witnessed).then_some(held)
    }

    /// Reserves an inherited attempt under the present tenure, so that its
    /// grant and its charge name this holder, and nothing that its former
    /// holder still says of it counts.
    ///
    /// The attempt may be running under the former tenure's grant, so it stays
    /// reserved in the witnessed part whatever becomes of this ask: only its
    /// router's release or charge ends it.
    fn hold_anew(
        &mut self,
        ask: AskId,
        reserve: ReserveRequest,
        held: ReservedAttempt,
        effects: &mut Vec<HolderEffect>,
    ) {
        if self.silent {
            return answer_reserve(ask, self.unreachable(), effects);
        }
        self.record(LedgerEntry::Reserve {
            identity: reserve.identity.clone(),
            attempt: held.attempt,
            budget: held.budget,
            pool: held.pool,
            amount: held.amount,
            router: held.router,
            digest: held.digest,
        });
        self.wait(WaitKind::Renewal(held.attempt));
        self.join_later(ask, reserve, effects);
    }

    /// Lets a repeated ask wait with the first one of its attempt.
    fn is_awaited(&mut self, ask: AskId, reserve: &ReserveRequest) -> bool {
        let attempt = reserve.attempt;
        let Some(place) = self.waits.iter().position(
            |wait| matches!(&wait.kind, WaitKind::Reserve(_, _, other) if *other == attempt),
        ) else {
            return false;
        };
        let mut wait = self.waits[place].clone();
        wait.kind = WaitKind::Reserve(ask, reserve.identity.clone(), attempt);
        self.waits.push(wait);
        true
    }

    /// Whether the request is held by another attempt, so that the answer
    /// rests on this holder's word for it.
    fn is_join(&self, reserve: &ReserveRequest) -> bool {
        let state = self.ledger.request(&reserve.identity);
        matches!(state, Some(RequestState::Reserved(held)) if held.attempt != reserve.attempt)
    }

    /// Lets a reservation wait for the witness's word on what is known of its
    /// request. While the witness is away only what it had before is told.
    pub(super) fn join_later(
        &mut self,
        ask: AskId,
        reserve: ReserveRequest,
        effects: &mut Vec<HolderEffect>,
    ) {
        if self.silent {
            return self.join_alone(ask, &reserve, effects);
        }
        self.wait_for_word(WaitKind::Join(ask, Box::new(reserve)));
    }

    /// Joins an attempt that the witness had, or that the float pays; a seal
    /// that may be lost is not told. Once the witness has stopped in order to
    /// take over, nothing is told.
    pub(super) fn join_alone(
        &self,
        ask: AskId,
        reserve: &ReserveRequest,
        effects: &mut Vec<HolderEffect>,
    ) {
        let known = self.known_request(reserve);
        let is_unsure = self.is_unsure(&reserve.identity) || self.is_renewing(reserve.attempt);
        let known = known.filter(|_| !self.deposed && !is_unsure);
        answer_reserve(ask, known.unwrap_or_else(|| self.unreachable()), effects);
    }

    /// Lets a repeated ask take the place of the queued one; another attempt
    /// of a queued request waits on its own and joins once the first runs.
    fn queue_again(&mut self, place: usize, ask: AskId, reserve: &ReserveRequest) -> bool {
        let queue = &mut self.stocks[place].queue;
        let same = queue
            .iter_mut()
            .find(|queued| queued.reserve.attempt == reserve.attempt);
        let Some(queued) = same else {
            return false;
        };
        queued.ask = ask;
        true
    }

    /// Reserves from the witnessed part, else from the float; `false` if
    /// neither covers the amount now.
    pub(super) fn try_hold(
        &mut self,
        place: usize,
        ask: AskId,
        reserve: &ReserveRequest,
        effects: &mut Vec<HolderEffect>,
    ) -> bool {
        let witnessed = self.is_witnessed() && self.witnessed_free(place) >= reserve.amount;
        let pool = if witnessed {
            TokenPool::Witnessed
        } else if self.float_covers(&reserve.budget, reserve.amount) {
            TokenPool::Float
        } else {
            return false;
        };
        self.record(LedgerEntry::Reserve {
            identity: reserve.identity.clone(),
            attempt: reserve.attempt,
            budget: reserve.budget.clone(),
            pool,
            amount: reserve.amount,
            router: reserve.router.clone(),
            digest: reserve.digest,
        });
        let kind = WaitKind::Reserve(ask, reserve.identity.clone(), reserve.attempt);
        match (pool, self.held(&reserve.identity, reserve.attempt)) {
            (TokenPool::Float, Some(held)) => {
                answer_reserve(ask, self.granted(&held), effects);
            }
            _ => self.wait(kind),
        }
        true
    }

    /// Lets a reservation wait for tokens, or refuses it where waiting
    /// can't help.
    fn queue_or_refuse(
        &mut self,
        place: usize,
        ask: AskId,
        reserve: ReserveRequest,
        now: ClockTime,
        effects: &mut Vec<HolderEffect>,
    ) {
        let stock = &self.stocks[place];
        let covered = stock.view.is_some() && self.witnessed_free(place) >= reserve.amount;
        let is_stuck = covered && self.silent;
        let is_full = stock.queue.len() >= self.settings.queue_most;
        if is_stuck || is_full || (stock.table_away && !covered) {
            return answer_reserve(ask, self.unreachable(), effects);
        }
        if !covered && now < stock.exhausted_until {
            return answer_reserve(ask, self.exhausted(place), effects);
        }
        self.stocks[place].queue.push(QueuedAsk {
            ask,
            reserve,
            since: now,
        });
    }

    pub(super) fn serve(&mut self, note: BackendAssignment) {
        if self.held(&note.identity, note.attempt).is_none() {
            return;
        }
        self.record(LedgerEntry::Serve {
            identity: note.identity,
            attempt: note.attempt,
            backend: note.backend,
        });
    }

    pub(super) fn seal(
        &mut self,
        ask: AskId,
        seal: &SealRequest,
        now: ClockTime,
        effects: &mut Vec<HolderEffect>,
    ) {
        if let Some(answer) = self.seal_answer(seal) {
            effects.push(HolderEffect::Answer(ask, HolderAnswer::Seal(answer)));
            return;
        }
        if self.ledger.request(&seal.identity).is_none() {
            self.record(LedgerEntry::Seal {
                identity: seal.identity.clone(),
            });
            self.retain(&seal.identity, now);
        }
        self.wait(WaitKind::Seal(ask, seal.identity.clone()));
    }

    /// The answer to a seal, or `None` if it waits for the witness.
    fn seal_answer(&self, seal: &SealRequest) -> Option<SealAnswer> {
        if self.is_retired() || self.leaving {
            let holder = Some(self.next_holder());
            return Some(SealAnswer::NotHolder { holder });
        }
        let queued = self.stocks.iter().flat_map(|stock| &stock.queue);
        let mut queued = queued.filter(|queued| queued.reserve.identity == seal.identity);
        if let Some(queued) = queued.next() {
            let attempt = queued.reserve.attempt;
            return Some(SealAnswer::Running { attempt });
        }
        match self.ledger.request(&seal.identity) {
            Some(RequestState::Reserved(held)) => Some(SealAnswer::Running {
                attempt: held.attempt,
            }),
            Some(RequestState::Settled(charge)) => Some(SealAnswer::AlreadyBilled {
                attempt: charge.attempt,
                charged: charge.charged,
            }),
            _ if !self.is_witnessed() => Some(SealAnswer::Unreachable {
                retry_after: self.settings.retry_after,
            }),
            Some(RequestState::Sealed) if self.is_acknowledged() => Some(SealAnswer::Sealed),
            _ => None,
        }
    }

    /// The attempt, if it may be running.
    pub(super) fn held(
        &self,
        identity: &RequestIdentity,
        attempt: AttemptId,
    ) -> Option<ReservedAttempt> {
        match self.ledger.request(identity) {
            Some(RequestState::Reserved(held)) if held.attempt == attempt => Some(held.clone()),
            _ => None,
        }
    }

    /// The grant of an attempt that is reserved; an attempt in a frozen float
    /// whose holder is not known is not granted.
    pub(super) fn granted(&self, held: &ReservedAttempt) -> ReserveAnswer {
        let Some(holder) = self.granter(held) else {
            return self.unreachable();
        };
        ReserveAnswer::Granted(ReserveGrant {
            holder: holder.clone(),
            tenure: held.tenure,
            pool: held.pool,
            amount: held.amount,
        })
    }

    pub(super) fn unreachable(&self) -> ReserveAnswer {
        ReserveAnswer::Unreachable {
            retry_after: self.settings.retry_after,
        }
    }

    /// Truthful about the rest: what other zones hold may come back, and so
    /// may what running attempts do not use.
    pub(super) fn exhausted(&self, place: usize) -> ReserveAnswer {
        let stock = &self.stocks[place];
        let open = stock.view.iter().flat_map(|view| &view.elsewhere);
        let elsewhere: TokenCount = open.map(|other| other.open).sum();
        let account = self.ledger.account(&stock.budget);
        let is_running = account.is_some_and(|account| {
            account.reserved.saturating_add(account.float_reserved) > TokenCount::ZERO
        });
        let may_return = is_running || elsewhere > TokenCount::ZERO;
        ReserveAnswer::Exhausted {
            retry_after: may_return.then_some(self.settings.retry_after),
            elsewhere,
        }
    }

    pub(super) fn witnessed_free(&self, place: usize) -> TokenCount {
        let stock = &self.stocks[place];
        self.ledger
            .account(&stock.budget)
            .map_or(TokenCount::ZERO, |account| stock.witnessed_free(account))
    }

    pub(super) fn float_covers(&self, budget: &BudgetId, amount: TokenCount) -> bool {
        let Ok(place) = self.stock_place(budget) else {
            return false;
        };
        let stock = &self.stocks[place];
        self.ledger
            .account(budget)
            .is_some_and(|account| stock.float_free(account) >= amount)
    }

    fn not_holder_reserve(&self) -> ReserveAnswer {
        ReserveAnswer::NotHolder {
            holder: Some(self.next_holder()),
        }
    }
}

pub(super) fn answer_reserve(ask: AskId, answer: ReserveAnswer, effects: &mut Vec<HolderEffect>) {
    effects.push(HolderEffect::Answer(ask, HolderAnswer::Reserve(answer)));
}
