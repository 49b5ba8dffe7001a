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

/// How much is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanAsk {
    /// Less is of no use to the borrower.
    pub needed: u64,
    /// It takes as much as this.
    pub wanted: u64,
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
        LoanAsk {
            needed,
            wanted: needed + whole(usual * MORE_REQUESTS),
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

    /// Lends tokens to another instance and returns how many: none, or a good
    /// part of what is needed at least. They count as spent here from now on.
    pub fn lend(&mut self, organisation: &OrganisationId, ask: LoanAsk, now: ClockTime) -> u64 {
        let spare = self
            .find(organisation)
            .and_then(|place| self.spare(&self.budgets[place], now));
        let lent = spare.unwrap_or(0).min(ask.wanted);
        if lent < ask.needed.div_ceil(LEAST_PART) {
            return 0;
        }
        self.state(organisation).used += lent;
        lent
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
        let row = state.row.known()?;
        if self.boot == 0 || self.leaving {
            return None;
        }
        let unheld = self.paid(state, row).saturating_sub(row.committed());
        let unspent = self.grant(state).saturating_sub(state.used + state.waiting);
        let keep = state.demand.per_second(now) * KEEP_SECONDS;
        let have = (unheld + unspent).saturating_sub(keep);
        (have >= ask.needed).then(|| keep + ask.wanted.min(have))
    }

    /// Tokens that this boot may spend at once and can do without; `None` where
    /// it may spend none.
    fn spare(&self, state: &BudgetState, now: ClockTime) -> Option<u64> {
        let keep = state.demand.per_second(now) * KEEP_SECONDS;
        let unspent = self.grant(state).saturating_sub(state.used);
        Some(unspent.saturating_sub(keep).min(self.free(state, now)?))
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
    pub fn take_loan(&mut self, organisation: &OrganisationId, tokens: u64) {
        self.state(organisation).borrowed += tokens;
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
        self.state(organisation).borrowed += lent - of_loan;
        self.settle(organisation, reserved - lent, spent - of_loan);
    }
}
