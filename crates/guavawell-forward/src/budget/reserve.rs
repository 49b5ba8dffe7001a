//! Reservations: tokens set aside for a request, or the reason why not.

use std::cell::Cell;
use std::rc::Rc;

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::ForwardRefusal;
use guavawell_core::grant::BudgetFacts;
use guavawell_core::grant::ReserveAnswer;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::TokenCount;

use super::BudgetDesk;
use super::borrow::ShareEnd;
use super::wait_until;
use crate::clock::timer_span;
use crate::refusal::RefusalResponse;

/// Least and most time that a request waits for the store's answer.
const LEAST_PATIENCE_MS: u64 = 150;
/// See [`LEAST_PATIENCE_MS`].
const MOST_PATIENCE_MS: u64 = 900;
/// Answers of the store that a waiting request is given, as a multiple of
/// their usual time: one for the grant, one for the line, one for a conflict.
const PATIENCE_ANSWERS: u64 = 4;
/// Longest lock that a request sits out at an instance that is cut off: about
/// half of what callers expect until the first token.
const LOCK_PATIENCE: ClockSpan = ClockSpan::from_millis(250);
/// How long a request waits for tokens that another instance holds: one
/// question of that instance and three answers of the store.
const SHARE_PATIENCE: ClockSpan = ClockSpan::from_millis(350);
/// Pause between looks at whether they came.
const SHARE_STEP: ClockSpan = ClockSpan::from_millis(50);
/// How long a request waits for other instances' loans at most: two that do not
/// answer and one that does.
const BORROW_PATIENCE: ClockSpan = ClockSpan::from_millis(400);
/// Retry-After where nothing tells when tokens will be there: about the time
/// in which an instance brings its grants up to date.
const RETRY_UNKNOWN: ClockSpan = ClockSpan::from_millis(700);
/// Retry-After at most, since a top-up may come at any time.
const RETRY_MOST: ClockSpan = ClockSpan::from_millis(5_000);
/// The shortest wait.
const MILLISECOND: ClockSpan = ClockSpan::from_millis(1);

/// Why a reservation was turned down.
#[derive(Clone, Debug)]
pub struct BudgetRefusal {
    /// The answer for the caller.
    pub answer: RefusalResponse,
    /// What the book said last.
    pub cause: ReserveAnswer,
    /// What it was decided by.
    pub facts: BudgetFacts,
    /// How long the request waited for tokens.
    pub waited: ClockSpan,
    /// How long the store had failed to answer.
    pub store_away: ClockSpan,
}

/// Tokens that are set aside for one request.
#[derive(Debug)]
pub struct TokenReservation {
    desk: Rc<BudgetDesk>,
    organisation: OrganisationId,
    reserved: u64,
    /// Of these, tokens that other instances lent.
    lent: u64,
    spent: Cell<u64>,
}

impl TokenReservation {
    /// Tokens set aside, and spent so far.
    #[must_use]
    pub fn tokens(&self) -> (u64, u64) {
        (self.reserved, self.spent.get())
    }

    /// Tells what the request has spent in all so far, at most what was
    /// reserved. What was spent before never becomes less: a second attempt
    /// begins without the events that the first one delivered.
    pub fn spend(&self, tokens: TokenCount) {
        let spent = tokens.get().min(self.reserved);
        self.spent.set(self.spent.get().max(spent));
    }

    /// The request spends nothing: it has not run, or brought its caller nothing.
    pub fn release(&self) {
        self.spent.set(0);
    }
}

impl Drop for TokenReservation {
    fn drop(&mut self) {
        let mut book = self.desk.book.borrow_mut();
        let spent = self.spent.get();
        book.settle_loan(&self.organisation, self.reserved, self.lent, spent);
    }
}

/// A request that waits for tokens.
pub(super) struct WaitingRequest<'a> {
    desk: &'a BudgetDesk,
    organisation: &'a OrganisationId,
    tokens: u64,
}

