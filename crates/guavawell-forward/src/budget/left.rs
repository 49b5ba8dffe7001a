//! What this instance can still spend by itself, and whether the store answers.

use guavawell_core::clock::ClockSpan;
use guavawell_core::id::OrganisationId;

use super::BudgetManager;

impl BudgetManager {
    /// Tokens granted to this boot for an organisation that are neither reserved nor
    /// spent.
    pub(crate) fn tokens_left(&self, organisation: &OrganisationId) -> u64 {
        let now = self.clock.now();
        let facts = self.ledger.borrow().facts(organisation, now);
        facts.grant.saturating_sub(facts.used)
    }

    /// The time since the first failed call to the store; `None` while it answers.
    pub(crate) fn store_outage(&self) -> Option<ClockSpan> {
        let now = self.clock.now();
        self.failing_since.get().map(|since| now.since(since))
    }
}
