//! Selects the rows of one page of claims that are to be deleted.

/// A row without its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRevision {
    /// The row's key.
    pub key: Box<str>,
    /// The revision of its last write.
    pub mod_revision: u64,
}

/// The result of scanning a page.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PassStep {
    /// Rows to delete, each only if its revision is unchanged.
    pub due: Vec<KeyRevision>,
    /// The last key scanned, after which the pass continues; `None` if the pass
    /// is complete.
    pub cursor: Option<Box<str>>,
}

/// Selects the rows of `page` that were last written before `due_before`.
/// `more` says whether further pages follow.
#[must_use]
pub fn plan_page(page: Vec<KeyRevision>, more: bool, due_before: u64) -> PassStep {
    let last = page.last().filter(|_| more);
    let cursor = last.map(|row| row.key.clone());
    let is_due = |row: &KeyRevision| row.mod_revision < due_before;
    let due = page.into_iter().filter(is_due).collect();
    PassStep { due, cursor }
}
