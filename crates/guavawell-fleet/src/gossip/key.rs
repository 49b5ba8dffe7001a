//! Authentication of datagrams with keys that the whole fleet shares.
//!
//! A sealed datagram is one version byte, the payload, and the first
//! [`CODE_BYTES`] bytes of BLAKE3's keyed hash over both. The payload is not
//! encrypted. A datagram that is replayed changes nothing: news is ordered by
//! incarnation, refutation and version, and older news is ignored.

use std::fmt;

use thiserror::Error;

/// Version of the datagrams' layout.
const LAYOUT_VERSION: u8 = 1;

/// Bytes of the authentication code.
const CODE_BYTES: usize = 16;

/// Separates these keys from other uses of the same text.
const KEY_CONTEXT: &str = "guavawell 2026 gossip datagram authentication";

/// One key that the fleet shares.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetKey([u8; blake3::KEY_LEN]);

/// The keys in use: the first seals, all open.
///
/// To replace a key, add the new one in second place everywhere, then swap
/// the two everywhere, then remove the old one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetKeys {
    first: FleetKey,
    others: Vec<FleetKey>,
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SealError {
    /// Too short, or of another layout version.
    #[error("not a sealed datagram of this version")]
    Layout,
    /// No key verifies it.
    #[error("no fleet key verifies the datagram")]
    Unverified,
}

impl FleetKey {
    /// Derives a key from a secret text of any length.
    #[must_use]
    pub fn from_text(text: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, text.as_bytes()))
    }

    fn code(&self, content: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, content)
    }

    /// Compares in constant time.
    fn verifies(&self, content: &[u8], code: &[u8; CODE_BYTES]) -> bool {
        let mut expected = *self.code(content).as_bytes();
        expected[CODE_BYTES..].fill(0);
        let mut given = [0; blake3::OUT_LEN];
        given[..CODE_BYTES].copy_from_slice(code);
        blake3::Hash::from_bytes(expected) == blake3::Hash::from_bytes(given)
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("FleetKey(..)")
    }
}

impl FleetKeys {
    /// Seals with `first` and opens with `first` and `others`.
    #[must_use]
    pub fn new(first: FleetKey, others: Vec<FleetKey>) -> Self {
        Self { first, others }
    }

    /// A datagram that carries `payload`.
    #[must_use]
    pub fn seal(&self, payload: &[u8]) -> Vec<u8> {
        let mut datagram = Vec::with_capacity(1 + payload.len() + CODE_BYTES);
        datagram.push(LAYOUT_VERSION);
        datagram.extend_from_slice(payload);
        let code = self.first.code(&datagram);
        datagram.extend_from_slice(&code.as_bytes()[..CODE_BYTES]);
        datagram
    }

    /// The payload of a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is no sealed one, or no key verifies it.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Result<&'a [u8], SealError> {
        let (content, code) = datagram
            .split_last_chunk::<CODE_BYTES>()
            .ok_or(SealError::Layout)?;
        let (version, payload) = content.split_first().ok_or(SealError::Layout)?;
        if *version != LAYOUT_VERSION {
            return Err(SealError::Layout);
        }
        let mut keys = std::iter::once(&self.first).chain(&self.others);
        if keys.any(|key| key.verifies(content, code)) {
            return Ok(payload);
        }
        Err(SealError::Unverified)
    }
}
