//! `[[organisation]]`

use crate::finding::PlacedValue;
use crate::finding::SourceText;
use crate::finding::TableReader;
use crate::id::BudgetId;
use crate::id::ModelId;
use crate::id::OrganisationId;
use crate::manifest::KeyHash;

/// The largest weight of an organisation.
const MAX_WEIGHT: u64 = 1_000_000;

/// One `[[organisation]]` section.
#[derive(Debug)]
pub struct OrganisationSection {
    /// The path of the section, as `organisation[3]`.
    pub path: Box<str>,
    /// The organisation.
    pub id: PlacedValue<OrganisationId>,
    /// The digest of its bearer key.
    pub key_hash: Option<PlacedValue<KeyHash>>,
    /// The budget drawn on when a request names none.
    pub default_budget: Option<PlacedValue<BudgetId>>,
    /// Its share under contention.
    pub weight: u32,
    /// The adapters it may use, as stated.
    pub adapters: Vec<PlacedValue<ModelId>>,
}

impl OrganisationSection {
    /// Reads the section.
    pub fn read(mut table: TableReader<'_, '_>, source: &mut SourceText<'_>) -> Option<Self> {
        let id = table.required("id", source);
        let key_hash = table.required("key_hash", source);
        let default_budget = table.required("default_budget", source);
        let weight = table.optional_integer("weight", 1..=MAX_WEIGHT, source);
        let adapters = table.list("adapters", source);
        let path = table.path();
        table.finish(source);
        Some(Self {
            path,
            id: id?,
            key_hash,
            default_budget,
            weight: weight.and_then(|n| n.try_into().ok()).unwrap_or(1),
            adapters,
        })
    }
}
