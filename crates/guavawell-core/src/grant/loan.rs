//! Tokens that one instance lets another one spend while the store is away.
//!
//! Load pattern: all instances of a large fleet are cut off from the store for
//! nine seconds, and each sees an organisation's request every three seconds or
//! so. Any one of them then runs short while the fleet holds many times what is
//! asked for: a quarter of all streams were refused at first.
//!
//! A loan is safe without the store. For the lender the tokens are spent, within
//! its own grant and line; the borrower spends them beside its own grant. What
//! either process forgets at its end, or what an unanswered question was lent,
//! stays spent: at most less can be spent than was paid.
//!
//! Second load pattern: the store turns a third of the instances away for eight
//! seconds and serves the others, and one of the third has nearly all callers
//! of an organisation. What it holds is spent in two seconds, while tokens that
//! nobody holds lie in the store. A lender that reaches the store fetches them
//! for it as it would for a request of its own.
//!
//! Third load pattern: a fleet of a hundred instances, of which a few hold an
//! organisation's tokens ([`super::holders`]). The others borrow for each
//! request, so what a request did not spend goes back to its lender: kept, it
//! would lie in a hundred pieces that fit nobody's need. A return names the
//! lender's process; a later one at the same address gave nothing away.

use super::answer::ReserveAnswer;
use super::book::BudgetState;
use super::book::GrantBook;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::id::InstanceId;
use crate::id::OrganisationId;
use crate::number::whole;

/// Seconds of its own demand that a lender keeps. Few: it may borrow itself, and
/// what all keep together is refused to somebody when a budget runs out.
const KEEP_SECONDS: u64 = 1;
/// How long nobody is asked again for as much as all of them declined.
const DECLINED: ClockSpan = ClockSpan::from_millis(400);
/// Least part of what is needed that is worth lending, as one in so many: the
/// lines of several lenders together cover a large request at a cut's begin.
const LEAST_PART: u64 = 3;
/// Usual requests beyond the one that is short that a borrower asks for, so
/// that not each of a burst has to ask. What it does not use is lost at its end.
const MORE_REQUESTS: f64 = 1.0;

/// How long lent tokens that no request holds wait for the next one.
const RETURN_AFTER: ClockSpan = ClockSpan::from_millis(300);

/// Who asks, and so what the lender keeps for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoanScope {
    /// A holder that is short: the lender keeps what it needs itself.
    Spare,
    /// An instance that holds nothing: its requests count like the lender's own.
    Share,
}

/// How much is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanAsk {
    /// Less is of no use to the borrower.
    pub needed: u64,
    /// It takes as much as this.
    pub wanted: u64,
    /// Who asks.
    pub scope: LoanScope,
}

/// One life of a process that lends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LenderId {
    /// The instance.
    pub instance: InstanceId,
    /// The random number of its boot.
    pub nonce: u64,
}

/// What a lender says to a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanAnswer {
    /// Tokens lent; none, or a good part of what is needed at least.
    pub tokens: u64,
    /// Why there are none, as the lender's own request would be told.
    pub cause: ReserveAnswer,
}

/// What a borrower has to account for to one lender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct OpenLoan {
    pub(super) lender: LenderId,
    /// Lent and neither spent nor given back.
    pub(super) open: u64,
    /// Spent and not yet told.
    pub(super) spent: u64,
}

/// An account of a loan, told once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanReturn {
    /// Who lent.
    pub lender: LenderId,
    /// Of whose tokens.
    pub organisation: OrganisationId,
    /// Given back.
    pub unspent: u64,
    /// Spent for good.
    pub spent: u64,
}

impl GrantBook {
    /// What to ask other instances for when a request of `tokens` is short:
    /// what this boot cannot reserve by itself now.
    #[must_use]
    pub fn loan_ask(&self, organisation: &OrganisationId, tokens: u64, now: ClockTime) -> LoanAsk {
        let place = self.find(organisation);
        let state = place.map(|place| &self.budgets[place]);
        let held = state.map_or(0, |state| {
            state.borrowed + self.free(state, now).unwrap_or(0)
        });
        let usual = state.map_or(0.0, |state| state.demand.usual());
        let needed = tokens.saturating_sub(held).max(1);
        if state.is_some_and(|state| !self.holds(state, now)) {
            return LoanAsk {
                needed,
                wanted: needed,
                scope: LoanScope::Share,
            };
        }
        LoanAsk {
            needed,
            wanted: needed + whole(usual * MORE_REQUESTS),
            scope: LoanScope::Spare,
        }
    }

