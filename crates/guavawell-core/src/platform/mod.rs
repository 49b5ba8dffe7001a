//! The platform as a limited and failing resource: how often a router may
//! write to it and read from it, when it stops asking, and when it tries again.
//!
//! Owns the pace only. What is written, and what a lost answer means, belongs
//! to the aggregates that write.

mod backoff;
mod bucket;
mod carrier;
mod circuit;
mod class;
mod demand;
mod fleet;
mod loan;
mod pushback;
mod rate;
mod share;
mod size;
mod spare;
#[cfg(test)]
mod tests;

pub use backoff::BackoffPolicy;
pub use backoff::Jitter;
pub use bucket::ShareAnswer;
pub use bucket::SharePolicy;
pub use carrier::CarrierBook;
pub use carrier::CarrierPeer;
pub use carrier::MAX_CARRIERS;
pub use circuit::CircuitAnswer;
pub use circuit::CircuitPolicy;
pub use circuit::PlatformCircuit;
pub use class::ReadClass;
pub use class::ShareUrgency;
pub use class::WriteClass;
pub use demand::ShareDemand;
pub use fleet::FleetShare;
pub use fleet::ShareDecision;
pub use fleet::ShareSigns;
pub use fleet::SharingPolicy;
pub use loan::borrowed;
pub use pushback::PushBack;
pub use pushback::PushBackPolicy;
pub use rate::PlatformRate;
pub use share::PlatformShare;
pub use size::FleetSize;
pub use size::SizePolicy;
pub use size::SizeSigns;
pub use spare::SegmentWait;
pub use spare::spare_rate;
