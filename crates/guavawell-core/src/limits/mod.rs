//! Limits: what a router admits, queues, retries and refuses.
//!
//! Every rule is a state machine with the time as an argument. A request that
//! is given up gets its answer at once; nothing here holds an answer back.
//! This folder knows no backend server: it is told a limit and keeps to it.

mod admission;
mod concurrency;
mod demand;
mod fair;
mod gate;
mod hold;
mod retry;
mod share;
#[cfg(test)]
mod tests;
mod ticket;

pub use admission::Admission;
pub use admission::AdmissionSettings;
pub use admission::AdmissionView;
pub use concurrency::ConcurrencyLimit;
pub use gate::AdmissionGate;
pub use retry::RetryBudget;
pub use retry::RetrySettings;
pub use ticket::AdmissionAnswer;
pub use ticket::AdmissionEffect;
pub use ticket::AdmissionRefusal;
pub use ticket::AdmissionRequest;
pub use ticket::AdmissionTicket;
pub use ticket::FairWeight;
pub use ticket::RefusalCause;
pub use ticket::RequestPriority;
