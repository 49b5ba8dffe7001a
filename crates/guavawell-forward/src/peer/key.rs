//! Authentication of messages between instances with the fleet's key.
//!
//! A message never contains the key, because the address that it is sent to may
//! meanwhile belong to an unrelated process. Instead its head ends with a proof, a
//! keyed hash over the request's nonce, the preceding head and the body. A response
//! is hashed with the nonce of its request, so that it is valid for no other one.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::http::HeadWriter;

/// Key derivation context, which separates these hashes from all other uses.
const CONTEXT: &str = "guavawell message between instances";
/// Header field of the proof, the last one in the head of every message.
const PROOF_FIELD: &str = "Proof";
/// Length of a proof in hexadecimal digits.
const PROOF_DIGITS: usize = 32;

/// The fleet's key, which only its instances can read from the platform's store.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetKey(u128);

impl FleetKey {
    /// Creates a random key.
    #[must_use]
    pub fn generate() -> Self {
        Self(fastrand::u128(1..))
    }

    /// The key in hexadecimal, as an operator sends it in a header field.
    #[must_use]
    pub fn to_hex(self) -> String {
        format!("{:032x}", self.0)
    }

    /// Finishes a message: the head, its proof and the body.
    #[must_use]
    pub fn seal(self, writer: HeadWriter, nonce: u64, body: &[u8]) -> Vec<u8> {
        let mut bytes = writer.unfinished();
        let proof = self.proof(nonce, &bytes, body);
        bytes.extend_from_slice(format!("{PROOF_FIELD}: {proof}\r\n\r\n").as_bytes());
        bytes.extend_from_slice(body);
        bytes
    }

    /// Whether a received message has a valid proof; `head` has its original bytes.
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
        // The length marks where the head ends and the body begins.
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
