//! Request fingerprints: hashes of the organisation, host, path and body.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::id::OrganisationId;

/// Key derivation context, so that the hash differs from other hashes of the
/// same bytes.
const CONTEXT: &str = "guavawell request fingerprint";
/// The same for parts of prompts.
const PART_CONTEXT: &str = "guavawell prompt part";
/// Hexadecimal digits of a fingerprint in text form.
const DIGITS: usize = 32;

/// The text is not a fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error(
    "`{0}` is not a fingerprint; expected {DIGITS} hexadecimal digits, \
     for example `00f1e2d3c4b5a69788796a5b4c3d2e1f`"
)]
pub struct FingerprintError(Box<str>);

/// Identifies a request by a hash of its organisation, host, path and body.
///
/// The hash reveals nothing about these. Equal requests of two organisations
/// have different fingerprints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint(u128);

impl RequestFingerprint {
    /// The fingerprint of a request.
    #[must_use]
    pub fn of(organisation: Option<&OrganisationId>, host: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
        let organisation = organisation.map_or("", OrganisationId::as_str);
        for part in [organisation.as_bytes(), host.as_bytes(), path.as_bytes()] {
            // The length prefix keeps different splits into parts distinct.
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        hasher.update(body);
        Self::from_hasher(&hasher)
    }

    /// The fingerprint of a part of an organisation's prompts. Equal parts of two
    /// organisations have different ones, so that neither can discredit the other's.
    #[must_use]
    pub fn of_part(organisation: Option<&OrganisationId>, part: u64) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(PART_CONTEXT);
        hasher.update(&part.to_le_bytes());
        hasher.update(organisation.map_or("", OrganisationId::as_str).as_bytes());
        Self::from_hasher(&hasher)
    }

    fn from_hasher(hasher: &blake3::Hasher) -> Self {
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        Self(u128::from_le_bytes(bytes))
    }

    /// Wraps a plain number.
    #[must_use]
    pub const fn new(value: u128) -> Self {
        Self(value)
    }

    /// A 64-bit hash made of half of the fingerprint.
    #[must_use]
    pub fn short(self) -> u64 {
        let bytes = self.0.to_le_bytes();
        let (half, _) = bytes.split_at(bytes.len() / 2);
        half.iter()
            .fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
    }
}

/// A short hash of an organisation. Two organisations with equal hashes share
/// the limit on entries per organisation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct OrganisationTag(u32);

impl OrganisationTag {
    /// The tag of an organisation, or of all requests without one.
    #[must_use]
    pub fn of(organisation: Option<&OrganisationId>) -> Self {
        let name = organisation.map_or("", OrganisationId::as_str);
        let hash = blake3::hash(name.as_bytes());
        let [first, second, third, fourth, ..] = *hash.as_bytes();
        Self(u32::from_le_bytes([first, second, third, fourth]))
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:0DIGITS$x}", self.0)
    }
}

impl FromStr for RequestFingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, FingerprintError> {
        let digits = text.len() == DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let value = u128::from_str_radix(text, 16).ok().filter(|_| digits);
        value.map(Self).ok_or_else(|| FingerprintError(text.into()))
    }
}
