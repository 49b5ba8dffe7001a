//! The keys by which requests and operators find an organisation's page: the
//! digest of its bearer key, and the hash of each budget's id.

use super::index::PageChanges;
use super::index::PageIndex;
use crate::id::BudgetId;
use crate::manifest::KeyHash;
use crate::manifest::OrganisationEntry;
use crate::manifest::page::stable_hash;

/// Buckets of bearer keys, one for each first byte.
const KEY_BUCKETS: usize = 256;
/// Buckets of budgets, about 170 budgets each at full size.
const BUDGET_BUCKETS: usize = 4_096;
/// Leaves as many of a hash's first bits as number the buckets.
const BUDGET_SHIFT: u32 = u64::BITS - BUDGET_BUCKETS.ilog2();

/// Both indexes of a view.
#[derive(Clone, Debug)]
pub struct KeyIndex {
    keys: PageIndex<KeyHash>,
    budgets: PageIndex<u64>,
}

/// Changes of both indexes.
#[derive(Debug)]
pub struct KeyChanges {
    keys: PageChanges<KeyHash>,
    budgets: PageChanges<u64>,
}

impl KeyIndex {
    /// Indexes without keys.
    pub fn empty() -> Self {
        Self {
            keys: PageIndex::empty(KEY_BUCKETS, |hash| usize::from(hash.as_bytes()[0])),
            budgets: PageIndex::empty(BUDGET_BUCKETS, |hash| {
                usize::try_from(hash >> BUDGET_SHIFT).unwrap_or_default()
            }),
        }
    }

    /// The page of the organisation with this key.
    pub fn key_page(&self, hash: &KeyHash) -> Option<usize> {
        self.keys.pages(*hash).next()
    }

    /// The pages that may hold this budget; ids may share a hash.
    pub fn budget_pages(&self, budget: &BudgetId) -> impl Iterator<Item = usize> {
        self.budgets.pages(stable_hash(budget.as_str()))
    }

    /// The indexes after changes.
    pub fn changed(&self, changes: KeyChanges) -> Self {
        Self {
            keys: self.keys.changed(changes.keys),
            budgets: self.budgets.changed(changes.budgets),
        }
    }
}

impl KeyChanges {
    /// No changes.
    pub const fn new() -> Self {
        Self {
            keys: PageChanges::new(),
            budgets: PageChanges::new(),
        }
    }

    /// A page held `old` organisations and now holds `new` ones.
    pub fn replace(&mut self, page: usize, old: &[OrganisationEntry], new: &[OrganisationEntry]) {
        self.keys
            .remove(page, old.iter().map(|entry| entry.key_hash));
        self.keys.add(page, new.iter().map(|entry| entry.key_hash));
        self.budgets.remove(page, budget_hashes(old));
        self.budgets.add(page, budget_hashes(new));
    }
}

fn budget_hashes(entries: &[OrganisationEntry]) -> impl Iterator<Item = u64> {
    let budgets = entries.iter().flat_map(|entry| entry.budgets.iter());
    budgets.map(|budget| stable_hash(budget.id))
}
