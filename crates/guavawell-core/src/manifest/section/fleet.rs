//! `[fleet]`

use crate::finding::PlacedValue;
use crate::finding::SourceText;
use crate::finding::TableReader;
use crate::id::ZoneId;

/// The most shards a fleet may have.
pub const MAX_SHARDS: u64 = 4096;

/// The `[fleet]` section.
#[derive(Debug)]
pub struct FleetSection {
    /// The number of shards.
    pub shards: u16,
    /// The zones, as stated.
    pub zones: Vec<PlacedValue<ZoneId>>,
    /// Where the section stands.
    pub offset: usize,
}

impl FleetSection {
    /// Stands in for a section that the file does not hold.
    pub fn missing() -> Self {
        Self {
            shards: 1,
            zones: Vec::new(),
            offset: 0,
        }
    }

    /// Reads the section.
    pub fn read(mut table: TableReader<'_, '_>, source: &mut SourceText<'_>) -> Self {
        let shards = table.required_integer("shards", 1..=MAX_SHARDS, source);
        let zones = table.list("zones", source);
        let offset = table.offset();
        table.finish(source);
        Self {
            shards: shards.and_then(|n| n.try_into().ok()).unwrap_or(1),
            zones,
            offset,
        }
    }
}
