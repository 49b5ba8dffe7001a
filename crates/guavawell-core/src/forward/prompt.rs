//! What a request tells of its prompt: token counts and shared parts.

use std::str::FromStr;

use thiserror::Error;

use crate::id::TokenCount;

/// Most parts that are kept of a prompt's description; more are malformed.
const MAX_PARTS: usize = 64;

/// Why a prompt's description cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PromptError {
    /// The token counts are not `INPUT,OUTPUT`.
    #[error("`{0}` does not tell prompt tokens and most output tokens, as in `1460,80`")]
    Usage(Box<str>),
    /// A part is not `ID:TOKENS`.
    #[error("`{0}` is not a list of prompt parts, as in `5c1e07a2:800,91bd3f06:410`")]
    Parts(Box<str>),
}

/// Prompt tokens, and the most output tokens, of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenUsage {
    /// Tokens of the prompt, exact.
    pub input: TokenCount,
    /// The most tokens that will be generated.
    pub output_limit: TokenCount,
}

impl TokenUsage {
    /// The most that the request can consume.
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

/// One part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// The part's id.
    pub id: u64,
    /// The part's length.
    pub tokens: TokenCount,
}

/// The parts of a prompt in order; the last one is the request's own.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    parts: Vec<PromptPart>,
}

impl PromptShape {
    /// The part by which requests that share a prompt are brought together:
    /// the last one that is not the request's own.
    #[must_use]
    pub fn affinity(&self) -> Option<PromptPart> {
        let index = self.parts.len().saturating_sub(2);
        self.parts.get(index).copied()
    }

    /// Tokens of all parts that other requests may share.
    #[must_use]
    pub fn shared_tokens(&self) -> TokenCount {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| part.tokens).sum()
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