    /// Whether asking other instances may help: the part of the budget that
    /// nobody holds does not cover the request, or cannot be had now, and they
    /// did not just decline as much.
    #[must_use]
    pub fn may_borrow(
        &self,
        organisation: &OrganisationId,
        tokens: u64,
        cut_off: bool,
        now: ClockTime,
    ) -> bool {
        let Some(place) = self.find(organisation) else {
            return false;
        };
        let state = &self.budgets[place];
        let declined = state
            .declined
            .is_some_and(|(least, at)| tokens >= least && now.since(at) < DECLINED);
        let row = state.row.known();
        let free = row.map_or(0, |row| {
            self.paid(state, row).saturating_sub(row.committed())
        });
        !declined && (cut_off || free < tokens)
    }

    /// Other instances declined to lend what a request of `tokens` lacks.
    pub fn note_declined(&mut self, organisation: &OrganisationId, tokens: u64, now: ClockTime) {
        self.state(organisation).declined = Some((tokens, now));
    }

    /// Other instances that held unspent tokens when the row was last read,
    /// with how many.
    #[must_use]
    pub fn lenders(&self, organisation: &OrganisationId) -> Vec<(InstanceId, u64)> {
        let place = self.find(organisation);
        let row = place.and_then(|place| self.budgets[place].row.known());
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

    /// Lends tokens to another instance, a good part of what it needs at least.
    /// They count as spent here until it accounts for them.
    pub fn lend(
        &mut self,
        organisation: &OrganisationId,
        ask: LoanAsk,
        now: ClockTime,
    ) -> LoanAnswer {
        let least = ask.needed.div_ceil(LEAST_PART);
        self.lend_at_least(organisation, ask, least, now)
    }

    /// Lends what a request needs, or nothing: a part is of use only where
    /// waiting for the rest is not.
    pub fn lend_whole(
        &mut self,
        organisation: &OrganisationId,
        ask: LoanAsk,
        now: ClockTime,
    ) -> LoanAnswer {
        self.lend_at_least(organisation, ask, ask.needed, now)
    }

    fn lend_at_least(
        &mut self,
        organisation: &OrganisationId,
        ask: LoanAsk,
        least: u64,
        now: ClockTime,
    ) -> LoanAnswer {
        if ask.scope == LoanScope::Share {
            self.stand_in(organisation, now);
        }
        let Some(place) = self.find(organisation) else {
            return declined(ReserveAnswer::Unknown);
        };
        let state = &self.budgets[place];
        let Some(spare) = self.spare(state, ask.scope, now) else {
            return declined(ReserveAnswer::Unknown);
        };
        let tokens = spare.min(ask.wanted);
        if tokens < least {
            let cause = self.judge_short(state, ask.needed);
            if ask.scope == LoanScope::Share {
                // Told in the row, so that others give back.
                self.budgets[place].shortage = Some((ask.needed, now));
            }
            return declined(cause);
        }
        let state = &mut self.budgets[place];
        state.used += tokens;
        state.lent += tokens;
        if ask.scope == LoanScope::Share {
            state.demand.add(tokens, now);
        }
        LoanAnswer {
            tokens,
            cause: ReserveAnswer::Granted,
        }
    }

    /// What this boot has to wait for so that it can lend, or `None` if waiting
    /// for the store does not help: what nobody holds does not cover it either.
    /// The bound keeps instances from asking in vain near a budget's end.
    #[must_use]
    pub fn lend_later(
        &self,
        organisation: &OrganisationId,
        ask: LoanAsk,
        now: ClockTime,
    ) -> Option<u64> {
        let state = &self.budgets[self.find(organisation)?];
        if self.leaving {
            return None;
        }
        if self.boot == 0 || !state.row.is_read() {
            // A stand-in reads the row first, and so does a process that starts.
            return Some(ask.needed);
        }
        let keep = self.keep(state, ask.scope, now);
        let unheld = state.row.known().map_or(state.paid.0, |row| {
            self.paid(state, row).saturating_sub(row.committed())
        });
        let unspent = self.grant(state).saturating_sub(state.used + state.waiting);
        let have = (unheld + unspent).saturating_sub(keep);
        (have >= ask.needed).then(|| keep + ask.wanted.min(have))
    }

    /// Tokens that this boot may spend at once and can do without; `None` where
    /// it may spend none.
    fn spare(&self, state: &BudgetState, scope: LoanScope, now: ClockTime) -> Option<u64> {
        let keep = self.keep(state, scope, now);
        let unspent = self.grant(state).saturating_sub(state.used);
        Some(unspent.saturating_sub(keep).min(self.free(state, now)?))
    }

    /// Tokens that a lender keeps for its own requests.
    #[expect(clippy::unused_self, reason = "reads as a question to the book")]
    fn keep(&self, state: &BudgetState, scope: LoanScope, now: ClockTime) -> u64 {
        match scope {
            LoanScope::Spare => state.demand.per_second(now) * KEEP_SECONDS,
            LoanScope::Share => 0,
        }
    }

    /// Tokens that this boot may spend at once; `None` where it may spend none.
    fn free(&self, state: &BudgetState, now: ClockTime) -> Option<u64> {
        let time = self.clock.now(now)?;
        if self.boot == 0 || self.leaving || !state.row.is_read() {
            return None;
        }
        let allowed = self
            .lines
            .least(|row| self.line_allowance(row, &state.organisation, time));
        Some(self.grant(state).min(allowed).saturating_sub(state.used))
    }

    /// Takes in what another instance has lent.
    pub fn take_loan(
        &mut self,
        organisation: &OrganisationId,
        lender: LenderId,
        tokens: u64,
        now: ClockTime,
    ) {
        let state = self.state(organisation);
        state.borrowed += tokens;
        state.loans_at = now;
        match state.loans.iter_mut().find(|loan| loan.lender == lender) {
            Some(loan) => loan.open += tokens,
            None => state.loans.push(OpenLoan {
                lender,
                open: tokens,
                spent: 0,
            }),
        }
    }

    /// Replaces a reservation, `lent` of it from what others lent, by what was
    /// spent. What others lent counts as spent first.
    pub fn settle_loan(
        &mut self,
        organisation: &OrganisationId,
        reserved: u64,
        lent: u64,
        spent: u64,
    ) {
        let of_loan = spent.min(lent);
        let state = self.state(organisation);
        state.borrowed += lent - of_loan;
        let mut rest = of_loan;
        for loan in &mut state.loans {
            let part = loan.open.min(rest);
            loan.open -= part;
            loan.spent += part;
            rest -= part;
        }
        self.settle(organisation, reserved - lent, spent - of_loan);
    }

    /// Accounts for loans: what was spent of them, and what no request needs.
    /// Each is to be told once; what is lost on the way stays spent.
    pub fn due_returns(&mut self, now: ClockTime) -> Vec<LoanReturn> {
        let mut due = Vec::new();
        for state in &mut self.budgets {
            if !state.loans.is_empty() && now.since(state.loans_at) >= RETURN_AFTER {
                due.extend(take_returns(state));
            }
        }
        due
    }

    /// A borrower accounts for what this process lent to it. Returns whether it
    /// was this process that lent.
    pub fn take_return(&mut self, loan: &LoanReturn) -> bool {
        if loan.lender.nonce != self.nonce || loan.lender.instance != self.instance {
            return false;
        }
        let state = self.state(&loan.organisation);
        let all = loan.unspent.saturating_add(loan.spent).min(state.lent);
        state.lent -= all;
        // Of a wrong account the part that gives nothing back is believed.
        self.settle(&loan.organisation, all, loan.spent.min(all));
        true
    }

    /// How this process signs what it lends.
    #[must_use]
    pub fn lender_id(&self) -> LenderId {
        LenderId {
            instance: self.instance.clone(),
            nonce: self.nonce,
        }
    }
}

const fn declined(cause: ReserveAnswer) -> LoanAnswer {
    LoanAnswer { tokens: 0, cause }
}

/// What a budget's lenders are to be told; tokens that no request holds go back.
fn take_returns(state: &mut BudgetState) -> Vec<LoanReturn> {
    let mut due = Vec::new();
    for loan in &mut state.loans {
        let unspent = loan.open.min(state.borrowed);
        state.borrowed -= unspent;
        loan.open -= unspent;
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
    state.loans.retain(|loan| loan.open > 0);
    due
}
