//! Compares the sums of billing records with a budget's row.

use super::fold::BillingFold;
use crate::budget::BudgetRow;
use crate::id::BudgetId;
use crate::id::TokenCount;

/// Difference between the billing records and the budget's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuditGap {
    /// They agree.
    None,
    /// The row settled tokens without a record: a segment is not durable yet,
    /// or is lost.
    Unrecorded(TokenCount),
    /// Records contain tokens that a holder has not reported to the row yet.
    /// The row's grants and frozen tokens cover them.
    Unreported(TokenCount),
    /// Records contain more tokens than the row's grants and frozen tokens
    /// cover.
    Overdrawn(TokenCount),
}

/// Result of the audit of one budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditResult {
    /// The budget.
    pub budget: BudgetId,
    /// Tokens that were paid for.
    pub paid: TokenCount,
    /// Tokens that are settled in the row.
    pub settled: TokenCount,
    /// Tokens of the charges that are kept.
    pub charged: TokenCount,
    /// Tokens of repeated charges that were not refunded yet.
    pub owed: TokenCount,
    /// Difference between the billing records and the budget's row.
    pub gap: AuditGap,
}

/// Audits one budget. `refunded` is the number of tokens that earlier refunds
/// subtracted from the settled tokens of the row.
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

/// Tokens that are granted or frozen, and not settled in the row.
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
