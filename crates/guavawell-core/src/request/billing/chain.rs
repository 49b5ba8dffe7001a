//! Finds missing and duplicate billing records by their running totals.
//!
//! Each record contains the running total of the charges to its pool in its
//! slot and tenure, its own charge included. So the record covers the range of
//! tokens that ends at this total. The records of one slot, tenure and pool
//! form a chain: their ranges start at zero and follow each other without gaps.
//! A gap means that a record was lost. An overlap means that a record was
//! forged or a charge was counted twice.
//!
//! The budget's row is only needed to find records that are missing at the end
//! of a chain. Records that a new holder wrote again after a takeover have no
//! range.

use super::record::BillingRecord;
use crate::budget::BudgetRow;
use crate::budget::SlotId;
use crate::budget::TokenPool;
use crate::id::BudgetId;
use crate::id::SlotEpoch;
use crate::id::TokenCount;

/// Identifies a chain of records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainName {
    /// The slot that charged.
    pub slot: SlotId,
    /// The tenure of the slot's holder.
    pub tenure: SlotEpoch,
    /// The pool that paid.
    pub pool: TokenPool,
}

/// An error in a chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChainFault {
    /// Tokens were charged without a record.
    Missing(TokenCount),
    /// Tokens are covered by two records.
    Doubled(TokenCount),
    /// The budget's row includes tokens after the last record: the segment with
    /// their record is not durable yet, or is lost.
    Trailing(TokenCount),
}

/// A gap or an overlap in a chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainGap {
    /// The chain.
    pub chain: ChainName,
    /// Tokens of the chain before the gap or the overlap.
    pub after: TokenCount,
    /// What is wrong.
    pub fault: ChainFault,
}

/// Result of checking the chains of one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChainAudit {
    /// Number of chains.
    pub chains: usize,
    /// Number of records with a range in one of the chains.
    pub records: usize,
    /// All gaps and overlaps.
    pub gaps: Vec<ChainGap>,
}

/// Checks that the chains of a budget have no gaps or overlaps, and that they
/// reach the totals that the budget's row reports.
#[must_use]
pub fn audit_chains(budget: &BudgetId, row: &BudgetRow, records: &[BillingRecord]) -> ChainAudit {
    let mut sorted: Vec<&BillingRecord> = records
        .iter()
        .filter(|record| record.budget == *budget && has_range(record))
        .collect();
    sorted.sort_by(|left, right| {
        let order = chain_key(left).cmp(&chain_key(right));
        let order = order.then(left.counted.cmp(&right.counted));
        let order = order.then(range_start(left).cmp(&range_start(right)));
        let order = order.then(left.identity.cmp(&right.identity));
        order.then(left.attempt.cmp(&right.attempt))
    });
    // Two holders of a slot may have recorded the same attempt. Each chain
    // keeps its own record of it.
    sorted
        .dedup_by(|left, right| chain_key(left) == chain_key(right) && left.is_same_charge(right));
    let mut audit = ChainAudit {
        records: sorted.len(),
        ..ChainAudit::default()
    };
    for chain in sorted.chunk_by(|left, right| chain_key(left) == chain_key(right)) {
        audit.chains += 1;
        check_chain(chain, row, &mut audit.gaps);
    }
    audit
}

impl BillingRecord {
    /// Whether the ranges of both records overlap. The budget's row includes
    /// the tokens in the overlap only once.
    #[must_use]
    pub fn overlaps(&self, other: &Self) -> bool {
        let is_same_chain = self.budget == other.budget && chain_key(self) == chain_key(other);
        let have_ranges = has_range(self) && has_range(other);
        is_same_chain
            && have_ranges
            && range_start(self) < other.counted
            && range_start(other) < self.counted
    }
}

/// Whether the record has a range. A charge that was paid from tokens frozen by
/// a takeover, or recorded again by a successor, has none.
fn has_range(record: &BillingRecord) -> bool {
    record.counted != TokenCount::ZERO && record.counted != TokenCount::new(u64::MAX)
}

fn chain_key(record: &BillingRecord) -> (&SlotId, SlotEpoch, bool) {
    let is_float = record.pool == TokenPool::Float;
    (&record.slot, record.tenure, is_float)
}

const fn range_start(record: &BillingRecord) -> TokenCount {
    record.counted.saturating_sub(record.charged)
}

fn check_chain(chain: &[&BillingRecord], row: &BudgetRow, gaps: &mut Vec<ChainGap>) {
    let Some(first) = chain.first() else {
        return;
    };
    let name = ChainName {
        slot: first.slot.clone(),
        tenure: first.tenure,
        pool: first.pool,
    };
    let mut report = |after, fault| {
        gaps.push(ChainGap {
            chain: name.clone(),
            after,
            fault,
        });
    };
    let mut covered = TokenCount::ZERO;
    for record in chain {
        let start = range_start(record);
        if start > covered {
            report(covered, ChainFault::Missing(start.saturating_sub(covered)));
        } else if start < covered {
            report(start, ChainFault::Doubled(covered.saturating_sub(start)));
        }
        covered = covered.max(record.counted);
    }
    let reported = reported(first, row);
    if reported > covered {
        report(
            covered,
            ChainFault::Trailing(reported.saturating_sub(covered)),
        );
    }
}

/// The total that the budget's row reports for the chain; zero if the slot's
/// grant has another tenure.
fn reported(record: &BillingRecord, row: &BudgetRow) -> TokenCount {
    let grant = row.grant(&record.slot);
    let grant = grant.filter(|grant| grant.tenure == record.tenure);
    grant.map_or(TokenCount::ZERO, |grant| match record.pool {
        TokenPool::Witnessed => grant.reported,
        TokenPool::Float => grant.float_reported,
    })
}
