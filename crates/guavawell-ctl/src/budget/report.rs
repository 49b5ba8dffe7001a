//! What operators read of a budget.

use guavawell_core::budget::BudgetRow;
use guavawell_core::id::BudgetId;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::TokenCount;
use serde::Serialize;

/// A budget in numbers, all in tokens.
#[derive(Debug, Serialize)]
pub struct BudgetReport {
    /// The budget.
    pub budget: BudgetId,
    /// The organisation that paid.
    pub organisation: OrganisationId,
    /// What is paid, top-ups included.
    pub paid: TokenCount,
    /// What of it was topped up.
    pub topped_up: TokenCount,
    /// What is charged for good.
    pub settled: TokenCount,
    /// What routers hold.
    pub granted: TokenCount,
    /// What is frozen after a takeover.
    pub frozen: TokenCount,
    /// What may still be granted.
    pub unspent: TokenCount,
    /// The row with its grants; `None` if nothing was ever drawn.
    pub row: Option<BudgetRow>,
}

impl BudgetReport {
    /// The report of a budget, with its row if there is one.
    pub fn new(
        budget: BudgetId,
        organisation: OrganisationId,
        stated: TokenCount,
        row: Option<BudgetRow>,
    ) -> Self {
        let Some(row) = row else {
            return Self {
                budget,
                organisation,
                paid: stated,
                topped_up: TokenCount::ZERO,
                settled: TokenCount::ZERO,
                granted: TokenCount::ZERO,
                frozen: TokenCount::ZERO,
                unspent: stated,
                row: None,
            };
        };
        Self {
            budget,
            organisation,
            paid: row.paid,
            topped_up: row.topped_up,
            settled: row.settled,
            granted: row.grants.iter().map(|grant| grant.open).sum(),
            frozen: row.frozen.iter().map(|frozen| frozen.tokens).sum(),
            unspent: row.unspent(),
            row: Some(row),
        }
    }
}
