//! `[[service]]`

use crate::finding::PlacedValue;
use crate::finding::SourceText;
use crate::finding::TableReader;
use crate::id::BackendId;
use crate::id::ServiceId;
use crate::id::TokenCount;

/// The most tokens that one call may cost.
const MAX_COST: u64 = 1_000_000_000;

/// One `[[service]]` section.
#[derive(Debug)]
pub struct ServiceSection {
    /// The path of the section, as `service[3]`.
    pub path: Box<str>,
    /// The service.
    pub id: PlacedValue<ServiceId>,
    /// What one call costs.
    pub cost_tokens: TokenCount,
    /// Whether a call may be repeated unless the caller says otherwise.
    pub idempotent: bool,
    /// The backend servers that run it, as stated.
    pub backends: Vec<PlacedValue<BackendId>>,
}

impl ServiceSection {
    /// Reads the section.
    pub fn read(mut table: TableReader<'_, '_>, source: &mut SourceText<'_>) -> Option<Self> {
        let id = table.required("id", source);
        let cost = table.required_integer("cost_tokens", 0..=MAX_COST, source);
        let idempotent = table.boolean("idempotent", false, source);
        let backends = table.list("backends", source);
        let path = table.path();
        table.finish(source);
        Some(Self {
            path,
            id: id?,
            cost_tokens: TokenCount::new(cost.unwrap_or_default()),
            idempotent,
            backends,
        })
    }
}
