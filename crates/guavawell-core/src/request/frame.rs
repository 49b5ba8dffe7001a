//! Validates the event stream of a model engine.
//!
//! Each event, here called a frame, has the id `<attempt>:<sequence>`. Sequence
//! numbers start at 0 and have no gaps. Any other frame ends the attempt, so
//! that the caller never receives a frame of another attempt or a frame out of
//! order.

use serde::Deserialize;
use thiserror::Error;

use crate::id::AttemptId;
use crate::id::TokenCount;

/// The data of the event that ends a complete stream.
pub const END_MARKER: &str = "[DONE]";

/// Part of every chunk that reports usage. Generated text cannot contain it,
/// because quotes in the text are escaped.
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

/// What to do with a valid frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameAction {
    /// Relay its data to the caller.
    Chunk,
    /// Relay its data, which reports the usage.
    Usage(StreamUsage),
    /// The stream is complete: charge this usage, then send the end marker.
    End(StreamUsage),
}

/// Why a frame is invalid.
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
    /// The frame does not have the next sequence number.
    #[error("frame {found} where frame {expected} was due")]
    OutOfOrder {
        /// The next sequence number.
        expected: u64,
        /// The sequence number of the frame.
        found: u64,
    },
    /// A frame followed the end marker.
    #[error("a frame behind the end marker")]
    AfterEnd,
    /// No usage was reported before the end marker.
    #[error("the end marker came before any usage")]
    NoUsage,
    /// Usage was reported twice.
    #[error("a second usage")]
    SecondUsage,
    /// The chunk that reports the usage cannot be parsed.
    #[error("the usage cannot be read: {0}")]
    BadUsage(Box<str>),
}

#[derive(Deserialize)]
struct UsageChunk {
    #[serde(default)]
    usage: Option<StreamUsage>,
}

/// Validates the stream of one attempt at the router that relays it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FrameCheck {
    attempt: AttemptId,
    next_sequence: u64,
    usage: Option<StreamUsage>,
    ended: bool,
}

impl FrameCheck {
    /// A check of the stream of `attempt` from its first frame on.
    #[must_use]
    pub const fn new(attempt: AttemptId) -> Self {
        Self {
            attempt,
            next_sequence: 0,
            usage: None,
            ended: false,
        }
    }

    /// Checks the next event. After an error, no more events may be accepted.
    ///
    /// # Errors
    ///
    /// Fails if the frame is not the next one of the attempt, or if its usage
    /// is missing, repeated or malformed.
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

    /// Whether the end marker was received, so that the answer is complete.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.ended
    }

    /// The number of frames accepted so far, without the end marker.
    #[must_use]
    pub const fn accepted(&self) -> u64 {
        self.next_sequence
    }

    /// The `Last-Event-ID` that resumes the stream after the last accepted
    /// frame; `None` if no frame was accepted.
    #[must_use]
    pub fn last_event_id(&self) -> Option<Box<str>> {
        let last = self.next_sequence.checked_sub(1)?;
        Some(format!("{}:{last}", self.attempt).into())
    }
}

/// Splits a frame id into attempt and sequence number. Accepts only the exact
/// format: 32 hex digits, a colon and decimal digits.
fn parse_id(id: &str) -> Option<(AttemptId, u64)> {
    let (attempt, sequence) = id.split_once(':')?;
    let is_hex = attempt.len() == 32 && attempt.bytes().all(|byte| byte.is_ascii_hexdigit());
    let is_decimal = !sequence.is_empty() && sequence.bytes().all(|byte| byte.is_ascii_digit());
    if !is_hex || !is_decimal {
        return None;
    }
    Some((attempt.parse().ok()?, sequence.parse().ok()?))
}
