//! Search for the changes that a store still keeps.
//!
//! A store drops the oldest changes after a time that it does not tell, and a
//! query that starts before them fails. The search asks for all changes after a
//! revision, and halves the distance to the oldest kept change while they are
//! gone.

/// Most queries of one search.
const MAX_QUERIES: u32 = 16;

/// A search for the changes of a table after a revision.
#[derive(Clone, Copy, Debug)]
pub struct HistorySearch {
    /// Revision after which changes are wanted.
    from: u64,
    /// Changes after this revision are known.
    known_after: u64,
    /// The newest revision after which some changes are gone.
    gone_after: Option<u64>,
    /// Number of queries answered so far.
    queries: u32,
}

impl HistorySearch {
    /// Starts a search for the changes after `from`; those after `known_after`
    /// are known.
    #[must_use]
    pub const fn new(from: u64, known_after: u64) -> Self {
        Self {
            from,
            known_after,
            gone_after: None,
            queries: 0,
        }
    }

    /// The revision after which to query changes next; `None` if the search is
    /// over.
    #[must_use]
    pub fn next_query(&self) -> Option<u64> {
        let next = match self.gone_after {
            None => self.from,
            Some(gone) => u64::midpoint(gone, self.known_after),
        };
        let is_new = next < self.known_after && self.gone_after != Some(next);
        (is_new && self.queries < MAX_QUERIES).then_some(next)
    }

    /// Records that the store returned the changes after `revision`.
    pub const fn found(&mut self, revision: u64) {
        self.queries += 1;
        self.known_after = revision;
    }

    /// Records that the store no longer keeps all changes after `revision`.
    pub const fn gone(&mut self, revision: u64) {
        self.queries += 1;
        self.gone_after = Some(revision);
    }

    /// The revision after which all changes are known.
    #[must_use]
    pub const fn known_after(&self) -> u64 {
        self.known_after
    }
}
