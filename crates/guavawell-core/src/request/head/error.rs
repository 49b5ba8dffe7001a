//! Errors in the headers of a request.

use thiserror::Error;

use crate::id::IdError;
use crate::request::identity::IdentityError;

/// An error in a header of a request.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HeaderError {
    /// The request id is invalid.
    #[error(transparent)]
    Identity(#[from] IdentityError),
    /// The name of the budget is invalid.
    #[error("X-Guavawell-Budget: {0}")]
    Budget(IdError),
    /// The idempotence flag is neither `true` nor `false`.
    #[error("X-Guavawell-Idempotent: `{0}` is neither `true` nor `false`")]
    Idempotent(Box<str>),
    /// The deadline is not a number of milliseconds.
    #[error("X-Guavawell-Deadline-Ms: `{0}` is not a number of milliseconds")]
    Deadline(Box<str>),
    /// The generation in which the id was first used is not a number.
    #[error("X-Guavawell-Generation: `{0}` is not a generation that an answer named")]
    Generation(Box<str>),
    /// The priority is not a number from 0 to 9.
    #[error("X-Guavawell-Priority: `{0}` is not one of 0 to 9")]
    Priority(Box<str>),
}

/// All errors in the headers of a request.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", self.text())]
pub struct HeaderErrors {
    /// The errors, in the order of [`super::HeadFields`]; not empty.
    pub errors: Vec<HeaderError>,
}

impl HeaderErrors {
    fn text(&self) -> String {
        let texts: Vec<String> = self.errors.iter().map(ToString::to_string).collect();
        texts.join("; ")
    }
}
