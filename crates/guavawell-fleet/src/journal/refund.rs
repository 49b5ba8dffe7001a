//! Gives second charges back: one transaction over budget and refund row.

use guavawell_core::budget::BudgetRow;
use guavawell_core::platform::WriteClass;
use guavawell_core::request::billing::BillingRecord;
use guavawell_core::request::billing::RefundRow;
use guavawell_core::request::billing::refund_key;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::clock;
use crate::platform::PlatformError;
use crate::platform::Table;
use crate::platform::TableCompare;
use crate::platform::TableOp;
use crate::platform::TableRow;
use crate::platform::TableTxn;

/// Tries of one refund while others change the same rows, or answers are lost.
const MAX_CONFLICTS: usize = 16;

/// What became of a request's second charges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RefundOutcome {
    /// Charges given back now.
    pub given: usize,
    /// Charges that their budget's row does not hold for certain yet.
    pub waiting: usize,
}

/// Gives back every charge of one request but the one that stands; charges that
/// their budget's row does not hold for certain are left for a later call.
///
/// After a lost answer the rows are read back: the refund row tells whether
/// the charge was given back.
///
/// # Errors
///
/// [`PlatformError`]: the table does not answer, or a row cannot be read.
pub async fn refund_second_charges(
    table: &Table,
    charges: &[BillingRecord],
) -> Result<RefundOutcome, PlatformError> {
    let mut outcome = RefundOutcome::default();
    let Some(first) = charges.first() else {
        return Ok(outcome);
    };
    let key = refund_key(&first.identity);
    for _ in 0..MAX_CONFLICTS {
        let read = table.get(&key).await?;
        let row: Option<RefundRow> = parse(read.row.as_ref())?;
        let Some(row) = row.or_else(|| RefundRow::first(charges)) else {
            return Ok(outcome);
        };
        let mut txn = None;
        for record in row.open(charges) {
            txn = refund(table, &key, read.mod_revision(), &row, record).await?;
            if txn.is_some() {
                break;
            }
        }
        outcome.waiting = row.open(charges).count();
        let Some(txn) = txn else {
            return Ok(outcome);
        };
        match table.txn(&txn, WriteClass::Money).await {
            Ok(answer) => outcome.given += usize::from(answer.succeeded),
            Err(PlatformError::Lost(_)) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(outcome)
}

/// The transaction that gives `record` back; `None` while its budget's row
/// does not hold it for certain.
async fn refund(
    table: &Table,
    key: &str,
    revision: u64,
    row: &RefundRow,
    record: &BillingRecord,
) -> Result<Option<TableTxn>, PlatformError> {
    let budget_key = format!("budget/{}", record.budget);
    let read = table.get(&budget_key).await?;
    let Some(budget): Option<BudgetRow> = parse(read.row.as_ref())? else {
        return Ok(None);
    };
    let Ok(changed) = budget.refund(&record.refund_charge()) else {
        return Ok(None);
    };
    Ok(Some(TableTxn {
        compares: vec![
            TableCompare::unchanged(key, revision),
            TableCompare::unchanged(&budget_key, read.mod_revision()),
        ],
        success: vec![
            TableOp::put(key, encode(&row.with(record, clock::now()))),
            TableOp::put(&budget_key, encode(&changed)),
        ],
        failure: Vec::new(),
    }))
}

fn parse<T: DeserializeOwned>(row: Option<&TableRow>) -> Result<Option<T>, PlatformError> {
    let Some(row) = row else {
        return Ok(None);
    };
    let parsed = serde_json::from_slice(&row.value);
    parsed
        .map(Some)
        .map_err(|error| PlatformError::Refused(format!("row `{}`: {error}", row.key).into()))
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("rows of ids and numbers serialise")
}
