//! A request's life: identity, claims, seals, billing records and refusals.
//!
//! Owns what may be said of a request and what may run under its id. It never
//! decides about tokens; that is the budget's.

mod attempt;
pub mod billing;
pub mod chat;
pub mod claim;
mod digest;
mod frame;
pub mod head;
mod identity;
mod proof;
mod reason;
mod refusal;
#[cfg(test)]
mod tests;

pub use attempt::SentAttempt;
pub use attempt::UnsentAttempt;
pub use digest::RequestDigest;
pub use frame::END_MARKER;
pub use frame::FrameAction;
pub use frame::FrameCheck;
pub use frame::FrameError;
pub use frame::StreamUsage;
pub use identity::IdentityError;
pub use identity::MINTED_PREFIX;
pub use identity::RequestIdentity;
pub use proof::MintedProof;
pub use proof::NotRunProof;
pub use proof::SealProof;
pub use reason::RefusalReason;
pub use refusal::ProblemDocument;
pub use refusal::Refusal;
pub use refusal::RefusalOutcome;
