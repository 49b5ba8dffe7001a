//! Table operations that a holder or a witness requests from its driver.
//!
//! Every operation can be retried. If the response to a write is lost, the driver
//! reads the rows again and repeats the operation; the rows record which changes
//! were applied, so none is applied twice.

use serde::Deserialize;
use serde::Serialize;

use super::row::FrozenReport;
use super::row::GrantChange;
use super::row::RowError;
use super::slot::SlotId;
use super::slot::SlotRow;
use crate::id::BudgetId;
use crate::id::SlotEpoch;
use crate::id::TokenCount;

/// A transaction or a read on the table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableIntent {
    /// Replace the slot row if it still equals `expected` (`None`: no row exists).
    /// The result is the row after the operation, whether replaced or not; the
    /// driver reads it again if necessary.
    WriteSlot {
        /// The slot.
        slot: SlotId,
        /// The row as it was read.
        expected: Option<SlotRow>,
        /// The row to write.
        row: SlotRow,
    },
    /// Read the slot row.
    ReadSlot {
        /// The slot.
        slot: SlotId,
    },
    /// Apply a holder's change to the budget row, provided that the budget row's
    /// revision is unchanged and the slot row still names the change's tenure.
    ChangeGrant {
        /// The budget.
        budget: BudgetId,
        /// The change.
        change: GrantChange,
    },
    /// Apply a former holder's late report, provided that the budget row's revision
    /// is unchanged.
    ReportFrozen {
        /// The budget.
        budget: BudgetId,
        /// The report.
        report: FrozenReport,
    },
}

/// Names a change of a grant, so that its outcome is told from others.
///
/// Sequence numbers begin anew in each tenure, and an outcome may arrive in a
/// later one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ChangeKey {
    /// The budget.
    pub budget: BudgetId,
    /// The tenure of the holder that asked for the change.
    pub tenure: SlotEpoch,
    /// The number of the change within this tenure.
    pub sequence: u64,
}

impl ChangeKey {
    /// The key of a change of a budget's grant.
    #[must_use]
    pub const fn new(budget: BudgetId, change: &GrantChange) -> Self {
        Self {
            budget,
            tenure: change.tenure,
            sequence: change.sequence,
        }
    }

    /// Whether it names this change.
    #[must_use]
    pub fn names(&self, change: &GrantChange) -> bool {
        self.tenure == change.tenure && self.sequence == change.sequence
    }
}

/// Names a former holder's report.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReportKey {
    /// The budget.
    pub budget: BudgetId,
    /// The tenure that is reported.
    pub tenure: SlotEpoch,
}

impl ReportKey {
    /// The key of a report to a budget.
    #[must_use]
    pub const fn new(budget: BudgetId, report: &FrozenReport) -> Self {
        Self {
            budget,
            tenure: report.tenure,
        }
    }
}

/// The grant of one slot in the table after a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantView {
    /// The sequence number of the last change that was applied.
    pub sequence: u64,
    /// Open tokens of the slot's grant.
    pub open: TokenCount,
    /// Charges to the witnessed part that the budget row includes.
    pub reported: TokenCount,
    /// Charges to the float that the budget row includes.
    pub float_reported: TokenCount,
    /// Tokens of the budget that can still be granted.
    pub unspent: TokenCount,
    /// Other slots with open tokens of this budget.
    pub elsewhere: Vec<OtherGrant>,
}

/// Open tokens of another slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OtherGrant {
    /// The slot.
    pub slot: SlotId,
    /// Its open tokens, including those reserved by running attempts.
    pub open: TokenCount,
}

/// Why a table operation failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TableFailure {
    /// The table could not be reached, or the response to a write was lost and
    /// reading the row again failed too.
    Unreachable,
    /// The slot row names another holder or tenure.
    NotHolder,
    /// The budget does not exist.
    NoBudget,
    /// The budget row rejected the change.
    Refused(RowError),
}
