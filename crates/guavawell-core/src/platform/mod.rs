//! Rate limits, circuit breakers and backoff for requests to the platform.
//!
//! This module decides when a router may send a request to the platform. What is
//! written, and what a lost response means, is decided by the modules that write.

mod background;
mod backoff;
mod bucket;
mod circuit;
mod class;
mod demand;
mod fair_share;
mod fleet;
mod rate;
mod relay;
mod share;
mod size;
#[cfg(test)]
mod tests;
mod throttle;

pub use background::SegmentInterval;
pub use background::background_rate;
pub use backoff::BackoffPolicy;
pub use backoff::Jitter;
pub use bucket::SharePolicy;
pub use bucket::TakeResult;
pub use circuit::CircuitDecision;
pub use circuit::CircuitPolicy;
pub use circuit::PlatformCircuit;
pub use class::ReadClass;
pub use class::ShareUrgency;
pub use class::WriteClass;
pub use demand::ShareDemand;
pub use fair_share::fair_share;
pub use fleet::FleetShare;
pub use fleet::ShareDecision;
pub use fleet::ShareInputs;
pub use fleet::SharingPolicy;
pub use rate::PlatformRate;
pub use relay::MAX_RELAYS;
pub use relay::RelayPeer;
pub use relay::RelaySelector;
pub use share::PlatformShare;
pub use size::FleetSize;
pub use size::SizeInputs;
pub use size::SizePolicy;
pub use throttle::ShareThrottle;
pub use throttle::ThrottlePolicy;
