//! What may be spent of a budget right after the last word to the store.
//!
//! Load pattern: all instances lose power at one moment and are back after one
//! or two seconds. What their lines unlocked by then is frozen, spent or not. A
//! cut of the store from all of them looks the same for that long, and in it
//! the fleet needs what its callers ask for in these seconds, not more.
//!
//! Were each instance to unlock a usual request by itself, a small organisation
//! would have as many of them unlocked as there are instances: of budgets with
//! two requests a second over eight instances, up to 22% froze. So a few
//! instances, ranked alike by all, unlock the fleet's need between them, and
//! lend to the others in a cut. While the store answers, the others write their
//! line for each request before it is sent, which takes one answer of the store.
//!
//! Second load pattern: 64 instances of a tenth of a core, at which the store's
//! answers take 40 ms and up to 90 ms. A write for each request makes short
//! requests late there, so an instance that sees slow answers unlocks a usual
//! request by itself.

use super::book::BudgetState;
use super::book::GrantBook;
use crate::clock::ClockTime;
use crate::id::InstanceId;
use crate::id::OrganisationId;
use crate::instance::owners;
use crate::number::fraction;
use crate::number::whole;

/// Tokens that a line unlocks before its second rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct EarlyShare {
    /// At once.
    pub(super) burst: u64,
    /// A second.
    pub(super) rate: u64,
}

impl GrantBook {
    /// This instance's share of what the fleet unlocks of a budget.
    pub(super) fn early_share(&self, state: &BudgetState, now: ClockTime) -> EarlyShare {
        let settings = &self.settings;
        if self.answer > settings.slow_answer {
            return self.own_share(state, now);
        }
        let count = self.early_holders(state, now);
        let ranked = ranked(state);
        let own = ranked
            .iter()
            .position(|instance| **instance == self.instance);
        if own.is_none_or(|place| place >= count) {
            return EarlyShare::default();
        }
        let demand = self.fleet_demand(state, now);
        let holders = fraction(count as u64);
        let stock = fraction(self.grant(state).saturating_sub(state.used));
        let usual = state.demand.usual();
        let share = (demand * settings.burst_seconds / holders).max(usual);
        EarlyShare {
            burst: whole(share.min(stock * settings.burst_part)),
            rate: whole(demand * settings.line_factor / holders),
        }
    }

    /// What an instance unlocks by itself: a usual request.
    fn own_share(&self, state: &BudgetState, now: ClockTime) -> EarlyShare {
        let settings = &self.settings;
        let rate = fraction(state.demand.per_second(now)) * settings.line_factor;
        let stock = fraction(self.grant(state).saturating_sub(state.used));
        let usual = state.demand.usual().min(stock * settings.own_part);
        EarlyShare {
            burst: whole((rate * settings.own_seconds).max(usual)),
            rate: whole(rate),
        }
    }

    /// The other instances that unlock tokens of a budget early, the first one
    /// of the ranking first.
    #[must_use]
    pub fn early_lenders(&self, organisation: &OrganisationId, now: ClockTime) -> Vec<InstanceId> {
        let Some(place) = self.find(organisation) else {
            return Vec::new();
        };
        let state = &self.budgets[place];
        let count = self.early_holders(state, now);
        let holders = ranked(state).into_iter().take(count);
        let others = holders.filter(|instance| **instance != self.instance);
        others.cloned().collect()
    }

    /// How many instances unlock tokens early: as many as have a usual request
    /// each in what the fleet needs.
    fn early_holders(&self, state: &BudgetState, now: ClockTime) -> usize {
        let settings = &self.settings;
        let burst = self.fleet_demand(state, now) * settings.burst_seconds;
        let requests = whole((burst / state.demand.usual().max(1.0)).round());
        usize::try_from(requests).map_or(usize::MAX, |count| count.max(settings.least_holders))
    }

    /// Tokens a second that callers ask all instances for, by the row.
    fn fleet_demand(&self, state: &BudgetState, now: ClockTime) -> f64 {
        let row = state.row.known();
        let holders = row.map_or(&[][..], |row| &row.holders[..]);
        let others = holders.iter().filter(|entry| !self.is_own(entry));
        let elsewhere: u64 = others.map(|entry| entry.rate).sum();
        fraction(elsewhere + state.demand.per_second(now))
    }
}

/// All instances with an entry in the row, in the order that all of them
/// give them for this budget.
fn ranked(state: &BudgetState) -> Vec<&InstanceId> {
    let row = state.row.known();
    let holders = row.map_or(&[][..], |row| &row.holders[..]);
    // Entries are sorted by instance; a former boot's may still stand.
    let mut instances: Vec<&InstanceId> = holders.iter().map(|entry| &entry.instance).collect();
    instances.dedup();
    owners(instances, state.organisation.as_str().as_bytes())
}
