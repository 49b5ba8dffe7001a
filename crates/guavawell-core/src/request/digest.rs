//! Digests by which requests that were sent under one id are compared.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// The first 64 bits of the SHA-256 digest of a request's target and body.
///
/// If a caller sends another request under an id that it used before, the
/// digests differ and the request is refused. The caller would get the answer
/// to the first request otherwise.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestDigest(u64);

impl RequestDigest {
    /// The digest of a request to `target` with this body.
    #[must_use]
    pub fn of(target: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        hash.update(target.len().to_be_bytes());
        hash.update(target.as_bytes());
        hash.update(body);
        let digest = hash.finalize();
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&digest[..8]);
        Self(u64::from_be_bytes(prefix))
    }

    /// The digest with this value.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The value of the digest.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for RequestDigest {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
