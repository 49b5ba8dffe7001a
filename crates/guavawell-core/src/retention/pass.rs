//! One step of a pass over the rows of claims.

/// A row without its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRevision {
    /// The row's key.
    pub key: Box<str>,
    /// The revision of its last write.
    pub mod_revision: u64,
}

/// What a page gives rise to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PassStep {
    /// Rows to delete, each only if its revision is still the one seen.
    pub due: Vec<KeyRevision>,
    /// The last key looked at; the pass goes on behind it. `None`: it is over.
    pub cursor: Option<Box<str>>,
}

/// Picks the rows of a page that were last written before `due_before`.
#[must_use]
pub fn plan_page(page: Vec<KeyRevision>, more: bool, due_before: u64) -> PassStep {
    let last = page.last().filter(|_| more);
    let cursor = last.map(|row| row.key.clone());
    let is_due = |row: &KeyRevision| row.mod_revision < due_before;
    let due = page.into_iter().filter(is_due).collect();
    PassStep { due, cursor }
}
