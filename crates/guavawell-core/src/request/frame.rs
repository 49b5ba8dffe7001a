//! Checks a model engine's stream frame by frame.
//!
//! Each event carries `<attempt>:<sequence>` as its id, from 0 without gaps.
//! Whatever does not follow ends the attempt: a frame of another attempt, or
//! of this one out of order, must never reach the caller.

use serde::Deserialize;
use thiserror::Error;

use crate::id::AttemptId;
use crate::id::TokenCount;

/// The data of the event that ends a whole stream.
pub const END_MARKER: &str = "[DONE]";

/// What every chunk that carries a usage contains, with its quotes. Inside of
/// generated text the quotes are escaped, so that the text cannot feign it.
const USAGE_KEY: &str = "\"usage\"";

/// The tokens that the engine counted for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct StreamUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: TokenCount,
    /// Tokens generated.
    pub completion_tokens: TokenCount,
}

impl StreamUsage {
    /// Prompt and generated tokens together.
    #[must_use]
    pub const fn total(self) -> TokenCount {
        self.prompt_tokens.saturating_add(self.completion_tokens)
    }
}

/// What to do with a frame that follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameAction {
    /// Relay its data to the caller.
    Chunk,
    /// Relay its data; it carries the usage.
    Usage(StreamUsage),
    /// The stream is whole: settle this usage, then send the end marker.
    End(StreamUsage),
}

/// Why a frame ends its attempt.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The id is not `<attempt>:<sequence>`.
    #[error("frame id `{0}` is not `<attempt>:<sequence>`")]
    BadId(Box<str>),
    /// The frame belongs to another attempt.
    #[error("frame of attempt {found} on the stream of attempt {expected}")]
    OtherAttempt {
        /// The attempt of this stream.
        expected: AttemptId,
        /// The attempt that the frame names.
        found: AttemptId,
    },
    /// The frame came before its turn, or again.
    #[error("frame {found} where frame {expected} was due")]
    OutOfOrder {
        /// The sequence number that was due.
        expected: u64,
        /// The sequence number that came.
        found: u64,
    },
    /// A frame came behind the end marker.
    #[error("a frame behind the end marker")]
    AfterEnd,
    /// The end marker came without a usage before it.
    #[error("the end marker came before any usage")]
    NoUsage,
    /// A usage came twice.
    #[error("a second usage")]
    SecondUsage,
    /// The chunk with the usage cannot be read.
    #[error("the usage cannot be read: {0}")]
    BadUsage(Box<str>),
}

#[derive(Deserialize)]
struct UsageChunk {
    #[serde(default)]
    usage: Option<StreamUsage>,
}

/// The state of one attempt's stream at the router that relays it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FrameCheck {
    attempt: AttemptId,
    next_sequence: u64,
    usage: Option<StreamUsage>,
    ended: bool,
}

impl FrameCheck {
    /// A stream of `attempt` from its first frame on.
    #[must_use]
    pub const fn new(attempt: AttemptId) -> Self {
        Self {
            attempt,
            next_sequence: 0,
            usage: None,
            ended: false,
        }
    }

    /// Checks the next event; after a fault the stream must not be read on.
    ///
    /// # Errors
    ///
    /// A [`FrameError`] for whatever does not follow.
    pub fn accept(&mut self, id: &str, data: &str) -> Result<FrameAction, FrameError> {
        if self.ended {
            return Err(FrameError::AfterEnd);
        }
        self.check_id(id)?;
        if data == END_MARKER {
            let usage = self.usage.ok_or(FrameError::NoUsage)?;
            self.ended = true;
            return Ok(FrameAction::End(usage));
        }
        let action = self.chunk_action(data)?;
        self.next_sequence += 1;
        Ok(action)
    }

    fn check_id(&self, id: &str) -> Result<(), FrameError> {
        let (found, sequence) = parse_id(id).ok_or_else(|| FrameError::BadId(id.into()))?;
        if found != self.attempt {
            return Err(FrameError::OtherAttempt {
                expected: self.attempt,
                found,
            });
        }
        if sequence != self.next_sequence {
            return Err(FrameError::OutOfOrder {
                expected: self.next_sequence,
                found: sequence,
            });
        }
        Ok(())
    }

    fn chunk_action(&mut self, data: &str) -> Result<FrameAction, FrameError> {
        if !data.contains(USAGE_KEY) {
            return Ok(FrameAction::Chunk);
        }
        let chunk: UsageChunk = serde_json::from_str(data)
            .map_err(|error| FrameError::BadUsage(error.to_string().into()))?;
        let Some(usage) = chunk.usage else {
            return Ok(FrameAction::Chunk);
        };
        if self.usage.replace(usage).is_some() {
            return Err(FrameError::SecondUsage);
        }
        Ok(FrameAction::Usage(usage))
    }

    /// The attempt whose stream this is.
    #[must_use]
    pub const fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// Whether the end marker came, so that the answer is whole.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.ended
    }

    /// Frames accepted so far, the end marker not counted.
    #[must_use]
    pub const fn accepted(&self) -> u64 {
        self.next_sequence
    }

    /// The `Last-Event-ID` that resumes the stream behind the last accepted
    /// frame; `None` to start at the first.
    #[must_use]
    pub fn last_event_id(&self) -> Option<Box<str>> {
        let last = self.next_sequence.checked_sub(1)?;
        Some(format!("{}:{last}", self.attempt).into())
    }
}

/// The parts of a frame's id. Only the form that engines are asked for is
/// taken: 32 hex digits, a colon and a plain number.
fn parse_id(id: &str) -> Option<(AttemptId, u64)> {
    let (attempt, sequence) = id.split_once(':')?;
    let is_hex = attempt.len() == 32 && attempt.bytes().all(|byte| byte.is_ascii_hexdigit());
    let is_decimal = !sequence.is_empty() && sequence.bytes().all(|byte| byte.is_ascii_digit());
    if !is_hex || !is_decimal {
        return None;
    }
    Some((attempt.parse().ok()?, sequence.parse().ok()?))
}
