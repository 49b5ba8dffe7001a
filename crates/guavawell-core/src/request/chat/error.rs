//! Errors in the body of a chat request.

use thiserror::Error;

/// An error in the body of a chat request.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChatError {
    /// The body is larger than the limit.
    #[error("the body has {bytes} bytes, more than {limit}")]
    TooLarge {
        /// The size of the body.
        bytes: usize,
        /// The limit.
        limit: usize,
    },
    /// The body is not a JSON object, or is truncated.
    #[error("the body is not a JSON object: {0}")]
    NotJson(Box<str>),
    /// A field appears more than once. The router and the engine could use
    /// different values.
    #[error("`{0}` stands twice")]
    Duplicate(Box<str>),
    /// A field is missing.
    #[error("`{0}` is missing")]
    Missing(&'static str),
    /// A field has the wrong type.
    #[error("`{field}` is not {wanted}")]
    WrongType {
        /// The field.
        field: &'static str,
        /// The expected type.
        wanted: &'static str,
    },
    /// The model's name is not a valid id.
    #[error("`model`: {0}")]
    BadModel(Box<str>),
    /// There are no messages.
    #[error("`messages` is empty")]
    NoMessages,
    /// There are more messages than the limit.
    #[error("`messages` has {count} entries, more than {limit}")]
    TooManyMessages {
        /// The number of messages.
        count: usize,
        /// The limit.
        limit: usize,
    },
    /// A message is invalid.
    #[error("`messages[{place}]`: {detail}")]
    BadMessage {
        /// The index of the message, from 0.
        place: usize,
        /// What is wrong.
        detail: Box<str>,
    },
    /// The output limit is zero.
    #[error("`{0}` must be at least 1")]
    ZeroOutput(&'static str),
    /// The output limit is larger than the router's.
    #[error("`{field}` is {asked}, more than {limit}")]
    OutputTooLarge {
        /// The field.
        field: &'static str,
        /// The requested output limit.
        asked: u64,
        /// The router's limit.
        limit: u64,
    },
    /// Both names of the output limit are given and differ.
    #[error("`max_tokens` and `max_completion_tokens` differ; send one of them")]
    ConflictingOutputLimits,
    /// More than one answer is requested. Each would cost up to the output
    /// limit.
    #[error("`n` must be 1")]
    MultipleAnswers,
}

/// All errors in the body of a chat request.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", self.text())]
pub struct ChatErrors {
    /// The errors, in the order in which they were found; not empty.
    pub errors: Vec<ChatError>,
}

impl ChatErrors {
    /// Whether the body is too large.
    #[must_use]
    pub fn is_too_large(&self) -> bool {
        let is_too_large = |error: &ChatError| matches!(error, ChatError::TooLarge { .. });
        self.errors.iter().any(is_too_large)
    }

    fn text(&self) -> String {
        let texts: Vec<String> = self.errors.iter().map(ToString::to_string).collect();
        texts.join("; ")
    }
}

impl From<ChatError> for ChatErrors {
    fn from(error: ChatError) -> Self {
        Self {
            errors: vec![error],
        }
    }
}
