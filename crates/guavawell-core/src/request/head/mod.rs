//! The head of a request: identity, idempotence, budget, deadline, priority.
//!
//! Owns the fields' forms and limits. Whether a budget or a key exists is not
//! known here.

mod error;
mod parse;

pub use error::HeaderError;
pub use error::HeaderErrors;
pub use parse::HeadFields;
pub use parse::ParsedHead;
