//! `budget show`

use guavawell_core::budget::BudgetRow;
use guavawell_core::id::BudgetId;

use super::read::find_stated;
use super::read::read_budget;
use super::report::BudgetReport;
use crate::error::CtlError;
use crate::output::TextTable;
use crate::output::print_report;
use crate::platform::CtlPlatform;
use crate::settings::CtlSettings;

/// Prints one budget with its grants and frozen tokens.
pub async fn show(settings: &CtlSettings, budget: &BudgetId) -> Result<(), CtlError> {
    let platform = CtlPlatform::new(settings)?;
    let report = read_report(&platform, budget).await?;
    print_report(settings, &report, show_text)
}

/// Reads one budget's report.
pub async fn read_report(
    platform: &CtlPlatform,
    budget: &BudgetId,
) -> Result<BudgetReport, CtlError> {
    let stored = read_budget(platform, budget).await?;
    if let Some(row) = stored.row {
        let organisation = row.organisation.clone();
        let stated = row.base;
        return Ok(BudgetReport::new(
            budget.clone(),
            organisation,
            stated,
            Some(row),
        ));
    }
    let stated = find_stated(platform, budget).await?;
    let organisation = stated.organisation;
    Ok(BudgetReport::new(
        budget.clone(),
        organisation,
        stated.paid,
        None,
    ))
}

fn show_text(report: &BudgetReport) -> String {
    let mut text = format!(
        "budget {} of {}\n\
         paid {} (topped up {}), settled {}, granted {}, frozen {}, unspent {}\n",
        report.budget,
        report.organisation,
        report.paid,
        report.topped_up,
        report.settled,
        report.granted,
        report.frozen,
        report.unspent
    );
    match &report.row {
        None => text += "nothing was drawn yet\n",
        Some(row) => text += &row_text(row),
    }
    text
}

fn row_text(row: &BudgetRow) -> String {
    let mut table = TextTable::new(&["SLOT", "TENURE", "GRANTED", "FROZEN"]);
    for grant in &row.grants {
        table.push(vec![
            grant.slot.to_string(),
            grant.tenure.to_string(),
            grant.open.to_string(),
            "-".to_owned(),
        ]);
    }
    for frozen in &row.frozen {
        table.push(vec![
            frozen.slot.to_string(),
            frozen.tenure.to_string(),
            "-".to_owned(),
            frozen.tokens.to_string(),
        ]);
    }
    table.to_string()
}
