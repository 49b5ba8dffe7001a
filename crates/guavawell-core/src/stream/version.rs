//! Versions of the backend servers' software.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Longest version, in bytes.
pub const MAX_VERSION_BYTES: usize = 200;

/// The text is not a version.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("a version of {0} bytes is too long; at most {MAX_VERSION_BYTES} bytes are valid")]
pub struct VersionError(usize);

/// The version of a server's software, not of its model's weights.
///
/// Versions have no order. They are equal only if all their bytes are: case and
/// spaces count.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct SoftwareVersion(Box<str>);

impl SoftwareVersion {
    /// The version as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl TryFrom<Box<str>> for SoftwareVersion {
    type Error = VersionError;

    fn try_from(text: Box<str>) -> Result<Self, VersionError> {
        if text.len() > MAX_VERSION_BYTES {
            return Err(VersionError(text.len()));
        }
        Ok(Self(text))
    }
}

impl FromStr for SoftwareVersion {
    type Err = VersionError;

    fn from_str(text: &str) -> Result<Self, VersionError> {
        Box::<str>::from(text).try_into()
    }
}

impl From<SoftwareVersion> for Box<str> {
    fn from(version: SoftwareVersion) -> Self {
        version.0
    }
}