impl<'a> WaitingRequest<'a> {
    pub(super) fn new(desk: &'a BudgetDesk, organisation: &'a OrganisationId, tokens: u64) -> Self {
        desk.book.borrow_mut().wait(organisation, tokens, true);
        Self {
            desk,
            organisation,
            tokens,
        }
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        let mut book = self.desk.book.borrow_mut();
        book.wait(self.organisation, self.tokens, false);
    }
}

impl BudgetDesk {
    /// Sets the worst case of a request aside, and waits for the store where
    /// that can help within `time_left`.
    ///
    /// # Errors
    ///
    /// The refusal with which the caller is to be turned away.
    pub async fn reserve(
        self: &Rc<Self>,
        organisation: &OrganisationId,
        worst: TokenCount,
        time_left: ClockSpan,
    ) -> Result<TokenReservation, BudgetRefusal> {
        let tokens = worst.get();
        let began = self.clock.now();
        let patience = self.patience(time_left);
        let mut waiting = None;
        let mut may_borrow = true;
        loop {
            let changed = self.changed.listen();
            let answer = self.ask(organisation, tokens);
            match answer {
                ReserveAnswer::Granted => return Ok(self.reservation(organisation, tokens, 0)),
                ReserveAnswer::GrantedLoan(lent) => {
                    return Ok(self.reservation(organisation, tokens, lent));
                }
                _ => {}
            }
            let waited = self.clock.now().since(began);
            if !self.holds(organisation)
                && self.ask_holders(organisation, tokens, time_left).await?
            {
                let waited = self.clock.now().since(began);
                if waited < patience {
                    continue;
                }
            }
            let pause = self.pause(answer, patience, waited, third_of(time_left));
            if self.should_borrow(answer, organisation, tokens, pause.is_err())
                && std::mem::take(&mut may_borrow)
            {
                let limit = third_of(time_left).min(BORROW_PATIENCE);
                if self.borrow(organisation, tokens, limit).await {
                    continue;
                }
            }
            let pause =
                pause.map_err(|refusal| self.explain(refusal, answer, organisation, waited))?;
            if waiting.is_none() {
                waiting = Some(WaitingRequest::new(self, organisation, tokens));
                self.ring();
            }
            wait_until(changed, timer_span(pause)).await;
        }
    }

    /// Asks the holders for the tokens of a request; whether they lent them.
    /// This instance holds tokens itself from now on if none of them answers.
    ///
    /// # Errors
    ///
    /// The holders have too little.
    async fn ask_holders(
        &self,
        organisation: &OrganisationId,
        tokens: u64,
        time_left: ClockSpan,
    ) -> Result<bool, BudgetRefusal> {
        let began = self.clock.now();
        let limit = third_of(time_left).min(BORROW_PATIENCE);
        match self.borrow_share(organisation, tokens, limit).await {
            ShareEnd::Lent => Ok(true),
            ShareEnd::Unreached => {
                self.become_stand_in(organisation);
                Ok(false)
            }
            ShareEnd::Declined(cause) => {
                let waited = self.clock.now().since(began);
                Err(self.explain(refusal_of(cause), cause, organisation, waited))
            }
        }
    }

    fn explain(
        &self,
        answer: RefusalResponse,
        cause: ReserveAnswer,
        organisation: &OrganisationId,
        waited: ClockSpan,
    ) -> BudgetRefusal {
        let now = self.clock.now();
        let since = self.failing_since.get();
        BudgetRefusal {
            answer,
            cause,
            facts: self.book.borrow().facts(organisation, now),
            waited,
            store_away: since.map_or(ClockSpan::default(), |since| now.since(since)),
        }
    }

    /// Whether this instance holds tokens of an organisation.
    fn holds(&self, organisation: &OrganisationId) -> bool {
        let now = self.clock.now();
        self.book.borrow().is_holder(organisation, now)
    }

    /// Holds tokens in place of holders that do not answer.
    fn become_stand_in(&self, organisation: &OrganisationId) {
        let now = self.clock.now();
        self.book.borrow_mut().become_stand_in(organisation, now);
        self.ring();
    }

    fn ask(&self, organisation: &OrganisationId, tokens: u64) -> ReserveAnswer {
        let now = self.clock.now();
        let mut book = self.book.borrow_mut();
        book.reserve(organisation, tokens, now)
    }

