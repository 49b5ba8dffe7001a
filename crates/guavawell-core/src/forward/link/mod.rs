//! What an instance does whose network link cannot carry what its callers send.
//!
//! Load pattern: the load balancer sends all connections of one caller to one small
//! instance, and their requests need more than its link carries, while the other
//! instances of the zone are idle.

mod admission;
mod cost;
mod keep;
mod names;
mod readiness;

pub use admission::LinkAdmission;
pub use admission::LinkRequest;
pub use admission::LinkSettings;
pub use cost::LinkBytes;
pub use cost::RouteCosts;
pub use cost::wire_bytes;
pub use keep::CallerLoad;
pub use keep::KeeperSettings;
pub use keep::KeeperView;
pub use keep::LoadKeeper;
pub use readiness::LinkReadiness;
pub use readiness::ReadinessSettings;
