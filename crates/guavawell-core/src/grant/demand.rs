//! Tokens follow the requests that callers send.
//!
//! Load pattern: the load balancer sends most of an organisation's requests in
//! one availability zone to a single instance, which by its rank holds no tokens
//! and whose network link is full at times. Refused requests must not make it
//! look idle, nor may it return what its own callers are about to need.
//!
//! So each request counts once, whether it is granted or not, except where no
//! larger grant helps. An instance with many requests of an organisation holds
//! tokens of it, as a stand-in, for as long as the requests come. Nothing here
//! gives a right to spend: that is decided by the rows alone.

use super::answer::ReserveAnswer;
use super::ledger::BudgetState;
use super::ledger::GrantLedger;
use super::loan::LoanRequest;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::id::OrganisationId;
use crate::number::fraction;
use crate::number::whole;

/// Whether and how the tokens of an instance follow its callers' requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DemandSettings {
    /// Whether requests count when they are asked for. Otherwise only granted
    /// ones count, and only an instance that is asked becomes a stand-in.
    pub follows_callers: bool,
    /// Requests of one organisation per second from which an instance holds
    /// tokens itself. A holder writes its rows a few times per second, so
    /// above this, loans cost more messages than holding.
    pub holder_requests_per_second: u64,
    /// Most instances that hold tokens of one organisation for their own callers, so that
    /// the writers of a row stay few in a large fleet. An instance is one of them only if
    /// its callers request at least one part in this many of the tokens per second that the
    /// row tells of all instances.
    pub max_holders_for_callers: u64,
    /// What a borrower asks for in advance, as time of its demand: longer than
    /// a loan takes over a link with a queue.
    pub loan_advance: ClockSpan,
    /// The most that a borrower asks for beyond what its request lacks, in
    /// typical requests: lent tokens in an answer that gets lost stay spent.
    pub max_extra_requests: u64,
}

impl Default for DemandSettings {
    fn default() -> Self {
        Self {
            follows_callers: false,
            holder_requests_per_second: 20,
            max_holders_for_callers: 8,
            loan_advance: ClockSpan::from_millis(500),
            max_extra_requests: 4,
        }
    }
}

impl GrantLedger {
    /// Counts a request of a caller, once, with the first answer to it. Returns
    /// true if this instance becomes a stand-in by it.
    pub fn count_request(
        &mut self,
        organisation: &OrganisationId,
        tokens: u64,
        answer: ReserveAnswer,
        now: ClockTime,
    ) -> bool {
        if !self.settings.demand.follows_callers || answer.is_used_up() {
            return false;
        }
        let state = self.budget_mut(organisation);
        state.demand.add(tokens, now);
        state.requests.add(1, now);
        let index = self.budget_index(organisation);
        if index.is_none_or(|index| !self.has_many_requests(&self.budgets[index], now)) {
            return false;
        }
        let held = self.is_holder(organisation, now);
        self.become_stand_in(organisation, now);
        !held
    }

    /// Whether this instance has many requests of an organisation, also in proportion to
    /// the fleet's.
    pub(super) fn has_many_requests(&self, state: &BudgetState, now: ClockTime) -> bool {
        let demand = &self.settings.demand;
        if !demand.follows_callers
            || state.requests.per_second(now) < demand.holder_requests_per_second
        {
            return false;
        }
        let own = state.demand.per_second(now);
        let most = fraction(demand.max_holders_for_callers);
        fraction(own) * most >= self.fleet_demand(state, now)
    }

    /// Instances that write the row of a budget: those that are holders by rank, or all
    /// with an entry in the row if these are more.
    pub(super) fn budget_writers(&self, state: &BudgetState) -> usize {
        let by_rank = self.row_writers();
        if !self.settings.demand.follows_callers {
            return by_rank;
        }
        let row = state.row.known();
        let holders = row.map_or(&[][..], |row| &row.holders[..]);
        // Entries are sorted by instance, and an ended boot may still have one.
        let listed = holders.chunk_by(|one, other| one.instance == other.instance);
        by_rank.max(listed.count())
    }

    /// Counts a granted request, unless it counted when it was asked for.
    pub(super) fn count_granted(&mut self, index: usize, tokens: u64, now: ClockTime) {
        if !self.settings.demand.follows_callers {
            self.budgets[index].demand.add(tokens, now);
        }
    }

    /// The loan to ask for when a request needs `tokens`, and others that need
    /// `waiting` wait for the same answer. If the answer is likely to get lost
    /// (`in_doubt`), it is what the request lacks and no more.
    #[must_use]
    pub fn shared_loan_request(
        &self,
        organisation: &OrganisationId,
        tokens: u64,
        waiting: u64,
        in_doubt: bool,
        now: ClockTime,
    ) -> LoanRequest {
        let loan = self.loan_request(organisation, tokens, now);
        let demand = &self.settings.demand;
        if !demand.follows_callers {
            return loan;
        }
        let index = self.budget_index(organisation);
        let typical = index.map_or(0.0, |index| self.budgets[index].demand.typical_request());
        let most = whole(typical * fraction(demand.max_extra_requests));
        let extra = (loan.wanted - loan.needed + waiting).min(most);
        LoanRequest {
            wanted: loan.needed + if in_doubt { 0 } else { extra },
            ..loan
        }
    }

    /// Tokens that a holder asks for in addition to what a request lacks: a
    /// typical request, or what its callers need in `loan_advance`.
    pub(super) fn loan_extra(&self, state: &BudgetState, typical: f64, now: ClockTime) -> u64 {
        let demand = &self.settings.demand;
        if !demand.follows_callers {
            return whole(typical);
        }
        let rate = fraction(state.demand.per_second(now));
        let advance = rate * fraction(demand.loan_advance.as_millis()) / 1_000.0;
        whole(typical.max(advance))
    }
}
