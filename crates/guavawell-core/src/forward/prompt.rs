//! What a caller states about a prompt: token counts and shared parts.

use std::str::FromStr;

use thiserror::Error;

use crate::id::TokenCount;

/// Maximum number of parts of a prompt; a longer list is malformed.
const MAX_PARTS: usize = 64;

/// Why a description of a prompt is malformed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PromptError {
    /// The token counts are not `INPUT,OUTPUT`.
    #[error("`{0}` is not a pair of prompt tokens and maximum output tokens, as in `1460,80`")]
    Usage(Box<str>),
    /// The parts are not a list of `ID:TOKENS`, or are too many.
    #[error("`{0}` is not a list of prompt parts, as in `5c1e07a2:800,91bd3f06:410`")]
    Parts(Box<str>),
}

/// Token counts of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenUsage {
    /// Number of prompt tokens; exact.
    pub input: TokenCount,
    /// Maximum number of generated tokens.
    pub output_limit: TokenCount,
}

impl TokenUsage {
    /// The most tokens that the request can consume.
    #[must_use]
    pub const fn worst_case(self) -> TokenCount {
        self.input.saturating_add(self.output_limit)
    }
}

impl FromStr for TokenUsage {
    type Err = PromptError;

    fn from_str(text: &str) -> Result<Self, PromptError> {
        let malformed = || PromptError::Usage(text.into());
        let (input, output) = text.split_once(',').ok_or_else(malformed)?;
        let count = |digits: &str| digits.trim().parse::<u64>().map_err(|_| malformed());
        Ok(Self {
            input: TokenCount::new(count(input)?),
            output_limit: TokenCount::new(count(output)?),
        })
    }
}

/// One part of a prompt, which several requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part, the same in all requests that share it.
    pub id: u64,
    /// Length of the part.
    pub tokens: TokenCount,
}

/// The parts of a prompt, in order. The last one is the request's own.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    parts: Vec<PromptPart>,
}

impl PromptShape {
    /// The part that determines the preferred server: the last shared one, or
    /// the request's own if there is no other.
    #[must_use]
    pub fn affinity(&self) -> Option<PromptPart> {
        let index = self.parts.len().saturating_sub(2);
        self.parts.get(index).copied()
    }

    /// All parts but the request's own.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        let shared = self.parts.len().saturating_sub(1);
        &self.parts[..shared]
    }

    /// Tokens of all parts but the request's own.
    #[must_use]
    pub fn shared_tokens(&self) -> TokenCount {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }
}

impl FromStr for PromptShape {
    type Err = PromptError;

    fn from_str(text: &str) -> Result<Self, PromptError> {
        let malformed = || PromptError::Parts(text.into());
        let part = |entry: &str| {
            let (id, tokens) = entry.trim().split_once(':')?;
            Some(PromptPart {
                id: u64::from_str_radix(id, 16).ok()?,
                tokens: TokenCount::new(tokens.parse().ok()?),
            })
        };
        let parts: Option<Vec<PromptPart>> = text.split(',').map(part).collect();
        let parts = parts.ok_or_else(malformed)?;
        if parts.len() > MAX_PARTS {
            return Err(malformed());
        }
        Ok(Self { parts })
    }
}
