//! Questions for loans that several requests share.
//!
//! Of the requests that lack tokens of one organisation at the same moment, one asks
//! other instances, for all of them. The rest wait for its answer.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;

use event_listener::Event;
use guavawell_core::clock::ClockSpan;
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
    /// Tokens of the request that asks.
    tokens: u64,
    /// Tokens of the requests that wait for the answer.
    waiting: Cell<u64>,
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
    /// Carries out `ask` for a request of `tokens`, or waits for the question that
    /// another request of the organisation asks now. A refusal holds for all requests
    /// of as many tokens or more.
    pub(super) async fn ask_together(
        &self,
        organisation: &OrganisationId,
        tokens: u64,
        limit: ClockSpan,
        ask: impl Future<Output = ShareOutcome>,
    ) -> ShareOutcome {
        if !self.demand.follows_callers {
            return ask.await;
        }
        let deadline = self.clock.now() + limit;
        while let Some(question) = self.open_question(organisation) {
            let ended = question.ended.listen();
            question.waiting.set(question.waiting.get() + tokens);
            let time_left = self.clock.left(deadline);
            if time_left == ClockSpan::default() {
                return ShareOutcome::Unreachable;
            }
            wait_until(ended, timer_span(time_left)).await;
            match question.outcome.get() {
                Some(ShareOutcome::Declined(_)) if tokens < question.tokens => {}
                Some(outcome) => return outcome,
                None => {}
            }
        }
        let question = Rc::new(SharedQuestion {
            organisation: organisation.clone(),
            tokens,
            waiting: Cell::new(0),
            outcome: Cell::new(None),
            ended: Event::new(),
        });
        self.open_questions.borrow_mut().push(Rc::clone(&question));
        let guard = QuestionGuard {
            manager: self,
            question,
        };
        let outcome = ask.await;
        guard.question.outcome.set(Some(outcome));
        outcome
    }

    /// Tokens of the requests that wait for the organisation's open question.
    pub(super) fn tokens_waiting(&self, organisation: &OrganisationId) -> u64 {
        let question = self.open_question(organisation);
        question.map_or(0, |question| question.waiting.get())
    }

    fn open_question(&self, organisation: &OrganisationId) -> Option<Rc<SharedQuestion>> {
        let open = self.open_questions.borrow();
        let found = open
            .iter()
            .find(|question| question.organisation == *organisation);
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
