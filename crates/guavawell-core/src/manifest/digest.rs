//! Sha-256 digests: of contents, and of bearer keys.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use thiserror::Error;

/// Length of a sha-256 digest, in bytes.
pub const DIGEST_BYTES: usize = 32;

/// Why a text is not a digest.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a sha-256 digest; state its 64 hexadecimal digits")]
pub struct DigestError(Box<str>);

fn sha256(bytes: &[u8]) -> [u8; DIGEST_BYTES] {
    Sha256::digest(bytes).into()
}

fn parse_hex(text: &str) -> Result<[u8; DIGEST_BYTES], DigestError> {
    let error = || DigestError(text.into());
    if text.len() != 2 * DIGEST_BYTES || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(error());
    }
    let mut bytes = [0; DIGEST_BYTES];
    for (index, byte) in bytes.iter_mut().enumerate() {
        let digits = &text[2 * index..2 * index + 2];
        *byte = u8::from_str_radix(digits, 16).map_err(|_| error())?;
    }
    Ok(bytes)
}

macro_rules! digest_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "Box<str>", into = "Box<str>")]
        pub struct $name([u8; DIGEST_BYTES]);

        impl $name {
            /// The digest of `bytes`.
            #[must_use]
            pub fn of(bytes: &[u8]) -> Self {
                Self(sha256(bytes))
            }

            /// Wraps the bytes of a digest.
            #[must_use]
            pub const fn from_bytes(bytes: [u8; DIGEST_BYTES]) -> Self {
                Self(bytes)
            }

            /// The bytes of the digest.
            #[must_use]
            pub const fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
            }
        }

        impl FromStr for $name {
            type Err = DigestError;

            fn from_str(text: &str) -> Result<Self, DigestError> {
                parse_hex(text).map(Self)
            }
        }

        impl TryFrom<Box<str>> for $name {
            type Error = DigestError;

            fn try_from(text: Box<str>) -> Result<Self, DigestError> {
                text.parse()
            }
        }

        impl From<$name> for Box<str> {
            fn from(digest: $name) -> Self {
                digest.to_string().into()
            }
        }
    };
}

digest_type!(
    /// The digest of a page or of another object; the object is stored under it.
    ContentDigest
);
digest_type!(
    /// The digest of an organisation's bearer key. The key itself is never kept.
    KeyHash
);
