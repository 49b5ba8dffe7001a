//! Tokens that spend limits release before their late rate applies.
//!
//! Load pattern: all instances lose power at the same moment and are back after
//! one or two seconds. Everything that their limits released by then stays
//! charged, spent or not. An outage of the store that starts for all instances at once
//! looks the same for that long, and in it the fleet needs what callers request
//! in these seconds, but no more.
//!
//! If each instance released a typical request on its own, a small organisation
//! would have one released for every instance: up to 22% of a budget froze at
//! two requests per second over eight instances. So only a few instances
//! release what the fleet needs, and lend it to the others during an outage.
//! All instances select the same ones. While the store answers, the others
//! write their limit before they send a request, which costs one round trip to
//! the store.
//!
//! Second load pattern: 64 instances on a tenth of a core each, for which the
//! store takes 40 ms and up to 90 ms to answer. A write for each request would
//! delay short requests too much, so an instance that sees slow answers
//! releases a typical request on its own.

use super::ledger::BudgetState;
use super::ledger::GrantLedger;
use crate::clock::ClockTime;
use crate::id::InstanceId;
use crate::id::OrganisationId;
use crate::instance::owners;
use crate::number::fraction;
use crate::number::whole;

/// Tokens that a spend limit releases before its late rate applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct EarlyShare {
    /// Tokens that may be spent at once.
    pub(super) burst: u64,
    /// Tokens per second after that.
    pub(super) rate: u64,
}

impl GrantLedger {
    /// This instance's share of what the fleet releases early of a budget.
    pub(super) fn early_share(&self, state: &BudgetState, now: ClockTime) -> EarlyShare {
        let share = self.ranked_share(state, now);
        if !self.has_many_requests(state, now) {
            return share;
        }
        let own = self.own_demand_share(state, now);
        EarlyShare {
            burst: share.burst.max(own.burst),
            rate: share.rate.max(own.rate),
        }
    }

    /// What an instance with many requests releases: what its own callers need. Its
    /// share by rank would be smaller: that divides what the fleet needs by the number
    /// of typical requests in it, which may be larger than the number of instances.
    fn own_demand_share(&self, state: &BudgetState, now: ClockTime) -> EarlyShare {
        let settings = &self.settings;
        let demand = fraction(state.demand.per_second(now));
        let stock = fraction(self.grant(state).saturating_sub(state.used));
        let burst = demand * settings.burst_seconds;
        EarlyShare {
            burst: whole(burst.min(stock * settings.max_burst_fraction)),
            rate: whole(demand * settings.early_rate_factor),
        }
    }

    /// An instance's share by its rank.
    fn ranked_share(&self, state: &BudgetState, now: ClockTime) -> EarlyShare {
        let settings = &self.settings;
        if self.store_latency > settings.slow_store_latency {
            return self.solo_share(state, now);
        }
        let count = self.early_lender_count(state, now);
        let ranked = ranked_instances(state);
        let own = ranked
            .iter()
            .position(|instance| **instance == self.instance);
        if own.is_none_or(|index| index >= count) {
            return EarlyShare::default();
        }
        let demand = self.fleet_demand(state, now);
        let holders = fraction(count as u64);
        let stock = fraction(self.grant(state).saturating_sub(state.used));
        let typical_request = state.demand.typical_request();
        let share = (demand * settings.burst_seconds / holders).max(typical_request);
        EarlyShare {
            burst: whole(share.min(stock * settings.max_burst_fraction)),
            rate: whole(demand * settings.early_rate_factor / holders),
        }
    }

    /// What an instance releases on its own: a typical request.
    fn solo_share(&self, state: &BudgetState, now: ClockTime) -> EarlyShare {
        let settings = &self.settings;
        let rate = fraction(state.demand.per_second(now)) * settings.early_rate_factor;
        let stock = fraction(self.grant(state).saturating_sub(state.used));
        let typical_request = state
            .demand
            .typical_request()
            .min(stock * settings.solo_burst_fraction);
        EarlyShare {
            burst: whole((rate * settings.solo_burst_seconds).max(typical_request)),
            rate: whole(rate),
        }
    }

    /// The other instances that release tokens of a budget early, highest rank
    /// first.
    #[must_use]
    pub fn early_lenders(&self, organisation: &OrganisationId, now: ClockTime) -> Vec<InstanceId> {
        let Some(index) = self.budget_index(organisation) else {
            return Vec::new();
        };
        let state = &self.budgets[index];
        let count = self.early_lender_count(state, now);
        let holders = ranked_instances(state).into_iter().take(count);
        let others = holders.filter(|instance| **instance != self.instance);
        others.cloned().collect()
    }

    /// How many instances release tokens early: the number of typical requests
    /// in what the fleet needs.
    fn early_lender_count(&self, state: &BudgetState, now: ClockTime) -> usize {
        let settings = &self.settings;
        let burst = self.fleet_demand(state, now) * settings.burst_seconds;
        let requests = whole((burst / state.demand.typical_request().max(1.0)).round());
        usize::try_from(requests).map_or(usize::MAX, |count| count.max(settings.min_early_lenders))
    }

    /// Tokens per second that callers request from all instances, according to
    /// the row.
    pub(super) fn fleet_demand(&self, state: &BudgetState, now: ClockTime) -> f64 {
        let row = state.row.known();
        let holders = row.map_or(&[][..], |row| &row.holders[..]);
        let others = holders.iter().filter(|entry| !self.is_own(entry));
        let elsewhere: u64 = others.map(|entry| entry.rate).sum();
        fraction(elsewhere + state.demand.per_second(now))
    }
}

/// All instances with an entry in the row, in an order that is the same on all
/// of them.
fn ranked_instances(state: &BudgetState) -> Vec<&InstanceId> {
    let row = state.row.known();
    let holders = row.map_or(&[][..], |row| &row.holders[..]);
    // Entries are sorted by instance, and an ended boot may still have one.
    let mut instances: Vec<&InstanceId> = holders.iter().map(|entry| &entry.instance).collect();
    instances.dedup();
    owners(instances, state.organisation.as_str().as_bytes())
}
