//! `budget list`

use guavawell_core::budget::BudgetRow;
use guavawell_core::id::BudgetId;
use guavawell_core::id::IdError;
use guavawell_core::id::OrganisationId;
use guavawell_fleet::platform::TableRow;

use super::read::BUDGET_PREFIX;
use super::read::budget_key;
use super::read::read_budget;
use super::read::read_organisations;
use super::report::BudgetReport;
use crate::error::CtlError;
use crate::output::TextTable;
use crate::output::print_report;
use crate::platform::CtlPlatform;
use crate::platform::read_row;
use crate::settings::CtlSettings;

/// Prints the budgets of the manifest in force with what became of them.
pub async fn list(
    settings: &CtlSettings,
    organisation: Option<&OrganisationId>,
) -> Result<(), CtlError> {
    let platform = CtlPlatform::new(settings)?;
    let reports = read_reports(&platform, organisation).await?;
    print_report(settings, &reports, |reports| list_text(reports))
}

async fn read_reports(
    platform: &CtlPlatform,
    organisation: Option<&OrganisationId>,
) -> Result<Vec<BudgetReport>, CtlError> {
    let organisations = read_organisations(platform, organisation).await?;
    // All rows at once for the whole fleet, one by one for one organisation.
    let rows = match organisation {
        Some(_) => None,
        None => Some(platform.table.range(BUDGET_PREFIX).await?),
    };
    let mut reports = Vec::new();
    for entry in organisations {
        for budget in entry.budgets.iter() {
            let id = manifest_id(budget.id)?;
            let row = match &rows {
                Some(rows) => find_row(rows, &budget_key(&id))?,
                None => read_budget(platform, &id).await?.row,
            };
            let report = BudgetReport::new(id, entry.id.clone(), budget.paid, row);
            reports.push(report);
        }
    }
    Ok(reports)
}

fn manifest_id(id: &str) -> Result<BudgetId, CtlError> {
    id.parse().map_err(|error: IdError| CtlError::BadRow {
        key: "the manifest's pages".into(),
        reason: error.to_string().into(),
    })
}

fn find_row(rows: &[TableRow], key: &str) -> Result<Option<BudgetRow>, CtlError> {
    let found = rows.binary_search_by(|row| (*row.key).cmp(key));
    found.ok().map(|index| read_row(&rows[index])).transpose()
}

fn list_text(reports: &[BudgetReport]) -> String {
    let mut table = TextTable::new(&[
        "BUDGET",
        "ORGANISATION",
        "PAID",
        "SETTLED",
        "GRANTED",
        "FROZEN",
        "UNSPENT",
    ]);
    for report in reports {
        table.push(vec![
            report.budget.to_string(),
            report.organisation.to_string(),
            report.paid.to_string(),
            report.settled.to_string(),
            report.granted.to_string(),
            report.frozen.to_string(),
            report.unspent.to_string(),
        ]);
    }
    table.to_string()
}
