//! Questions for loans that several requests share.
//!
//! Of the requests that lack tokens of one organisation at the same moment, one asks
//! other instances, for all of them. The rest wait for its answer.

use std::cell::Cell;
use std::rc::Rc;

use event_listener::Event;
use guavawell_core::clock::ClockSpan;
use guavawell_core::grant::LoanScope;
use guavawell_core::grant::QuestionEnd;
use guavawell_core::grant::QuestionTerms;
use guavawell_core::grant::WaitingTokens;
use guavawell_core::id::OrganisationId;
use guavawell_fleet::event::EventDraft;

use super::BudgetManager;
use super::borrow::ShareOutcome;
use super::wait_until;
use crate::clock::timer_span;

/// A question of one request, for which others wait.
#[derive(Debug)]
pub(super) struct SharedQuestion {
    organisation: OrganisationId,
    scope: LoanScope,
    /// What the request that asks needs.
    terms: QuestionTerms,
    /// Tokens of the requests that wait for the answer.
    waiting: WaitingTokens,
    /// How the question ended; `None` before, and if the request that asked left.
    outcome: Cell<Option<ShareOutcome>>,
    ended: Event,
}

/// The request that asks. Dropping it ends the question for those that wait.
struct QuestionGuard<'a> {
    manager: &'a BudgetManager,
    question: Rc<SharedQuestion>,
}

impl Drop for QuestionGuard<'_> {
    fn drop(&mut self) {
        let mut open = self.manager.open_questions.borrow_mut();
        open.retain(|question| !Rc::ptr_eq(question, &self.question));
        drop(open);
        self.question.ended.notify(usize::MAX);
    }
}

impl BudgetManager {
    /// Carries out `ask` with the time that is left for it, or waits for the question that
    /// another request of the organisation asks now for the same kind of loan. If its
    /// outcome does not hold for this request, it asks too.
    pub(super) async fn ask_together(
        &self,
        organisation: &OrganisationId,
        scope: LoanScope,
        terms: QuestionTerms,
        ask: impl AsyncFnOnce(ClockSpan) -> ShareOutcome,
    ) -> ShareOutcome {
        if !self.demand.follows_callers {
            return ask(terms.limit).await;
        }
        let deadline = self.clock.now() + terms.limit;
        while let Some(question) = self.open_question(organisation, scope) {
            let ended = question.ended.listen();
            let _waiting = question.waiting.join(terms.tokens);
            let time_left = self.clock.left(deadline);
            if time_left == ClockSpan::default() {
                return ShareOutcome::Unreachable;
            }
            wait_until(ended, timer_span(time_left)).await;
            let Some(outcome) = question.outcome.get() else {
                continue;
            };
            let lacks_tokens = self.lacks_tokens(organisation, terms.tokens);
            if question_end(outcome).holds_for(question.terms, terms, lacks_tokens) {
                return outcome;
            }
        }
        let limit = self.clock.left(deadline);
        let question = Rc::new(SharedQuestion {
            organisation: organisation.clone(),
            scope,
            terms: QuestionTerms { limit, ..terms },
            waiting: WaitingTokens::default(),
            outcome: Cell::new(None),
            ended: Event::new(),
        });
        self.open_questions.borrow_mut().push(Rc::clone(&question));
        let guard = QuestionGuard {
            manager: self,
            question,
        };
        let outcome = ask(limit).await;
        guard.question.outcome.set(Some(outcome));
        outcome
    }

    /// Tokens of the requests that wait for the organisation's open question.
    pub(super) fn tokens_waiting(&self, organisation: &OrganisationId, scope: LoanScope) -> u64 {
        let question = self.open_question(organisation, scope);
        question.map_or(0, |question| question.waiting.get())
    }

    /// Whether a request of `tokens` still lacks some.
    fn lacks_tokens(&self, organisation: &OrganisationId, tokens: u64) -> bool {
        let now = self.clock.now();
        let ledger = self.ledger.borrow();
        // A loan request is for one token at least.
        ledger.loan_request(organisation, tokens, now).needed > 1
    }

    fn open_question(
        &self,
        organisation: &OrganisationId,
        scope: LoanScope,
    ) -> Option<Rc<SharedQuestion>> {
        let open = self.open_questions.borrow();
        let found = open
            .iter()
            .find(|question| question.organisation == *organisation && question.scope == scope);
        found.cloned()
    }

    /// Whether other instances may be asked for loans now.
    pub(super) fn may_ask(&self) -> bool {
        !self.demand.follows_callers || self.question_pace.get().may_ask(self.clock.now())
    }

    /// Records a question that was answered.
    pub(super) fn record_answered(&self) {
        let mut pace = self.question_pace.get();
        pace.answered();
        self.question_pace.set(pace);
    }

    /// Records a question that timed out, and whether a pause begins.
    pub(super) fn record_silence(&self) {
        if !self.demand.follows_callers {
            return;
        }
        let mut pace = self.question_pace.get();
        let pause = pace.unanswered(self.clock.now());
        self.question_pace.set(pace);
        let Some(pause) = pause else {
            return;
        };
        metrics::counter!("guavawell_forward_question_pauses_total").increment(1);
        let draft = EventDraft::new("budget.questions_paused").field("pause_ms", pause.as_millis());
        self.log.emit(draft);
    }
}

const fn question_end(outcome: ShareOutcome) -> QuestionEnd {
    match outcome {
        ShareOutcome::Lent => QuestionEnd::Lent,
        ShareOutcome::Declined(_) => QuestionEnd::Declined,
        ShareOutcome::Unreachable => QuestionEnd::Unreachable,
    }
}
