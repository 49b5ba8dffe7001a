//! One router's part of a pass: the organisations whose claims it looks at.

use crate::id::ClaimGeneration;
use crate::id::OrganisationId;

/// The prefix of all claims.
pub const CLAIM_PREFIX: &str = "claim/";

/// The claims of some organisations, looked at once in a generation.
///
/// It lives in memory only: a router that starts anew looks again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrganisationSweep {
    generation: ClaimGeneration,
    prefixes: Vec<Box<str>>,
    after: Option<Box<str>>,
}

impl OrganisationSweep {
    /// A tour of `organisations` in `generation`.
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

    /// The generation that it is for.
    #[must_use]
    pub const fn generation(&self) -> ClaimGeneration {
        self.generation
    }

    /// The prefix to look at next, and the last key looked at there.
    #[must_use]
    pub fn next(&self) -> Option<(&str, Option<&str>)> {
        let prefix = self.prefixes.last()?;
        Some((prefix, self.after.as_deref()))
    }

    /// Takes note of a page; without a cursor the prefix is done.
    pub fn record_page(&mut self, cursor: Option<Box<str>>) {
        if cursor.is_none() {
            self.prefixes.pop();
        }
        self.after = cursor;
    }
}

/// Where a pass over all claims goes on behind `cursor`: organisations that
/// are looked at by a tour are stepped over.
#[must_use]
pub fn skip_covered(cursor: &str, is_covered: impl Fn(&OrganisationId) -> bool) -> Box<str> {
    let suffix = cursor.strip_prefix(CLAIM_PREFIX);
    let name = suffix.and_then(|rest| rest.split_once('/'));
    match name.map(|(name, _)| name.parse::<OrganisationId>()) {
        // No id holds such a character, so that it stands behind them all.
        Some(Ok(id)) if is_covered(&id) => format!("{CLAIM_PREFIX}{id}/\u{10ffff}").into(),
        _ => cursor.into(),
    }
}
