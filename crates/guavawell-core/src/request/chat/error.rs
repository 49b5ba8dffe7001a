//! What can be wrong with a chat request's body.

use thiserror::Error;

/// One thing wrong with a chat request's body.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChatError {
    /// The body is larger than the limit.
    #[error("the body has {bytes} bytes, more than {limit}")]
    TooLarge {
        /// Its size.
        bytes: usize,
        /// The limit.
        limit: usize,
    },
    /// The body is not a JSON object, or is cut off.
    #[error("the body is not a JSON object: {0}")]
    NotJson(Box<str>),
    /// A field stands twice, so that two readers may read two requests.
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
        /// What it should be.
        wanted: &'static str,
    },
    /// The model's name is not an id.
    #[error("`model`: {0}")]
    BadModel(Box<str>),
    /// There are no messages.
    #[error("`messages` is empty")]
    NoMessages,
    /// There are more messages than the limit.
    #[error("`messages` has {count} entries, more than {limit}")]
    TooManyMessages {
        /// How many there are.
        count: usize,
        /// The limit.
        limit: usize,
    },
    /// A message is not as the interface asks.
    #[error("`messages[{place}]`: {detail}")]
    BadMessage {
        /// Its place, from 0.
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
        /// The output limit asked for.
        asked: u64,
        /// The router's limit.
        limit: u64,
    },
    /// Both names of the output limit are given and differ.
    #[error("`max_tokens` and `max_completion_tokens` differ; send one of them")]
    ConflictingOutputLimits,
    /// More than one answer is asked for; each would have to be paid for.
    #[error("`n` must be 1")]
    MultipleAnswers,
}

/// Everything wrong with a chat request's body.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", self.text())]
pub struct ChatErrors {
    /// The faults, in the order in which they were found; not empty.
    pub errors: Vec<ChatError>,
}

impl ChatErrors {
    /// Whether the body's size is what is wrong.
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
