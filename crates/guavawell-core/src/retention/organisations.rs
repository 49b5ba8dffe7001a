//! Sweeps the claims of the organisations that are assigned to one router.

use crate::id::ClaimGeneration;
use crate::id::OrganisationId;

/// Key prefix of all claims.
pub const CLAIM_PREFIX: &str = "claim/";

/// Scans the claims of some organisations once per generation.
///
/// Progress is kept in memory only, so a router that restarts scans again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrganisationSweep {
    generation: ClaimGeneration,
    prefixes: Vec<Box<str>>,
    after: Option<Box<str>>,
}

impl OrganisationSweep {
    /// Creates a sweep over `organisations` for `generation`.
    pub fn new(
        generation: ClaimGeneration,
        organisations: impl IntoIterator<Item = OrganisationId>,
    ) -> Self {
        let prefix = |organisation| format!("{CLAIM_PREFIX}{organisation}/").into();
        let mut prefixes: Vec<Box<str>> = organisations.into_iter().map(prefix).collect();
        prefixes.reverse();
        Self {
            generation,
            prefixes,
            after: None,
        }
    }

    /// The generation of this sweep.
    #[must_use]
    pub const fn generation(&self) -> ClaimGeneration {
        self.generation
    }

    /// The prefix to scan next, and the last key already scanned under it;
    /// `None` once all organisations are done.
    #[must_use]
    pub fn next(&self) -> Option<(&str, Option<&str>)> {
        let prefix = self.prefixes.last()?;
        Some((prefix, self.after.as_deref()))
    }

    /// Records a scanned page; without a cursor the prefix is done.
    pub fn record_page(&mut self, cursor: Option<Box<str>>) {
        if cursor.is_none() {
            self.prefixes.pop();
        }
        self.after = cursor;
    }
}

/// Returns the key after which a pass over all claims continues from `cursor`.
/// The rest of an organisation that `is_covered` by a router's own sweep is
/// skipped.
#[must_use]
pub fn skip_covered(cursor: &str, is_covered: impl Fn(&OrganisationId) -> bool) -> Box<str> {
    let suffix = cursor.strip_prefix(CLAIM_PREFIX);
    let name = suffix.and_then(|rest| rest.split_once('/'));
    match name.map(|(name, _)| name.parse::<OrganisationId>()) {
        // The highest character occurs in no request id, so this key sorts after
        // all claims of the organisation.
        Some(Ok(id)) if is_covered(&id) => format!("{CLAIM_PREFIX}{id}/\u{10ffff}").into(),
        _ => cursor.into(),
    }
}
