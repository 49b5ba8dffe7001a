//! The key by which instances know each other, and the proof that a message
//! bears of it.
//!
//! A message never shows the key: an address may by now belong to a process of
//! somebody else. Its head ends with a proof over all that comes before, a number
//! that the asker drew for the question, and the body; an answer's proof is over
//! the question's number, so that it answers no other one.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::http::HeadWriter;

/// Context of the hash, so that it equals no other hash of the same bytes.
const CONTEXT: &str = "guavawell message between instances";
/// Field that ends the head of every message.
const PROOF_FIELD: &str = "Proof";
/// Hexadecimal digits of a proof.
const PROOF_DIGITS: usize = 32;

/// The fleet's key. Only the fleet's instances can read it: it lies in the
/// platform's store.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetKey(u128);

impl FleetKey {
    /// A new key.
    #[must_use]
    pub fn draw() -> Self {
        Self(fastrand::u128(1..))
    }

    /// The key as a header field's value, by which an operator proves that they
    /// can read it.
    #[must_use]
    pub fn text(self) -> String {
        format!("{:032x}", self.0)
    }

    /// The bytes of a message with its proof.
    #[must_use]
    pub fn seal(self, writer: HeadWriter, nonce: u64, body: &[u8]) -> Vec<u8> {
        let mut bytes = writer.unfinished();
        let proof = self.proof(nonce, &bytes, body);
        bytes.extend_from_slice(format!("{PROOF_FIELD}: {proof}\r\n\r\n").as_bytes());
        bytes.extend_from_slice(body);
        bytes
    }

    /// Whether a message, with its head as it was received, bears the proof.
    #[must_use]
    pub fn verify(self, head: &[u8], nonce: u64, body: &[u8]) -> bool {
        let length = PROOF_FIELD.len() + ": \r\n\r\n".len() + PROOF_DIGITS;
        let Some((before, received)) = head.split_at_checked(head.len().saturating_sub(length))
        else {
            return false;
        };
        let proof = self.proof(nonce, before, body);
        received == format!("{PROOF_FIELD}: {proof}\r\n\r\n").as_bytes()
    }

    fn proof(self, nonce: u64, head: &[u8], body: &[u8]) -> String {
        let key = blake3::derive_key(CONTEXT, &self.0.to_le_bytes());
        let mut hasher = blake3::Hasher::new_keyed(&key);
        hasher.update(&nonce.to_le_bytes());
        // Lengths keep the parts apart.
        hasher.update(&head.len().to_le_bytes());
        hasher.update(head);
        hasher.update(body);
        let digits = hasher.finalize().to_hex();
        digits[..PROOF_DIGITS].to_string()
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("FleetKey")
    }
}
