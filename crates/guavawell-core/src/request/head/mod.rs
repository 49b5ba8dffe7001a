//! The head of a request: identity, idempotence, budget, deadline, priority.
//!
//! Owns the fields' forms and limits. Whether a budget or a key exists is not
//! known here.

mod fault;
mod read;

pub use fault::HeadFault;
pub use fault::HeadFaults;
pub use read::HeadAsk;
pub use read::HeadFields;
