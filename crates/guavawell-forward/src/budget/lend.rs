//! Lends tokens to other instances.

use std::rc::Rc;

use guavawell_core::clock::ClockSpan;
use guavawell_core::grant::LoanAnswer;
use guavawell_core::grant::LoanRequest;
use guavawell_core::grant::LoanReturn;
use guavawell_core::id::OrganisationId;
use guavawell_fleet::event::EventDraft;

use super::BudgetManager;
use super::reserve::DemandGuard;
use super::wait_until;
use crate::clock::timer_span;
use crate::http::ChannelError;
use crate::http::HeadWriter;
use crate::http::HttpChannel;
use crate::peer::write_loan_answer;

/// How long a lender waits for the store: a pending write of the same row and two
/// more responses. Shorter than the borrower's timeout by the time that the answer
/// takes: tokens lent in an answer that arrives too late count as spent.
const MAX_LEND_WAIT: ClockSpan = ClockSpan::from_millis(100);

impl BudgetManager {
    /// Answers a loan request: writes the response fields. `other` names the borrower.
    ///
    /// # Errors
    ///
    /// `Closed` if the borrower no longer waits on the channel.
    pub(crate) async fn answer_loan(
        self: &Rc<Self>,
        channel: &HttpChannel,
        organisation: &OrganisationId,
        loan: LoanRequest,
        other: &dyn std::fmt::Display,
        writer: &mut HeadWriter,
    ) -> Result<(), ChannelError> {
        if !channel.is_quiet() {
            return self.decline_departed(organisation, other, loan);
        }
        let answer = self.lend(organisation, loan).await;
        self.record_loan("budget.lent", organisation, other, loan, answer);
        write_loan_answer(writer, answer, self.ledger.borrow().lender_id().nonce);
        Ok(())
    }

    /// Ends the connection without a loan, because the borrower no longer waits for
    /// the answer: it timed out, for example while this process was suspended. Tokens
    /// lent to it would count as spent.
    fn decline_departed(
        &self,
        organisation: &OrganisationId,
        other: &dyn std::fmt::Display,
        loan: LoanRequest,
    ) -> Result<(), ChannelError> {
        metrics::counter!("guavawell_forward_loans_total", "kind" => "budget.asker_left")
            .increment(1);
        let draft = EventDraft::new("budget.asker_left")
            .organisation(organisation)
            .field("other", other)
            .field("needed", loan.needed);
        self.log.emit(draft);
        Err(ChannelError::Closed)
    }

    /// Applies the return of a loan.
    pub(crate) fn receive_return(&self, loan_return: &LoanReturn) {
        if self.ledger.borrow_mut().apply_return(loan_return) {
            if loan_return.unspent > 0 {
                self.changed.notify(usize::MAX);
            }
        } else {
            let draft = EventDraft::new("budget.return_unknown")
                .organisation(&loan_return.organisation)
                .field("unspent", loan_return.unspent)
                .field("spent", loan_return.spent);
            self.log.emit(draft);
        }
    }

    /// Lends tokens. If there are too few, waits for the store where that helps, and
    /// lends a part of what is needed only if the wait brings no more.
    async fn lend(self: &Rc<Self>, organisation: &OrganisationId, loan: LoanRequest) -> LoanAnswer {
        let lend_in_full = || {
            let now = self.clock.now();
            self.ledger
                .borrow_mut()
                .lend_in_full(organisation, loan, now)
        };
        let answer = lend_in_full();
        if answer.tokens > 0 {
            return answer;
        }
        let now = self.clock.now();
        let missing_tokens = self
            .ledger
            .borrow()
            .tokens_to_fetch(organisation, loan, now);
        if let (Some(missing), false) = (missing_tokens, self.is_cut_off()) {
            let _waiting = DemandGuard::new(self, organisation, missing);
            self.wake_writers();
            let deadline = now + MAX_LEND_WAIT;
            loop {
                let changed = self.changed.listen();
                let answer = lend_in_full();
                if answer.tokens > 0 {
                    return answer;
                }
                let time_left = self.clock.left(deadline);
                if time_left == ClockSpan::default() {
                    break;
                }
                wait_until(changed, timer_span(time_left)).await;
            }
        }
        let now = self.clock.now();
        self.ledger.borrow_mut().lend(organisation, loan, now)
    }

    pub(super) fn record_loan(
        &self,
        kind: &str,
        organisation: &OrganisationId,
        other: impl std::fmt::Display,
        loan: LoanRequest,
        answer: LoanAnswer,
    ) {
        metrics::counter!("guavawell_forward_loans_total", "kind" => kind.to_owned()).increment(1);
        let facts = self.ledger.borrow().facts(organisation, self.clock.now());
        let draft = EventDraft::new(kind)
            .organisation(organisation)
            .field("other", other)
            .field("needed", loan.needed)
            .field("wanted", loan.wanted)
            .field("lent", answer.tokens)
            .field("cause", answer.cause.as_str())
            .field("grant", facts.grant)
            .field("used", facts.used)
            .field("allowed", facts.allowed)
            .field("row_age_ms", facts.row_age.as_millis());
        self.log.emit(draft);
    }
}
