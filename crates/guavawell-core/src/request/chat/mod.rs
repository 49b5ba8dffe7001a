//! Parses the body of a chat request and builds the body for the engine.
//!
//! Interprets only the fields that determine the cost (model, messages, output
//! limit, number of answers) and the stream flag. The values of all other
//! fields are forwarded unparsed.

mod error;
mod field;
mod prompt;
mod request;

pub use error::ChatError;
pub use error::ChatErrors;
pub use request::ChatLimits;
pub use request::ChatRequest;
