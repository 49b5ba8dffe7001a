//! What can be wrong with a request's head.

use thiserror::Error;

use crate::id::IdError;
use crate::request::identity::IdentityError;

/// One thing wrong with a request's head.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HeaderError {
    /// The request id.
    #[error(transparent)]
    Identity(#[from] IdentityError),
    /// The budget's name.
    #[error("X-Guavawell-Budget: {0}")]
    Budget(IdError),
    /// The idempotence flag.
    #[error("X-Guavawell-Idempotent: `{0}` is neither `true` nor `false`")]
    Idempotent(Box<str>),
    /// The deadline.
    #[error("X-Guavawell-Deadline-Ms: `{0}` is not a number of milliseconds")]
    Deadline(Box<str>),
    /// The generation of the id's first use.
    #[error("X-Guavawell-Generation: `{0}` is not a generation that an answer named")]
    Generation(Box<str>),
    /// The priority.
    #[error("X-Guavawell-Priority: `{0}` is not one of 0 to 9")]
    Priority(Box<str>),
}

/// Everything wrong with a request's head.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", self.text())]
pub struct HeaderErrors {
    /// The faults, in the order of [`super::HeadFields`]; not empty.
    pub errors: Vec<HeaderError>,
}

impl HeaderErrors {
    fn text(&self) -> String {
        let texts: Vec<String> = self.errors.iter().map(ToString::to_string).collect();
        texts.join("; ")
    }
}
