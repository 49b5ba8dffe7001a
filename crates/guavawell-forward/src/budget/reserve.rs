//! Reservation of tokens for a request.

use std::cell::Cell;
use std::rc::Rc;

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::ForwardRefusal;
use guavawell_core::grant::BudgetFacts;
use guavawell_core::grant::ReserveAnswer;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::TokenCount;
use guavawell_fleet::event::EventDraft;

use super::BudgetManager;
use super::borrow::ShareOutcome;
use super::wait_until;
use crate::clock::timer_span;
use crate::refusal::RefusalResponse;

/// Shortest limit on the time that a request waits for the store.
const MIN_STORE_WAIT_MS: u64 = 150;
/// Longest limit on the time that a request waits for the store.
const MAX_STORE_WAIT_MS: u64 = 900;
/// Time that a request waits for the store, as a multiple of the mean response
/// time. It must cover a write of the grant, one of the spending limits, and a
/// retry after a conflict.
const STORE_WAIT_LATENCIES: u64 = 4;
/// Longest wait until the spending limit has risen far enough for a request, which it
/// does with time and without a call to the store: about half of the expected time to
/// the first token.
const MAX_LOCK_WAIT: ClockSpan = ClockSpan::from_millis(250);
/// Time that a request waits for tokens that another instance holds: one poll by
/// that instance and three responses of the store.
const PEER_TOKEN_WAIT: ClockSpan = ClockSpan::from_millis(350);
/// Shortest interval between checks for these tokens.
const RECHECK_INTERVAL: ClockSpan = ClockSpan::from_millis(50);
/// Longest time that a request spends on borrowing: two instances that do not
/// answer and one that does.
const MAX_BORROW_TIME: ClockSpan = ClockSpan::from_millis(400);
/// Retry-After where the time until tokens are available is unknown: about the
/// time in which an instance updates its grants.
const DEFAULT_RETRY_AFTER: ClockSpan = ClockSpan::from_millis(700);
/// Longest Retry-After: a top-up may arrive at any time.
const MAX_RETRY_AFTER: ClockSpan = ClockSpan::from_millis(5_000);
/// Shortest pause between two attempts to reserve.
const MIN_PAUSE: ClockSpan = ClockSpan::from_millis(1);

/// Why a reservation was refused.
#[derive(Clone, Debug)]
pub struct BudgetRefusal {
    /// The response for the caller.
    pub answer: RefusalResponse,
    /// The ledger's last answer.
    pub cause: ReserveAnswer,
    /// The figures that the decision rests on.
    pub facts: BudgetFacts,
    /// How long the request waited for tokens.
    pub waited: ClockSpan,
    /// How long calls to the store had been failing.
    pub store_outage: ClockSpan,
}

/// Tokens reserved for one request; dropping it settles them in the ledger.
#[derive(Debug)]
pub struct TokenReservation {
    manager: Rc<BudgetManager>,
    organisation: OrganisationId,
    reserved: u64,
    /// The part of `reserved` that was borrowed from other instances.
    borrowed: u64,
    spent: Cell<u64>,
}

impl TokenReservation {
    /// Tokens reserved, and tokens spent so far.
    #[must_use]
    pub fn tokens(&self) -> (u64, u64) {
        (self.reserved, self.spent.get())
    }

    /// Records the tokens spent in total so far, capped at the reservation. The
    /// recorded total never decreases: a second attempt starts counting again,
    /// although the first one has already delivered events.
    pub fn spend(&self, tokens: TokenCount) {
        let spent = tokens.get().min(self.reserved);
        self.spent.set(self.spent.get().max(spent));
    }

    /// Sets the spent tokens to zero, for a request that did not run or delivered
    /// nothing to its caller.
    pub fn release(&self) {
        self.spent.set(0);
    }
}

impl Drop for TokenReservation {
    fn drop(&mut self) {
        let mut ledger = self.manager.ledger.borrow_mut();
        let spent = self.spent.get();
        ledger.settle_loan(&self.organisation, self.reserved, self.borrowed, spent);
    }
}

/// Counts tokens as demand in the ledger while a request waits for them.
pub(super) struct DemandGuard<'a> {
    manager: &'a BudgetManager,
    organisation: &'a OrganisationId,
    tokens: u64,
}

impl<'a> DemandGuard<'a> {
    pub(super) fn new(
        manager: &'a BudgetManager,
        organisation: &'a OrganisationId,
        tokens: u64,
    ) -> Self {
        manager.ledger.borrow_mut().wait(organisation, tokens, true);
        Self {
            manager,
            organisation,
            tokens,
        }
    }
}

