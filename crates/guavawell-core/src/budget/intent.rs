//! What a holder or a witness wants from the platform's table.
//!
//! Every intent may be carried out again. When the answer of a write is
//! lost, the driver reads the rows back and starts over: rows know the
//! changes that they hold.

use serde::Deserialize;
use serde::Serialize;

use super::row::FrozenReport;
use super::row::GrantChange;
use super::row::RowError;
use super::slot::SlotId;
use super::slot::SlotRow;
use crate::id::BudgetId;
use crate::id::TokenCount;

/// One transaction, or one read, against the table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableIntent {
    /// Replace the slot row if it still equals `expected` (`None`: absent);
    /// answer with the row as it is afterwards, read back if need be.
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
    /// Apply a holder's change to the budget row, comparing the budget
    /// row's revision and a slot row with this change's tenure.
    ChangeGrant {
        /// The budget.
        budget: BudgetId,
        /// The change.
        change: GrantChange,
    },
    /// Apply a former holder's late report, comparing the budget row's
    /// revision.
    ReportFrozen {
        /// The budget.
        budget: BudgetId,
        /// The report.
        report: FrozenReport,
    },
}

/// The grant as the table holds it after a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantView {
    /// The last change that the row holds.
    pub sequence: u64,
    /// Open tokens of the slot.
    pub open: TokenCount,
    /// Witnessed charges that the row holds.
    pub reported: TokenCount,
    /// Float charges that the row holds.
    pub float_reported: TokenCount,
    /// Tokens that may still be granted.
    pub unspent: TokenCount,
    /// Other slots with open tokens.
    pub elsewhere: Vec<OtherGrant>,
}

/// Open tokens of another slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OtherGrant {
    /// The slot.
    pub slot: SlotId,
    /// Its open tokens, those in use included.
    pub open: TokenCount,
}

/// Why an intent was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TableFailure {
    /// The table could not be reached, or its answer was lost and it could
    /// not be read back.
    Unreachable,
    /// The slot row names another holder or tenure.
    NotHolder,
    /// There is no such budget.
    NoBudget,
    /// The row refused the change.
    Refused(RowError),
}
