//! Acceptance of a version: the base that an operator states, and whose write
//! took effect.

use thiserror::Error;

use super::VersionRow;
use crate::clock::ClockTime;
use crate::id::ManifestVersion;
use crate::manifest::ContentDigest;

/// A manifest that an operator puts on top of a base version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionProposal {
    /// The version that the operator knows and builds on; 0 for none.
    pub base: ManifestVersion,
    /// The digest of the root page.
    pub root: ContentDigest,
    /// Who applies it.
    pub who: Box<str>,
    /// When, by the operator's clock.
    pub when: ClockTime,
    /// A number drawn for this one application.
    pub nonce: u64,
}

/// Another version is in force than the operator's base.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", self.explain())]
pub struct VersionConflict {
    /// The base that the operator stated.
    pub stated: ManifestVersion,
    /// The row in force instead; `None` if no manifest was ever accepted.
    pub current: Option<VersionRow>,
}

/// What the history says of a write without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionWord {
    /// The operator's own write took effect.
    Accepted,
    /// Another operator's write came first.
    Conflict(Box<VersionConflict>),
    /// No write has taken effect yet; the same transaction may be sent again,
    /// because at most one of the two can compare successfully.
    Open,
}

impl VersionProposal {
    /// The row to write on top of `current`, the row in force.
    ///
    /// # Errors
    /// Returns [`VersionConflict`] if the base is not the version in force.
    pub fn on_top_of(&self, current: Option<&VersionRow>) -> Result<VersionRow, VersionConflict> {
        let version = current.map_or_else(ManifestVersion::default, |row| row.version);
        if version != self.base {
            return Err(VersionConflict {
                stated: self.base,
                current: current.cloned(),
            });
        }
        let mut row = VersionRow {
            version: self.base.next(),
            base: self.base,
            root: self.root,
            who: self.who.clone(),
            when: self.when,
            nonce: self.nonce,
            digest: self.root,
        };
        row.digest = row.content_digest();
        Ok(row)
    }
}

impl VersionRow {
    /// What the row of history under this row's version says of it.
    #[must_use]
    pub fn judge(&self, history: Option<&Self>) -> VersionWord {
        match history {
            None => VersionWord::Open,
            Some(found) if found.digest == self.digest => VersionWord::Accepted,
            Some(found) => VersionWord::Conflict(Box::new(VersionConflict {
                stated: self.base,
                current: Some(found.clone()),
            })),
        }
    }
}

impl VersionConflict {
    fn explain(&self) -> String {
        let stated = self.stated;
        let Some(current) = &self.current else {
            return format!(
                "base version {stated} was stated, but no manifest was accepted yet; \
                 apply with base version 0"
            );
        };
        let VersionRow {
            version, who, when, ..
        } = current;
        format!(
            "base version {stated} was stated, but version {version} is in force, \
             accepted by `{who}` at {when} ms; put the change on top of version {version} \
             and apply with base version {version}"
        )
    }
}
