//! Borrows tokens from other instances, and returns what was not spent.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::grant::LenderId;
use guavawell_core::grant::LoanAnswer;
use guavawell_core::grant::LoanRequest;
use guavawell_core::grant::LoanReturn;
use guavawell_core::grant::LoanScope;
use guavawell_core::grant::QuestionTerms;
use guavawell_core::grant::ReserveAnswer;
use guavawell_core::id::InstanceId;
use guavawell_core::id::OrganisationId;
use guavawell_fleet::event::EventDraft;
use smol::Timer;

use super::BudgetManager;
use crate::clock::timer_span;
use crate::http::ChannelError;
use crate::peer::PeerError;
use crate::peer::PeerRequest;
use crate::peer::read_loan_answer;

/// Timeout of a loan or return: a few milliseconds on the network and, at an
/// instance with a tenth of a core, some tens of milliseconds in its queue.
const LOAN_TIMEOUT: Duration = Duration::from_millis(150);
/// Largest number of instances that a holder asks for a loan, for one request.
const MAX_LENDERS: usize = 4;
/// Largest number of these that are chosen because their spending limits release
/// tokens early; see `GrantLedger::early_lenders`.
const MAX_EARLY_LENDERS: usize = 2;
/// Largest number of holders that a non-holder asks for a loan, for one request: when
/// a budget is nearly used up, the remaining tokens may be in any zone.
const MAX_HOLDERS: usize = 8;
/// Interval between checks for loan returns that are due.
const RETURN_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// How an attempt to borrow from the holders ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShareOutcome {
    /// A holder lent enough to reserve the request.
    Lent,
    /// The holders that answered had too few tokens.
    Declined(ReserveAnswer),
    /// No holder answered.
    Unreachable,
}

impl BudgetManager {
    /// Borrows what a request of `tokens` lacks at a holder; true if it can be reserved
    /// now. One question may serve several requests (see `ask_together`). An instance
    /// that does not answer is not asked again: it may already have lent the tokens.
    pub(super) async fn borrow(
        &self,
        organisation: &OrganisationId,
        tokens: u64,
        limit: ClockSpan,
    ) -> bool {
        let ask = async |limit| self.ask_lenders(organisation, tokens, limit).await;
        let terms = QuestionTerms { tokens, limit };
        let outcome = self
            .ask_together(organisation, LoanScope::Spare, terms, ask)
            .await;
        outcome == ShareOutcome::Lent
    }

    async fn ask_lenders(
        &self,
        organisation: &OrganisationId,
        tokens: u64,
        limit: ClockSpan,
    ) -> ShareOutcome {
        let deadline = self.clock.now() + limit;
        let loan = self.loan_request(organisation, tokens);
        let mut is_answered = !self.demand.follows_callers;
        for (instance, address) in self.choose_lenders(organisation, loan) {
            let loan = self.loan_request(organisation, tokens);
            let Some(answer) = self
                .request_loan(organisation, &instance, address, loan, deadline)
                .await
            else {
                continue;
            };
            is_answered = true;
            if answer.tokens >= loan.needed {
                return ShareOutcome::Lent;
            }
        }
        if !is_answered {
            return ShareOutcome::Unreachable;
        }
        let mut ledger = self.ledger.borrow_mut();
        ledger.note_declined(organisation, tokens, self.clock.now());
        ShareOutcome::Declined(ReserveAnswer::Short)
    }

    /// Borrows the tokens of one request from the organisation's holders, in the
    /// order of their rank, the local zone first. If one does not answer, the next
    /// in rank is asked; if one has too few tokens, the rest of its zone is skipped.
    pub(super) async fn borrow_as_non_holder(
        &self,
        organisation: &OrganisationId,
        tokens: u64,
        limit: ClockSpan,
    ) -> ShareOutcome {
        let ask = async |limit| self.ask_holders(organisation, tokens, limit).await;
        let terms = QuestionTerms { tokens, limit };
        self.ask_together(organisation, LoanScope::Share, terms, ask)
            .await
    }