impl Drop for DemandGuard<'_> {
    fn drop(&mut self) {
        let mut ledger = self.manager.ledger.borrow_mut();
        ledger.wait(self.organisation, self.tokens, false);
    }
}

impl BudgetManager {
    /// Reserves the worst-case cost of a request. Waits for the store or borrows
    /// from other instances where that can succeed within `time_left`.
    ///
    /// # Errors
    ///
    /// The tokens cannot be reserved; the refusal holds the response for the caller.
    pub async fn reserve(
        self: &Rc<Self>,
        organisation: &OrganisationId,
        worst_case: TokenCount,
        time_left: ClockSpan,
    ) -> Result<TokenReservation, BudgetRefusal> {
        let tokens = worst_case.get();
        let started = self.clock.now();
        let store_wait = self.store_wait(time_left);
        let mut waiting = None;
        let mut may_borrow = true;
        let mut is_counted = false;
        loop {
            let changed = self.changed.listen();
            let answer = self.try_reserve(organisation, tokens);
            if !std::mem::replace(&mut is_counted, true) {
                self.count_request(organisation, tokens, answer);
            }
            match answer {
                ReserveAnswer::Granted => return Ok(self.reservation(organisation, tokens, 0)),
                ReserveAnswer::GrantedLoan(borrowed) => {
                    return Ok(self.reservation(organisation, tokens, borrowed));
                }
                _ => {}
            }
            let waited = self.clock.now().since(started);
            if self.asks_holders(organisation)
                && self
                    .borrow_from_holders(organisation, tokens, time_left)
                    .await?
            {
                let waited = self.clock.now().since(started);
                if waited < store_wait {
                    continue;
                }
            }
            let pause = self.pause(answer, store_wait, waited, max_wait(time_left));
            if self.should_borrow(answer, organisation, tokens, pause.is_err())
                && std::mem::take(&mut may_borrow)
            {
                let limit = max_wait(time_left).min(MAX_BORROW_TIME);
                if self.borrow(organisation, tokens, limit).await {
                    continue;
                }
            }
            let pause = pause
                .map_err(|refusal| self.budget_refusal(refusal, answer, organisation, waited))?;
            if waiting.is_none() {
                waiting = Some(DemandGuard::new(self, organisation, tokens));
                self.wake_writers();
            }
            wait_until(changed, timer_span(pause)).await;
        }
    }

    /// Borrows the tokens of a request from the budget's holders; true if they
    /// lent enough. If no holder answers, this instance becomes a holder itself
    /// for a while.
    ///
    /// # Errors
    ///
    /// The holders that answered have too few tokens.
    async fn borrow_from_holders(
        &self,
        organisation: &OrganisationId,
        tokens: u64,
        time_left: ClockSpan,
    ) -> Result<bool, BudgetRefusal> {
        let started = self.clock.now();
        let limit = max_wait(time_left).min(MAX_BORROW_TIME);
        match self.borrow_as_non_holder(organisation, tokens, limit).await {
            ShareOutcome::Lent => Ok(true),
            ShareOutcome::Unreachable => {
                self.become_stand_in(organisation);
                Ok(false)
            }
            ShareOutcome::Declined(cause) => {
                let waited = self.clock.now().since(started);
                Err(self.budget_refusal(refusal_without_wait(cause), cause, organisation, waited))
            }
        }
    }

