//! The answer to a prompt: a function of the prompt and the limit alone.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Bytes of the prompt that make up its prefix.
const PREFIX_BYTES: usize = 64;
/// Bytes of the prompt counted as one token.
const TOKEN_BYTES: usize = 4;
/// Limit of an answer if the caller gives none.
pub(super) const DEFAULT_MAX_TOKENS: u64 = 16;

/// One message of a chat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    #[serde(default)]
    pub role: Box<str>,
    /// The text.
    #[serde(default)]
    pub content: Box<str>,
}

/// The whole answer that an engine gives to a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpectedAnswer {
    /// All tokens, one after the other.
    pub text: Box<str>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer: between half of the limit and the limit.
    pub completion_tokens: u64,
}

/// The answer that every engine gives to `messages` under the limit `max_tokens`.
///
/// It depends on the contents and roles of the messages and on the limit only,
/// so that an answer received through the fleet can be checked.
#[must_use]
pub fn expected_answer(messages: &[ChatMessage], max_tokens: u64) -> ExpectedAnswer {
    let seed = prompt_seed(messages);
    let completion_tokens = answer_length(seed, max_tokens);
    let mut text = Vec::new();
    for index in 0..completion_tokens {
        text.extend_from_slice(&token_text(seed, index));
    }
    ExpectedAnswer {
        text: String::from_utf8_lossy(&text).into(),
        prompt_tokens: count_prompt(messages),
        completion_tokens,
    }
}

/// The number from which all tokens of an answer are derived.
pub(super) fn prompt_seed(messages: &[ChatMessage]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for message in messages {
        hasher.update(message.role.as_bytes());
        hasher.update(&[0]);
        hasher.update(message.content.as_bytes());
        hasher.update(&[0]);
    }
    first_number(hasher.finalize().as_bytes())
}

/// Tokens of an answer under a limit; a limit of zero gives none.
pub(super) fn answer_length(seed: u64, max_tokens: u64) -> u64 {
    let least = max_tokens.div_ceil(2);
    least + seed % (max_tokens - least + 1)
}

/// Tokens of a prompt: one for each four bytes begun, at least one.
pub(super) fn count_prompt(messages: &[ChatMessage]) -> u64 {
    let bytes: usize = messages.iter().map(|message| message.content.len()).sum();
    let tokens = bytes.div_ceil(TOKEN_BYTES).max(1);
    u64::try_from(tokens).unwrap_or(u64::MAX)
}

/// The first 64 bits of the hash over the first bytes of all contents.
pub(super) fn prompt_prefix(messages: &[ChatMessage]) -> u64 {
    let contents = messages.iter().flat_map(|message| message.content.bytes());
    let head: Vec<u8> = contents.take(PREFIX_BYTES).collect();
    first_number(&Sha256::digest(head))
}

/// One token: six hexadecimal digits and a space.
pub(super) fn token_text(seed: u64, index: u64) -> [u8; 7] {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let mut number = scramble(seed.wrapping_add(index));
    let mut text = [b' '; 7];
    for digit in &mut text[..6] {
        *digit = DIGITS[usize::from(number.to_le_bytes()[0] & 15)];
        number >>= 4;
    }
    text
}

/// The finalizer of `SplitMix64`: neighbouring numbers give unlike ones.
fn scramble(number: u64) -> u64 {
    let mut mixed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn first_number(hash: &[u8]) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash[..8]);
    u64::from_be_bytes(bytes)
}
