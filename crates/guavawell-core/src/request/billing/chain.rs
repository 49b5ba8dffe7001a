//! Finds missing and doubled records without the budget's row.
//!
//! Each record names the sum of its pool's charges in its slot and tenure, its
//! own included. The records of one pool therefore lie end to end from zero; a
//! hole is a lost record, an overlap one that was made up or counted twice.
//! Records that a takeover told again have no place of their own.

use super::record::BillingRecord;
use crate::budget::BudgetRow;
use crate::budget::SlotId;
use crate::budget::TokenPool;
use crate::id::BudgetId;
use crate::id::SlotEpoch;
use crate::id::TokenCount;

/// Whose charges lie end to end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainName {
    /// The slot that charged.
    pub slot: SlotId,
    /// Its holder's tenure.
    pub tenure: SlotEpoch,
    /// The pool that paid.
    pub pool: TokenPool,
}

/// What is wrong with a chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChainFault {
    /// Tokens were charged that no record tells of.
    Missing(TokenCount),
    /// Tokens are told of by two records.
    Doubled(TokenCount),
    /// The row holds tokens after the last record: its segment is not durable
    /// yet, or is lost.
    Trailing(TokenCount),
}

/// One place where records do not lie end to end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainGap {
    /// The chain.
    pub chain: ChainName,
    /// Tokens of the chain before the place.
    pub after: TokenCount,
    /// What is wrong there.
    pub fault: ChainFault,
}

/// The chains of one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChainAudit {
    /// Chains looked at.
    pub chains: usize,
    /// Records with a place in one of them.
    pub records: usize,
    /// Every place where records do not lie end to end.
    pub gaps: Vec<ChainGap>,
}

/// Checks that a budget's records lie end to end, and reach as far as what
/// the row says was reported.
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
    // A former holder may have told of an attempt that its successor charged:
    // each chain keeps its own record of it.
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
    /// Whether both records tell of some of the same tokens: those of one slot,
    /// tenure and pool lie end to end, so that the budget's row holds such
    /// tokens once.
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

/// A charge paid from what a takeover froze, or told again by a successor, has
/// no place.
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

/// What the row holds of the chain's tenure, if that is the grant's.
fn reported(record: &BillingRecord, row: &BudgetRow) -> TokenCount {
    let grant = row.grant(&record.slot);
    let grant = grant.filter(|grant| grant.tenure == record.tenure);
    grant.map_or(TokenCount::ZERO, |grant| match record.pool {
        TokenPool::Witnessed => grant.reported,
        TokenPool::Float => grant.float_reported,
    })
}
