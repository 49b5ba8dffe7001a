//! Requests: parsing, identity, claims, refusals and billing records.
//!
//! Decides which attempt may run under a request id, and what a caller may be
//! told about its request. Tokens are reserved and charged by `crate::budget`.

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
