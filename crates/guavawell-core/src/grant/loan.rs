//! Loans of tokens between instances.
//!
//! Load pattern: all instances of a large fleet are cut off from the store for
//! nine seconds, and each sees a request of an organisation about every three
//! seconds. Single instances run short while the fleet holds many times the
//! tokens that are requested: without loans, a quarter of all streams were
//! refused.
//!
//! A loan is safe without the store. The lender counts the tokens as spent,
//! within its own grant and spend limit, and the borrower spends them in
//! addition to its own grant. Loans that a process has not reported when it
//! ends, and loans in an answer that got lost, stay spent. So less than what was
//! paid may be spent, but never more.
//!
//! Second load pattern: the store rejects a third of the instances for eight
//! seconds and serves the others, and a rejected instance has nearly all
//! callers of an organisation. It spends its tokens within two seconds, while
//! tokens that are granted to nobody remain in the store. A lender that reaches
//! the store fetches them as it would for a request of its own.
//!
//! Third load pattern: in a fleet of a hundred instances, a few hold an
//! organisation's tokens ([`super::holders`]). The others borrow for each
//! request and return what it did not spend. If they kept it, it would be split
//! into a hundred amounts too small for any request. A return names the boot
//! that lent, since a later process at the same address lent nothing.

use super::answer::ReserveAnswer;
use super::ledger::BudgetState;
use super::ledger::GrantLedger;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::id::InstanceId;
use crate::id::OrganisationId;

/// Seconds of its own demand that a lender keeps. Few, because it may borrow
/// itself, and what all lenders keep is refused to callers when a budget runs
/// out.
const LENDER_RESERVE_SECONDS: u64 = 1;
/// How long no further loan of as many tokens or more is requested after all
/// other instances declined one.
const DECLINED_RETRY_AFTER: ClockSpan = ClockSpan::from_millis(400);
/// Smallest loan: one part in this many of what is needed. At the start of an
/// outage, several lenders together can cover a large request.
const MIN_LOAN_DIVISOR: u64 = 3;
/// Typical requests that a borrower asks for in addition to the one that is
/// short, so that not every request of a burst has to ask. What it does not use
/// is lost when its process ends.
const EXTRA_REQUESTS: f64 = 1.0;

/// How long borrowed tokens wait for another request before they are returned.
const RETURN_AFTER_IDLE: ClockSpan = ClockSpan::from_millis(300);

/// What kind of instance borrows, and so what the lender keeps for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoanScope {
    /// A holder that is short: the lender keeps what it needs itself.
    Spare,
    /// An instance that holds no tokens: its requests count like the lender's
    /// own.
    Share,
}

/// How many tokens a borrower asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanRequest {
    /// Tokens that the borrower's request lacks.
    pub needed: u64,
    /// The most that the borrower accepts.
    pub wanted: u64,
    /// What kind of instance borrows.
    pub scope: LoanScope,
}

/// One boot of an instance that lends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LenderId {
    /// The instance.
    pub instance: InstanceId,
    /// The random number of the boot.
    pub nonce: u64,
}

/// A lender's answer to a loan request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanAnswer {
    /// Tokens lent: none, or at least a fixed part of what is needed.
    pub tokens: u64,
    /// `Granted`, or why nothing was lent: the answer that a request of the
    /// lender's own would get.
    pub cause: ReserveAnswer,
}

/// What a borrower has to report to one lender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct OpenLoan {
    pub(super) lender: LenderId,
    /// Tokens lent and neither spent nor returned.
    pub(super) outstanding: u64,
    /// Tokens spent and not yet reported.
    pub(super) spent: u64,
}

/// A borrower's report on lent tokens. Each report is sent once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanReturn {
    /// The boot that lent the tokens.
    pub lender: LenderId,
    /// The organisation whose tokens were lent.
    pub organisation: OrganisationId,
    /// Tokens that are returned.
    pub unspent: u64,
    /// Tokens that were spent.
    pub spent: u64,
}

impl GrantLedger {
    /// The loan to ask other instances for when a request needs `tokens`: what
    /// this boot cannot reserve on its own now.
    #[must_use]
    pub fn loan_request(
        &self,
        organisation: &OrganisationId,
        tokens: u64,
        now: ClockTime,
    ) -> LoanRequest {
        let index = self.budget_index(organisation);
        let state = index.map(|index| &self.budgets[index]);
        let held = state.map_or(0, |state| {
            state.borrowed + self.spendable(state, now).unwrap_or(0)
        });
        let typical_request = state.map_or(0.0, |state| state.demand.typical_request());
        let needed = tokens.saturating_sub(held).max(1);
        if state.is_some_and(|state| !self.holds(state, now)) {
            return LoanRequest {
                needed,
                wanted: needed,
                scope: LoanScope::Share,
            };
        }
        let typical = typical_request * EXTRA_REQUESTS;
        let extra = state.map_or(0, |state| self.loan_extra(state, typical, now));
        LoanRequest {
            needed,
            wanted: needed + extra,
            scope: LoanScope::Spare,
        }
    }

