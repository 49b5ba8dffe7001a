//! Sums billing records and compares them with a budget's row.

use super::fold::BillingFold;
use crate::budget::BudgetRow;
use crate::id::BudgetId;
use crate::id::TokenCount;

/// How records and row differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuditGap {
    /// They agree.
    None,
    /// The row settled tokens that no record tells of: a segment is not
    /// durable yet, or is lost.
    Unrecorded(TokenCount),
    /// Records tell of tokens that a holder has not reported to the row yet;
    /// they lie within its open grants.
    Unreported(TokenCount),
    /// Records tell of more tokens than the row's grants covered.
    Overdrawn(TokenCount),
}

/// One budget's audit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditResult {
    /// The budget.
    pub budget: BudgetId,
    /// The sum paid.
    pub paid: TokenCount,
    /// Tokens that the row holds as settled.
    pub settled: TokenCount,
    /// Tokens of the charges that stand.
    pub charged: TokenCount,
    /// Tokens charged a second time and not given back yet.
    pub owed: TokenCount,
    /// How records and row differ.
    pub gap: AuditGap,
}

/// Audits one budget. `refunded` is what earlier refunds took out of the
/// row's settled tokens.
#[must_use]
pub fn audit_budget(
    budget: &BudgetId,
    row: &BudgetRow,
    refunded: TokenCount,
    fold: &BillingFold,
) -> AuditResult {
    let charged = fold.charged(budget);
    let duplicate = fold.owed(budget);
    let owed = duplicate.saturating_sub(refunded);
    let recorded = charged.saturating_add(duplicate);
    let settled = row.settled.saturating_add(refunded);
    AuditResult {
        budget: budget.clone(),
        paid: row.paid,
        settled: row.settled,
        charged,
        owed,
        gap: gap(recorded, settled, outstanding(row)),
    }
}

/// Tokens out with holders: granted or frozen, and not settled in the row.
fn outstanding(row: &BudgetRow) -> TokenCount {
    let open: TokenCount = row.grants.iter().map(|grant| grant.open).sum();
    let frozen: TokenCount = row.frozen.iter().map(|frozen| frozen.tokens).sum();
    open.saturating_add(frozen)
}

fn gap(recorded: TokenCount, settled: TokenCount, outstanding: TokenCount) -> AuditGap {
    if recorded == settled {
        return AuditGap::None;
    }
    if recorded < settled {
        return AuditGap::Unrecorded(settled.saturating_sub(recorded));
    }
    let unsettled = recorded.saturating_sub(settled);
    match unsettled.checked_sub(outstanding) {
        Some(overdrawn) if overdrawn > TokenCount::ZERO => AuditGap::Overdrawn(overdrawn),
        _ => AuditGap::Unreported(unsettled),
    }
}
