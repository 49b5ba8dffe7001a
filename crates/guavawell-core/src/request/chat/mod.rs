//! The body of a chat request: what the router checks, and what it sends on.
//!
//! Owns the reading of the fields that decide about money (model, messages,
//! output limit). Other fields are kept as their own bytes and sent on; they
//! are never interpreted.

mod ask;
mod fault;
mod field;
mod prompt;

pub use ask::ChatAsk;
pub use ask::ChatLimits;
pub use fault::ChatFault;
pub use fault::ChatFaults;
