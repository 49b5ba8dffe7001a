//! The table's version row.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::clock::ClockTime;
use crate::id::ManifestVersion;
use crate::manifest::ContentDigest;

/// The table's key of the version in force.
pub const VERSION_KEY: &str = "version";

/// The table's key of a version's row of history.
#[must_use]
pub fn history_key(version: ManifestVersion) -> Box<str> {
    format!("{VERSION_KEY}/{version}").into()
}

/// Why bytes are not a version row.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum VersionRowError {
    /// The bytes do not read as a row.
    #[error("the version row cannot be read: {0}")]
    Unreadable(Box<str>),
    /// The row's digest is not that of its content.
    #[error("the row of version {0} does not match its own digest")]
    WrongDigest(ManifestVersion),
}

/// One accepted version, as the table holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRow {
    /// The version.
    pub version: ManifestVersion,
    /// The version that it was put on top of; 0 for none.
    pub base: ManifestVersion,
    /// The digest of the root page, which names the whole manifest.
    pub root: ContentDigest,
    /// Who applied it.
    pub who: Box<str>,
    /// When it was applied, by the operator's clock.
    pub when: ClockTime,
    /// A number drawn for this one application.
    pub nonce: u64,
    /// The digest of all fields above.
    pub digest: ContentDigest,
}

/// What a row's digest covers.
#[derive(Serialize)]
struct DigestedFields<'r> {
    version: ManifestVersion,
    base: ManifestVersion,
    root: ContentDigest,
    who: &'r str,
    when: ClockTime,
    nonce: u64,
}

impl VersionRow {
    /// The row as bytes.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // Strings and numbers always have a JSON form.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads a row.
    ///
    /// # Errors
    /// Returns [`VersionRowError`] if the bytes are no row, or not the row
    /// that was written.
    pub fn decode(bytes: &[u8]) -> Result<Self, VersionRowError> {
        let row: Self = serde_json::from_slice(bytes)
            .map_err(|error| VersionRowError::Unreadable(error.to_string().into()))?;
        if row.digest != row.content_digest() {
            return Err(VersionRowError::WrongDigest(row.version));
        }
        Ok(row)
    }

    pub(super) fn content_digest(&self) -> ContentDigest {
        let fields = DigestedFields {
            version: self.version,
            base: self.base,
            root: self.root,
            who: &self.who,
            when: self.when,
            nonce: self.nonce,
        };
        ContentDigest::of(&serde_json::to_vec(&fields).unwrap_or_default())
    }
}
