//! `[[budget]]`

use crate::finding::PlacedValue;
use crate::finding::SourceText;
use crate::finding::TableReader;
use crate::id::BudgetId;
use crate::id::OrganisationId;
use crate::id::TokenCount;

/// The most tokens a budget may hold: the largest whole number that every JSON
/// reader keeps exact.
const MAX_PAID: u64 = (1 << 53) - 1;

/// One `[[budget]]` section.
#[derive(Debug)]
pub struct BudgetSection {
    /// The path of the section, as `budget[3]`.
    pub path: Box<str>,
    /// The budget.
    pub id: PlacedValue<BudgetId>,
    /// The organisation that paid for it.
    pub organisation: Option<PlacedValue<OrganisationId>>,
    /// The tokens paid for.
    pub paid: TokenCount,
}

impl BudgetSection {
    /// Reads the section.
    pub fn read(mut table: TableReader<'_, '_>, source: &mut SourceText<'_>) -> Option<Self> {
        let id = table.required("id", source);
        let organisation = table.required("organisation", source);
        let paid = table.required_integer("paid", 0..=MAX_PAID, source);
        let path = table.path();
        table.finish(source);
        Some(Self {
            path,
            id: id?,
            organisation,
            paid: TokenCount::new(paid.unwrap_or_default()),
        })
    }
}
