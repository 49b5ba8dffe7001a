//! Parses the headers of a request: identity, idempotence, budget, deadline,
//! priority and generation.
//!
//! Checks the format and the limits of each header, but not whether a budget or
//! a key exists.

mod error;
mod parse;

pub use error::HeaderError;
pub use error::HeaderErrors;
pub use parse::HeadFields;
pub use parse::ParsedHead;
