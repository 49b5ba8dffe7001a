//! The head of a request: identity, idempotence, budget, deadline, priority.

mod fault;
mod read;

pub use fault::HeadFault;
pub use fault::HeadFaults;
pub use read::HeadAsk;
pub use read::HeadFields;
