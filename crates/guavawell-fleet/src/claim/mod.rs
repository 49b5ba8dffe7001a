//! Carries claims and seals of requests to the platform's table.
//!
//! `guavawell_core::request::claim` decides; this folder writes, reads back
//! and batches. It never sends anything to a backend server.

mod batch;
mod book;
mod count;
mod driver;

pub use batch::BatchSettings;
pub use count::count_refusal;
pub use driver::ClaimAnswer;
pub use driver::ClaimDriver;
pub use driver::HeldClaim;
pub use driver::RefusalCause;