    /// Whether a loan request may help: tokens that are granted to nobody do
    /// not cover the request or cannot be fetched now, and other instances did
    /// not just decline as much.
    #[must_use]
    pub fn may_borrow(
        &self,
        organisation: &OrganisationId,
        tokens: u64,
        cut_off: bool,
        now: ClockTime,
    ) -> bool {
        let Some(index) = self.budget_index(organisation) else {
            return false;
        };
        let state = &self.budgets[index];
        let declined = state
            .declined
            .is_some_and(|(least, at)| tokens >= least && now.since(at) < DECLINED_RETRY_AFTER);
        let row = state.row.known();
        let free = row.map_or(0, |row| {
            self.paid(state, row).saturating_sub(row.committed())
        });
        !declined && (cut_off || free < tokens)
    }

    /// Records that other instances declined a loan for a request of `tokens`.
    pub fn note_declined(&mut self, organisation: &OrganisationId, tokens: u64, now: ClockTime) {
        self.budget_mut(organisation).declined = Some((tokens, now));
    }

    /// Other instances that had unspent tokens when the row was last read, and
    /// how many.
    #[must_use]
    pub fn lenders(&self, organisation: &OrganisationId) -> Vec<(InstanceId, u64)> {
        let index = self.budget_index(organisation);
        let row = index.and_then(|index| self.budgets[index].row.known());
        let Some(row) = row else {
            return Vec::new();
        };
        let others = row.holders.iter().filter(|entry| !self.is_own(entry));
        let unspent = others.map(|entry| {
            let free = entry.grant.saturating_sub(entry.used);
            (entry.instance.clone(), free)
        });
        unspent.filter(|(_, free)| *free > 0).collect()
    }

    /// Lends at least a fixed part of what another instance needs, or nothing.
    /// The tokens count as spent here until the borrower reports on them.
    pub fn lend(
        &mut self,
        organisation: &OrganisationId,
        request: LoanRequest,
        now: ClockTime,
    ) -> LoanAnswer {
        let least = request.needed.div_ceil(MIN_LOAN_DIVISOR);
        self.lend_at_least(organisation, request, least, now)
    }

    /// Lends all that another instance needs, or nothing. A part is useful only
    /// to a borrower that cannot wait for the rest.
    pub fn lend_in_full(
        &mut self,
        organisation: &OrganisationId,
        request: LoanRequest,
        now: ClockTime,
    ) -> LoanAnswer {
        self.lend_at_least(organisation, request, request.needed, now)
    }

    fn lend_at_least(
        &mut self,
        organisation: &OrganisationId,
        request: LoanRequest,
        least: u64,
        now: ClockTime,
    ) -> LoanAnswer {
        if request.scope == LoanScope::Share {
            self.become_stand_in(organisation, now);
        }
        let Some(index) = self.budget_index(organisation) else {
            return no_loan(ReserveAnswer::Unknown);
        };
        let state = &self.budgets[index];
        let Some(lendable) = self.lendable(state, request.scope, now) else {
            return no_loan(ReserveAnswer::Unknown);
        };
        let tokens = lendable.min(request.wanted);
        if tokens < least {
            let cause = self.classify_shortage(state, request.needed);
            if request.scope == LoanScope::Share {
                // The row reports the shortage, so that others return tokens.
                self.budgets[index].shortage = Some((request.needed, now));
            }
            return no_loan(cause);
        }
        let state = &mut self.budgets[index];
        state.used += tokens;
        state.lent += tokens;
        if request.scope == LoanScope::Share {
            state.demand.add(tokens, now);
        }
        LoanAnswer {
            tokens,
            cause: ReserveAnswer::Granted,
        }
    }

    /// Tokens that this boot must wait for (see [`Self::wait`]) before it can
    /// lend, or `None` if waiting for the store does not help, because tokens
    /// that are granted to nobody do not cover the loan either. This check
    /// avoids useless requests near the end of a budget.
    #[must_use]
    pub fn tokens_to_fetch(
        &self,
        organisation: &OrganisationId,
        request: LoanRequest,
        now: ClockTime,
    ) -> Option<u64> {
        let state = &self.budgets[self.budget_index(organisation)?];
        if self.leaving {
            return None;
        }
        if self.boot == 0 || !state.row.is_read() {
            // A new stand-in and a process that starts read the row first.
            return Some(request.needed);
        }
        let reserve = self.lender_reserve(state, request.scope, now);
        let ungranted = state.row.known().map_or(state.paid.0, |row| {
            self.paid(state, row).saturating_sub(row.committed())
        });
        let unspent = self.grant(state).saturating_sub(state.used + state.waiting);
        let have = (ungranted + unspent).saturating_sub(reserve);
        (have >= request.needed).then(|| reserve + request.wanted.min(have))
    }

