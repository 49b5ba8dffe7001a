//! The platform as a limited and failing resource: how often a router may
//! write to it, when it stops asking, and when it tries again.
//!
//! Owns the pace only. What is written, and what a lost answer means, belongs
//! to the aggregates that write.

mod backoff;
mod carrier;
mod circuit;
mod class;
mod share;
#[cfg(test)]
mod tests;

pub use backoff::BackoffPolicy;
pub use backoff::Jitter;
pub use carrier::CarrierBook;
pub use carrier::CarrierPeer;
pub use carrier::MAX_CARRIERS;
pub use circuit::CircuitAnswer;
pub use circuit::CircuitPolicy;
pub use circuit::PlatformCircuit;
pub use class::WriteClass;
pub use share::SharePolicy;
pub use share::WriteAnswer;
pub use share::WriteShare;