    /// Whether other instances are to be asked: before waiting where the store
    /// has nothing to grant, otherwise before the request is turned away.
    fn should_borrow(
        &self,
        answer: ReserveAnswer,
        organisation: &OrganisationId,
        tokens: u64,
        refused: bool,
    ) -> bool {
        let cut_off = self.is_cut_off();
        let book = self.book.borrow();
        let may = |away| book.may_borrow(organisation, tokens, away, self.clock.now());
        match answer {
            ReserveAnswer::Short => may(cut_off || refused),
            ReserveAnswer::Locked(_) => refused && may(true),
            _ => false,
        }
    }

    fn reservation(
        self: &Rc<Self>,
        id: &OrganisationId,
        tokens: u64,
        lent: u64,
    ) -> TokenReservation {
        TokenReservation {
            desk: Rc::clone(self),
            organisation: id.clone(),
            reserved: tokens,
            lent,
            spent: Cell::new(0),
        }
    }

    /// How long a request waits for the store.
    fn patience(&self, time_left: ClockSpan) -> ClockSpan {
        let usual = self.answer_ms.get() * PATIENCE_ANSWERS;
        let most = usual.clamp(LEAST_PATIENCE_MS, MOST_PATIENCE_MS);
        ClockSpan::from_millis(most).min(third_of(time_left))
    }

    /// How long to wait before asking again.
    fn pause(
        &self,
        answer: ReserveAnswer,
        patience: ClockSpan,
        waited: ClockSpan,
        time_left: ClockSpan,
    ) -> Result<ClockSpan, RefusalResponse> {
        let cut_off = self.is_cut_off();
        let refuse =
            |after| Err(RefusalResponse::new(ForwardRefusal::BudgetUnavailable).after(after));
        let left = ClockSpan::from_millis(patience.as_millis().saturating_sub(waited.as_millis()));
        match answer {
            answer if answer.is_used_up() => Err(refusal_of(answer)),
            ReserveAnswer::Locked(span)
                if span <= LOCK_PATIENCE && waited < patience_of_lock(patience) =>
            {
                Ok(span.max(MILLISECOND))
            }
            ReserveAnswer::Locked(span) if cut_off || left <= MILLISECOND => {
                refuse(span.min(RETRY_MOST))
            }
            ReserveAnswer::Locked(span) => Ok(span.min(left)),
            _ if cut_off => refuse(RETRY_UNKNOWN),
            _ if waited < patience.max(SHARE_PATIENCE.min(time_left)) => Ok(left.max(SHARE_STEP)),
            _ => refuse(RETRY_UNKNOWN),
        }
    }

    /// Has rows written for what waits.
    pub(super) fn ring(&self) {
        self.budget_bell.notify(usize::MAX);
        self.line_bell.notify(usize::MAX);
    }

    /// Whether the store has failed for longer than a request would wait.
    pub(super) fn is_cut_off(&self) -> bool {
        let now = self.clock.now();
        let patience = ClockSpan::from_millis(LEAST_PATIENCE_MS);
        let since = self.failing_since.get();
        since.is_some_and(|since| now.since(since) >= patience)
    }
}

/// The refusal where waiting does not help.
fn refusal_of(cause: ReserveAnswer) -> RefusalResponse {
    match cause {
        ReserveAnswer::Exhausted => {
            RefusalResponse::new(ForwardRefusal::BudgetExhausted).after(RETRY_MOST)
        }
        // Only a top-up helps.
        ReserveAnswer::Frozen => {
            RefusalResponse::new(ForwardRefusal::BudgetUnavailable).after(RETRY_MOST)
        }
        _ => RefusalResponse::new(ForwardRefusal::BudgetUnavailable).after(RETRY_UNKNOWN),
    }
}

/// A request that others overtake at the line waits no longer than this.
fn patience_of_lock(patience: ClockSpan) -> ClockSpan {
    patience.max(LOCK_PATIENCE)
}

/// The part of a request's time that may go into waiting for tokens.
fn third_of(time_left: ClockSpan) -> ClockSpan {
    ClockSpan::from_millis(time_left.as_millis() / 3)
}
