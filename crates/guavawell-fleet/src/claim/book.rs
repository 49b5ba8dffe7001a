//! The generation that this router thinks in force.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use guavawell_core::id::ClaimGeneration;
use guavawell_core::retention::GENERATION_KEY;
use guavawell_core::retention::GenerationRow;

use crate::platform::Table;
use crate::platform::TableCompare;
use crate::platform::TableRow;

/// A generation with the revision of its row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct KnownGeneration {
    pub generation: ClaimGeneration,
    /// 0 for an absent row.
    pub revision: u64,
}

impl KnownGeneration {
    /// What a read of the row found; `None` if it cannot be read.
    pub fn of(row: Option<&TableRow>) -> Option<Self> {
        let Some(row) = row else {
            return Some(Self::default());
        };
        match serde_json::from_slice::<GenerationRow>(&row.value) {
            Ok(value) => Some(Self {
                generation: value.generation,
                revision: row.mod_revision,
            }),
            Err(error) => {
                log::error!("row `{}` is no generation: {error}", row.key);
                None
            }
        }
    }

    /// The condition that it is in force.
    pub fn compare(&self) -> TableCompare {
        TableCompare::unchanged(GENERATION_KEY, self.revision)
    }
}

/// The latest generation heard of; clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct GenerationBook {
    known: Arc<ArcSwap<KnownGeneration>>,
    /// Whether the table named one, if only by the row's absence.
    is_heard: Arc<AtomicBool>,
}

impl GenerationBook {
    pub fn known(&self) -> KnownGeneration {
        **self.known.load()
    }

    /// The generation, once the table has named one. A caller that kept the
    /// first guess of a new router would be refused as too old.
    pub fn named(&self) -> Option<ClaimGeneration> {
        let is_heard = self.is_heard.load(Ordering::Acquire);
        is_heard.then(|| self.known().generation)
    }

    /// Takes a generation heard of; an older one changes nothing.
    pub fn hear(&self, heard: KnownGeneration) {
        self.known.rcu(|known| {
            if heard.revision > known.revision {
                Arc::new(heard)
            } else {
                Arc::clone(known)
            }
        });
        self.is_heard.store(true, Ordering::Release);
    }

    /// Reads the row.
    pub async fn read(&self, table: &Table) {
        match table.get(GENERATION_KEY).await {
            Ok(read) => {
                if let Some(known) = KnownGeneration::of(read.row.as_ref()) {
                    self.hear(known);
                }
            }
            Err(error) => log::debug!("generation of claims: {error}"),
        }
    }
}