    fn budget_refusal(
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
            facts: self.ledger.borrow().facts(organisation, now),
            waited,
            store_outage: since.map_or(ClockSpan::default(), |since| now.since(since)),
        }
    }

    /// Whether a request of this instance has to borrow from the holders.
    fn asks_holders(&self, organisation: &OrganisationId) -> bool {
        let now = self.clock.now();
        self.ledger.borrow().asks_holders(organisation, now)
    }

    /// Makes this instance a holder in place of holders that do not answer.
    fn become_stand_in(&self, organisation: &OrganisationId) {
        let now = self.clock.now();
        self.ledger.borrow_mut().become_stand_in(organisation, now);
        self.wake_writers();
    }

    fn try_reserve(&self, organisation: &OrganisationId, tokens: u64) -> ReserveAnswer {
        let now = self.clock.now();
        let mut ledger = self.ledger.borrow_mut();
        ledger.reserve(organisation, tokens, now)
    }

    /// Counts a request of a caller, and asks for tokens to hold if there are many.
    fn count_request(&self, organisation: &OrganisationId, tokens: u64, answer: ReserveAnswer) {
        let now = self.clock.now();
        let mut ledger = self.ledger.borrow_mut();
        let begins = ledger.count_request(organisation, tokens, answer, now);
        drop(ledger);
        if begins {
            self.wake_writers();
            let draft = EventDraft::new("budget.held_for_callers").organisation(organisation);
            self.log.emit(draft);
        }
    }

    /// Whether to borrow from other instances now: at once if the row has too few
    /// tokens left to grant or the store is out of reach, otherwise only before the
    /// request would be refused.
    fn should_borrow(
        &self,
        answer: ReserveAnswer,
        organisation: &OrganisationId,
        tokens: u64,
        refused: bool,
    ) -> bool {
        let cut_off = self.is_cut_off();
        let ledger = self.ledger.borrow();
        let may_borrow =
            |cut_off| ledger.may_borrow(organisation, tokens, cut_off, self.clock.now());
        match answer {
            ReserveAnswer::Short => may_borrow(cut_off || refused),
            ReserveAnswer::Locked(_) => refused && may_borrow(true),
            _ => false,
        }
    }

    fn reservation(
        self: &Rc<Self>,
        id: &OrganisationId,
        tokens: u64,
        borrowed: u64,
    ) -> TokenReservation {
        TokenReservation {
            manager: Rc::clone(self),
            organisation: id.clone(),
            reserved: tokens,
            borrowed,
            spent: Cell::new(0),
        }
    }

    /// The limit on the time that a request waits for the store.
    fn store_wait(&self, time_left: ClockSpan) -> ClockSpan {
        let wait = self.mean_latency_ms.get() * STORE_WAIT_LATENCIES;
        let wait = wait.clamp(MIN_STORE_WAIT_MS, MAX_STORE_WAIT_MS);
        ClockSpan::from_millis(wait).min(max_wait(time_left))
    }

    /// The pause before the next attempt to reserve, or the refusal if waiting
    /// longer does not help.
    fn pause(
        &self,
        answer: ReserveAnswer,
        store_wait: ClockSpan,
        waited: ClockSpan,
        time_left: ClockSpan,
    ) -> Result<ClockSpan, RefusalResponse> {
        let cut_off = self.is_cut_off();
        let unavailable =
            |after| Err(RefusalResponse::new(ForwardRefusal::BudgetUnavailable).after(after));
        let left =
            ClockSpan::from_millis(store_wait.as_millis().saturating_sub(waited.as_millis()));
        match answer {
            answer if answer.is_used_up() => Err(refusal_without_wait(answer)),
            ReserveAnswer::Locked(span)
                if span <= MAX_LOCK_WAIT && waited < lock_wait(store_wait) =>
            {
                Ok(span.max(MIN_PAUSE))
            }
            ReserveAnswer::Locked(span) if cut_off || left <= MIN_PAUSE => {
                unavailable(span.min(MAX_RETRY_AFTER))
            }
            ReserveAnswer::Locked(span) => Ok(span.min(left)),
            _ if cut_off => unavailable(DEFAULT_RETRY_AFTER),
            _ if waited < store_wait.max(PEER_TOKEN_WAIT.min(time_left)) => {
                Ok(left.max(RECHECK_INTERVAL))
            }
            _ => unavailable(DEFAULT_RETRY_AFTER),
        }
    }

    /// Wakes the tasks that write rows, because a request waits for tokens.
    pub(super) fn wake_writers(&self) {
        self.budget_wakeup.notify(usize::MAX);
        self.limit_wakeup.notify(usize::MAX);
    }

    /// Whether calls to the store have failed for at least the shortest time that a
    /// request waits for it.
    pub(super) fn is_cut_off(&self) -> bool {
        let now = self.clock.now();
        let threshold = ClockSpan::from_millis(MIN_STORE_WAIT_MS);
        let since = self.failing_since.get();
        since.is_some_and(|since| now.since(since) >= threshold)
    }
}

/// The refusal for a cause that waiting does not remove.
fn refusal_without_wait(cause: ReserveAnswer) -> RefusalResponse {
    match cause {
        ReserveAnswer::Exhausted => {
            RefusalResponse::new(ForwardRefusal::BudgetExhausted).after(MAX_RETRY_AFTER)
        }
        // Only a top-up unfreezes the budget.
        ReserveAnswer::Frozen => {
            RefusalResponse::new(ForwardRefusal::BudgetUnavailable).after(MAX_RETRY_AFTER)
        }
        _ => RefusalResponse::new(ForwardRefusal::BudgetUnavailable).after(DEFAULT_RETRY_AFTER),
    }
}

/// The longest total wait for the spending limit to rise. One wait may not be enough,
/// since other requests may take the released tokens first.
fn lock_wait(store_wait: ClockSpan) -> ClockSpan {
    store_wait.max(MAX_LOCK_WAIT)
}

/// The share of a request's remaining time that it may wait for tokens.
fn max_wait(time_left: ClockSpan) -> ClockSpan {
    ClockSpan::from_millis(time_left.as_millis() / 3)
}
