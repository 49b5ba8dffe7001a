//! `budget top-up`

use guavawell_core::budget::BudgetRow;
use guavawell_core::budget::RowChange;
use guavawell_core::budget::TopUpId;
use guavawell_core::id::BudgetId;
use guavawell_core::id::TokenCount;
use guavawell_core::platform::WriteClass;
use guavawell_fleet::platform::PlatformError;
use guavawell_fleet::platform::TableCompare;
use guavawell_fleet::platform::TableOp;
use guavawell_fleet::platform::TableTxn;
use serde::Serialize;

use super::read::StoredBudget;
use super::read::budget_key;
use super::read::find_stated;
use super::read::read_budget;
use crate::error::CtlError;
use crate::output::print_report;
use crate::platform::CtlPlatform;
use crate::settings::CtlSettings;

/// Times that a top-up is tried against other writers of the row.
const MAX_TRIES: usize = 20;

/// Tokens to add to a budget.
#[derive(Clone, Debug)]
pub struct TopUp {
    /// The budget.
    pub budget: BudgetId,
    /// The top-up's id; it counts once.
    pub id: TopUpId,
    /// The tokens.
    pub tokens: TokenCount,
}

/// A top-up that counts.
#[derive(Debug, Serialize)]
struct TopUpReport {
    budget: BudgetId,
    id: TopUpId,
    /// Whether this command added it; false if it counted before.
    changed: bool,
    paid: TokenCount,
    unspent: TokenCount,
}

/// How one try ended.
enum TryOutcome {
    /// The top-up counts, by this try or an earlier one.
    Counts(TopUpReport),
    /// Another writer was faster.
    Raced,
    /// The write may have taken effect.
    Lost,
}

/// Adds tokens to a budget once.
pub async fn top_up(settings: &CtlSettings, top_up: TopUp) -> Result<(), CtlError> {
    let platform = CtlPlatform::new(settings)?;
    let mut lost = false;
    for _ in 0..MAX_TRIES {
        match try_top_up(&platform, &top_up).await {
            Ok(TryOutcome::Counts(mut report)) => {
                // After a lost answer, the write found in place may be ours.
                report.changed |= lost;
                return print_report(settings, &report, top_up_text);
            }
            Ok(TryOutcome::Raced) => {}
            Ok(TryOutcome::Lost) => lost = true,
            Err(_) if lost => return Err(CtlError::TopUpInDoubt(top_up.budget)),
            Err(error) => return Err(error),
        }
    }
    if lost {
        return Err(CtlError::TopUpInDoubt(top_up.budget));
    }
    Err(CtlError::Contended(budget_key(&top_up.budget)))
}

/// Reads the row and adds the top-up, unless the row holds it already.
async fn try_top_up(platform: &CtlPlatform, top_up: &TopUp) -> Result<TryOutcome, CtlError> {
    let stored = read_budget(platform, &top_up.budget).await?;
    let revision = stored.revision;
    let row = row_or_new(platform, stored, &top_up.budget).await?;
    let changed = match row.top_up(&top_up.id, top_up.tokens)? {
        RowChange::Applied => return Ok(TryOutcome::Counts(report(top_up, &row, false))),
        RowChange::Write(changed) => changed,
    };
    let key = budget_key(&top_up.budget);
    let value = serde_json::to_vec(&changed).map_err(std::io::Error::from)?;
    let txn = TableTxn {
        compares: vec![TableCompare::unchanged(&key, revision)],
        success: vec![TableOp::put(&key, value)],
        failure: Vec::new(),
    };
    match platform.table.txn(&txn, WriteClass::Money).await {
        Ok(answer) if answer.succeeded => Ok(TryOutcome::Counts(report(top_up, &changed, true))),
        Ok(_) => Ok(TryOutcome::Raced),
        Err(PlatformError::Lost(_)) => Ok(TryOutcome::Lost),
        Err(error) => Err(error.into()),
    }
}

/// The row, or the first row of a budget that nobody drew on yet.
async fn row_or_new(
    platform: &CtlPlatform,
    stored: StoredBudget,
    budget: &BudgetId,
) -> Result<BudgetRow, CtlError> {
    if let Some(row) = stored.row {
        return Ok(row);
    }
    let stated = find_stated(platform, budget).await?;
    Ok(BudgetRow::new(
        stated.organisation,
        stated.paid,
        stated.version,
    ))
}

fn report(top_up: &TopUp, row: &BudgetRow, changed: bool) -> TopUpReport {
    TopUpReport {
        budget: top_up.budget.clone(),
        id: top_up.id.clone(),
        changed,
        paid: row.paid,
        unspent: row.unspent(),
    }
}

fn top_up_text(report: &TopUpReport) -> String {
    let how = if report.changed {
        "counts"
    } else {
        "counted already"
    };
    format!(
        "top-up {} {how}: {} now has {} paid, {} unspent",
        report.id, report.budget, report.paid, report.unspent
    )
}