    async fn ask_holders(
        &self,
        organisation: &OrganisationId,
        tokens: u64,
        limit: ClockSpan,
    ) -> ShareOutcome {
        let deadline = self.clock.now() + limit;
        let order = self.ledger.borrow().holder_order(organisation);
        let mut holders: Vec<(InstanceId, SocketAddr)> = order
            .into_iter()
            .filter_map(|instance| Some((instance.clone(), self.peers.address_of(&instance)?)))
            .collect();
        let mut declined = None;
        for _ in 0..MAX_HOLDERS {
            if holders.is_empty() {
                break;
            }
            let (instance, address) = holders.remove(0);
            let loan = self.loan_request(organisation, tokens);
            let answer = self
                .request_loan(organisation, &instance, address, loan, deadline)
                .await;
            match answer {
                Some(answer) if answer.tokens >= loan.needed => return ShareOutcome::Lent,
                Some(answer) => {
                    if answer.cause.is_used_up() {
                        return ShareOutcome::Declined(answer.cause);
                    }
                    declined = Some(answer.cause);
                    // Another instance of this zone would depend on the same row.
                    let zone = self.peers.zone_of(&instance);
                    holders.retain(|(other, _)| self.peers.zone_of(other) != zone);
                }
                None => {}
            }
        }
        declined.map_or(ShareOutcome::Unreachable, ShareOutcome::Declined)
    }

    fn loan_request(&self, organisation: &OrganisationId, tokens: u64) -> LoanRequest {
        let now = self.clock.now();
        let ledger = self.ledger.borrow();
        let loan = ledger.loan_request(organisation, tokens, now);
        if !self.demand.follows_callers {
            return loan;
        }
        let in_doubt = self.is_cut_off() || self.question_pace.get().is_in_doubt();
        let waiting = self.tokens_waiting(organisation, loan.scope);
        ledger.shared_loan_request(organisation, tokens, waiting, in_doubt, now)
    }

    /// Asks one instance for a loan and records it in the ledger; `None` without an
    /// answer.
    async fn request_loan(
        &self,
        organisation: &OrganisationId,
        instance: &InstanceId,
        address: SocketAddr,
        loan: LoanRequest,
        deadline: ClockTime,
    ) -> Option<LoanAnswer> {
        let time_left = timer_span(deadline.since(self.clock.now()));
        if time_left.is_zero() || self.peers.key().is_none() || !self.may_ask() {
            return None;
        }
        let request = PeerRequest::Loan(organisation.clone(), loan);
        let limit = LOAN_TIMEOUT.min(time_left);
        let response = self.peers.send_request(address, &request, limit);
        let result = response
            .await
            .map(|response| read_loan_answer(&response.head));
        let (answer, nonce) = match result {
            Ok(Some(answer)) => answer,
            Ok(None) => {
                self.record_unreachable(instance, &"malformed loan answer");
                return None;
            }
            Err(error) => {
                self.record_unreachable(instance, &error);
                // A shorter limit or a closed connection says nothing of the link.
                if limit == LOAN_TIMEOUT && error.is_timeout() {
                    self.record_silence();
                }
                return None;
            }
        };
        self.peers.mark_reachable(instance);
        self.record_answered();
        if answer.tokens > 0 {
            let lender = LenderId {
                instance: instance.clone(),
                nonce,
            };
            let now = self.clock.now();
            let mut ledger = self.ledger.borrow_mut();
            ledger.receive_loan(organisation, lender, answer.tokens, now);
            drop(ledger);
            if self.demand.follows_callers && answer.tokens > loan.needed {
                self.changed.notify(usize::MAX);
            }
            self.record_loan("budget.borrowed", organisation, instance, loan, answer);
        }
        Some(answer)
    }

