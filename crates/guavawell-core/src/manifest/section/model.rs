//! `[[model]]` and `[[model.adapter]]`

use crate::finding::PlacedValue;
use crate::finding::SourceText;
use crate::finding::TableReader;
use crate::id::ModelId;
use crate::id::TokenCount;
use crate::id::ZoneId;

/// The largest output limit of a model, in tokens.
const MAX_OUTPUT: u64 = 10_000_000;
/// The most replicas of a model in one zone.
const MAX_REPLICAS: u64 = 10_000;

/// One `[[model]]` section.
#[derive(Debug)]
pub struct ModelSection {
    /// The path of the section, as `model[3]`.
    pub path: Box<str>,
    /// The model.
    pub id: PlacedValue<ModelId>,
    /// Its version.
    pub version: Box<str>,
    /// The most tokens that one answer may have.
    pub max_output: TokenCount,
    /// How many backend servers of each zone should serve it.
    pub replicas_per_zone: u16,
    /// The zones that should serve it; none stated means all.
    pub zones: Vec<PlacedValue<ZoneId>>,
    /// Its adapters.
    pub adapters: Vec<AdapterSection>,
}

/// One `[[model.adapter]]` section.
#[derive(Debug)]
pub struct AdapterSection {
    /// The path of the section, as `model[3]`.
    pub path: Box<str>,
    /// The adapter.
    pub id: PlacedValue<ModelId>,
    /// Its version.
    pub version: Box<str>,
}

impl ModelSection {
    /// Reads the section.
    pub fn read(mut table: TableReader<'_, '_>, source: &mut SourceText<'_>) -> Option<Self> {
        let id = table.required("id", source);
        let version = read_version(&mut table, source);
        let max_output = table.required_integer("max_output", 1..=MAX_OUTPUT, source);
        let replicas = table.optional_integer("replicas_per_zone", 1..=MAX_REPLICAS, source);
        let zones = table.list("zones", source);
        let adapters = table
            .tables("adapter", source)
            .into_iter()
            .filter_map(|adapter| AdapterSection::read(adapter, source))
            .collect();
        let path = table.path();
        table.finish(source);
        Some(Self {
            path,
            id: id?,
            version,
            max_output: TokenCount::new(max_output.unwrap_or(1)),
            replicas_per_zone: replicas.and_then(|n| n.try_into().ok()).unwrap_or(1),
            zones,
            adapters,
        })
    }
}

impl AdapterSection {
    fn read(mut table: TableReader<'_, '_>, source: &mut SourceText<'_>) -> Option<Self> {
        let id = table.required("id", source);
        let version = read_version(&mut table, source);
        let path = table.path();
        table.finish(source);
        Some(Self {
            path,
            id: id?,
            version,
        })
    }
}

/// A version is written like an id.
fn read_version(table: &mut TableReader<'_, '_>, source: &mut SourceText<'_>) -> Box<str> {
    let version = table.required::<ModelId>("version", source);
    version.map_or_else(|| "".into(), |version| version.value.into())
}
