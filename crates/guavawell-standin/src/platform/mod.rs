//! The platform: transactional table, object store and lagging instance list.
//!
//! Owns its rows, objects and the list, and the faults of an outage. It knows
//! nothing of what routers store in it.

mod counter;
mod gateway;
mod instances;
mod objects;
mod settings;
mod start;
mod storage;
mod table;

pub use counter::PlatformCounts;
pub use instances::InstanceEntry;
pub use settings::PlatformSettings;
pub use start::Platform;