    fn record_unreachable(&self, instance: &InstanceId, cause: &dyn std::fmt::Display) {
        let draft = EventDraft::new("budget.lender_unreached")
            .field("other", instance)
            .field("cause", cause);
        self.log.emit(draft);
        self.peers.mark_unreachable(instance);
    }

    /// Chooses the instances that a holder asks: first those whose spending limits
    /// release tokens early, then others at random, weighted by their free tokens. If
    /// all borrowers asked the instance with the most, it would soon run out.
    ///
    /// While this instance cannot reach the store, the list is filled up with random
    /// ones: one that reaches the store can fetch tokens and lend them.
    fn choose_lenders(
        &self,
        organisation: &OrganisationId,
        loan: LoanRequest,
    ) -> Vec<(InstanceId, SocketAddr)> {
        let lenders = self.ledger.borrow().lenders(organisation);
        let mut candidates: Vec<(InstanceId, u64, SocketAddr)> = lenders
            .into_iter()
            .filter(|(_, free)| *free >= loan.needed.div_ceil(2))
            .filter_map(|(instance, free)| {
                let address = self.peers.address_of(&instance)?;
                Some((instance, free, address))
            })
            .collect();
        let now = self.clock.now();
        let early = self.ledger.borrow().early_lenders(organisation, now);
        let mut chosen: Vec<(InstanceId, SocketAddr)> = early
            .into_iter()
            .filter_map(|instance| Some((instance.clone(), self.peers.address_of(&instance)?)))
            .take(MAX_EARLY_LENDERS)
            .collect();
        candidates.retain(|(instance, _, _)| chosen.iter().all(|(known, _)| known != instance));
        while chosen.len() < MAX_LENDERS && !candidates.is_empty() {
            let sum: u64 = candidates.iter().map(|(_, free, _)| free).sum();
            let mut draw = fastrand::u64(..sum);
            let index = candidates.iter().position(|(_, free, _)| {
                let hit = draw < *free;
                draw = draw.saturating_sub(*free);
                hit
            });
            let (instance, _, address) = candidates.swap_remove(index.unwrap_or_default());
            chosen.push((instance, address));
        }
        if self.is_cut_off() {
            self.add_random_peers(&mut chosen);
        }
        chosen
    }

    /// Adds random instances up to [`MAX_LENDERS`].
    fn add_random_peers(&self, chosen: &mut Vec<(InstanceId, SocketAddr)>) {
        let mut others = self.peers.addresses();
        others.retain(|(instance, _)| chosen.iter().all(|(known, _)| known != instance));
        fastrand::shuffle(&mut others);
        others.truncate(MAX_LENDERS - chosen.len());
        chosen.append(&mut others);
    }

    /// Sends loan returns to lenders for as long as the process runs.
    pub(super) async fn send_due_returns(self: Rc<Self>) {
        loop {
            Timer::after(RETURN_CHECK_INTERVAL).await;
            let due = self.ledger.borrow_mut().due_returns(self.clock.now());
            for loan_return in due {
                if let Err(error) = self.send_return(&loan_return).await {
                    self.log_lost_return(&loan_return, &error);
                }
            }
        }
    }

    /// Sends a loan return, without a retry: a lender that received it twice would
    /// count the returned tokens twice.
    async fn send_return(&self, loan_return: &LoanReturn) -> Result<(), PeerError> {
        let address = self.peers.address_of(&loan_return.lender.instance);
        let address = address.ok_or(ChannelError::Closed)?;
        let request = PeerRequest::Return(loan_return.clone());
        self.peers
            .send_request(address, &request, LOAN_TIMEOUT)
            .await?;
        Ok(())
    }

    fn log_lost_return(&self, loan_return: &LoanReturn, error: &PeerError) {
        let draft = EventDraft::new("budget.return_lost")
            .organisation(&loan_return.organisation)
            .field("other", &loan_return.lender.instance)
            .field("unspent", loan_return.unspent)
            .field("spent", loan_return.spent)
            .field("fault", error);
        self.log.emit(draft);
    }
}
