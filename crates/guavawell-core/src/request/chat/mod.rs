//! The body of a chat request: what the router checks, and what it sends on.
//!
//! Owns the reading of the fields that decide about money (model, messages,
//! output limit). Other fields are kept as their own bytes and sent on; they
//! are never interpreted.

mod error;
mod field;
mod prompt;
mod request;

pub use error::ChatError;
pub use error::ChatErrors;
pub use request::ChatLimits;
pub use request::ChatRequest;
