//! Reads budgets from the manifest in force and from the table.

use guavawell_core::budget::BudgetRow;
use guavawell_core::id::BudgetId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::TokenCount;
use guavawell_core::manifest::FleetView;
use guavawell_core::manifest::OrganisationEntry;

use crate::error::CtlError;
use crate::platform::CtlPlatform;
use crate::platform::read_row;

/// The prefix of the table's keys of budgets.
pub const BUDGET_PREFIX: &str = "budget/";

/// A budget's row and the revision of its last write.
#[derive(Debug)]
pub struct StoredBudget {
    /// The row; `None` if nothing was ever drawn or topped up.
    pub row: Option<BudgetRow>,
    /// The revision to compare with when writing; 0 for no row.
    pub revision: u64,
}

/// A budget as a manifest states it.
#[derive(Debug)]
pub struct StatedBudget {
    /// The organisation that paid.
    pub organisation: OrganisationId,
    /// The tokens that the manifest names.
    pub paid: TokenCount,
    /// The manifest's version.
    pub version: ManifestVersion,
}

/// The table's key of a budget.
pub fn budget_key(budget: &BudgetId) -> Box<str> {
    format!("{BUDGET_PREFIX}{budget}").into()
}

/// Reads a budget's row.
pub async fn read_budget(
    platform: &CtlPlatform,
    budget: &BudgetId,
) -> Result<StoredBudget, CtlError> {
    let read = platform.table.get(&budget_key(budget)).await?;
    let revision = read.mod_revision();
    let row = read.row.as_ref().map(read_row).transpose()?;
    Ok(StoredBudget { row, revision })
}

/// Looks a budget up in the manifest in force. Nothing but its organisation
/// tells its page, so every page is read.
pub async fn find_stated(
    platform: &CtlPlatform,
    budget: &BudgetId,
) -> Result<StatedBudget, CtlError> {
    let current = platform.current().await?;
    let view = platform.store.load(&FleetView::empty(), &current).await?;
    let owner = view
        .budget_owner(budget)
        .ok_or_else(|| CtlError::NotFound {
            kind: "budget",
            name: budget.as_str().into(),
            hint: "; see `budget list`".into(),
        })?;
    let entry = owner.budget(budget);
    Ok(StatedBudget {
        organisation: owner.id.clone(),
        paid: entry.map_or(TokenCount::ZERO, |entry| entry.paid),
        version: current.version,
    })
}

/// Reads one organisation of the manifest in force, or all of them.
pub async fn read_organisations(
    platform: &CtlPlatform,
    organisation: Option<&OrganisationId>,
) -> Result<Vec<OrganisationEntry>, CtlError> {
    let Some(organisation) = organisation else {
        let current = platform.current().await?;
        let view = platform.store.load(&FleetView::empty(), &current).await?;
        return Ok(view.to_manifest().organisations.into());
    };
    let root = platform.current_root().await?;
    let entry = platform
        .store
        .read_organisation(&root, organisation)
        .await?;
    let entry = entry.ok_or_else(|| CtlError::NotFound {
        kind: "organisation",
        name: organisation.as_str().into(),
        hint: "".into(),
    })?;
    Ok(vec![entry])
}
