//! Admission control, fair queueing, concurrency limits and retry budgets.
//!
//! Each of them is a state machine that takes the time as an argument. A refused
//! request is answered at once, and no response is delayed. The admission code
//! knows nothing about backend servers; the caller sets its limit.

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