    /// Tokens that this boot may spend now and does not keep for itself; `None`
    /// if it may spend none.
    fn lendable(&self, state: &BudgetState, scope: LoanScope, now: ClockTime) -> Option<u64> {
        let reserve = self.lender_reserve(state, scope, now);
        let unspent = self.grant(state).saturating_sub(state.used);
        Some(
            unspent
                .saturating_sub(reserve)
                .min(self.spendable(state, now)?),
        )
    }

    /// Tokens that a lender keeps for its own requests.
    #[expect(clippy::unused_self, reason = "called like the other methods")]
    fn lender_reserve(&self, state: &BudgetState, scope: LoanScope, now: ClockTime) -> u64 {
        match scope {
            LoanScope::Spare => state.demand.per_second(now) * LENDER_RESERVE_SECONDS,
            LoanScope::Share => 0,
        }
    }

    /// Tokens that this boot may spend now; `None` if it may spend none.
    fn spendable(&self, state: &BudgetState, now: ClockTime) -> Option<u64> {
        let time = self.clock.now(now)?;
        if self.boot == 0 || self.leaving || !state.row.is_read() {
            return None;
        }
        let allowed = self
            .limits
            .min_of(|row| self.own_allowance(row, &state.organisation, time));
        Some(self.grant(state).min(allowed).saturating_sub(state.used))
    }

    /// Adds tokens that another instance has lent.
    pub fn receive_loan(
        &mut self,
        organisation: &OrganisationId,
        lender: LenderId,
        tokens: u64,
        now: ClockTime,
    ) {
        let state = self.budget_mut(organisation);
        state.borrowed += tokens;
        state.loans_changed_at = now;
        match state.loans.iter_mut().find(|loan| loan.lender == lender) {
            Some(loan) => loan.outstanding += tokens,
            None => state.loans.push(OpenLoan {
                lender,
                outstanding: tokens,
                spent: 0,
            }),
        }
    }

    /// Replaces a reservation, of which `lent` tokens are borrowed, by what was
    /// spent. Borrowed tokens count as spent first.
    pub fn settle_loan(
        &mut self,
        organisation: &OrganisationId,
        reserved: u64,
        lent: u64,
        spent: u64,
    ) {
        let of_loan = spent.min(lent);
        let state = self.budget_mut(organisation);
        state.borrowed += lent - of_loan;
        let mut rest = of_loan;
        for loan in &mut state.loans {
            let part = loan.outstanding.min(rest);
            loan.outstanding -= part;
            loan.spent += part;
            rest -= part;
        }
        self.settle(organisation, reserved - lent, spent - of_loan);
    }

    /// Takes the reports that are due to lenders: what was spent of their
    /// loans, and what is returned because no request has reserved it. Each
    /// report must be sent once; tokens in a lost report stay spent.
    pub fn due_returns(&mut self, now: ClockTime) -> Vec<LoanReturn> {
        let mut due = Vec::new();
        for state in &mut self.budgets {
            if !state.loans.is_empty() && now.since(state.loans_changed_at) >= RETURN_AFTER_IDLE {
                due.extend(collect_returns(state));
            }
        }
        due
    }

    /// Applies a borrower's report. Returns false if this boot is not the
    /// lender.
    pub fn apply_return(&mut self, loan: &LoanReturn) -> bool {
        if loan.lender.nonce != self.nonce || loan.lender.instance != self.instance {
            return false;
        }
        let state = self.budget_mut(&loan.organisation);
        let all = loan.unspent.saturating_add(loan.spent).min(state.lent);
        state.lent -= all;
        // In a wrong report, spent tokens are counted before returned ones.
        self.settle(&loan.organisation, all, loan.spent.min(all));
        true
    }

    /// The identity of this boot in its loans.
    #[must_use]
    pub fn lender_id(&self) -> LenderId {
        LenderId {
            instance: self.instance.clone(),
            nonce: self.nonce,
        }
    }
}

/// An answer that lends nothing.
const fn no_loan(cause: ReserveAnswer) -> LoanAnswer {
    LoanAnswer { tokens: 0, cause }
}

/// Takes the reports for the lenders of a budget. Tokens that no request has
/// reserved are returned.
fn collect_returns(state: &mut BudgetState) -> Vec<LoanReturn> {
    let mut due = Vec::new();
    for loan in &mut state.loans {
        let unspent = loan.outstanding.min(state.borrowed);
        state.borrowed -= unspent;
        loan.outstanding -= unspent;
        let spent = std::mem::take(&mut loan.spent);
        if unspent + spent > 0 {
            due.push(LoanReturn {
                lender: loan.lender.clone(),
                organisation: state.organisation.clone(),
                unspent,
                spent,
            });
        }
    }
    state.loans.retain(|loan| loan.outstanding > 0);
    due
}
