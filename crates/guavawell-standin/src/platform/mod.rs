//! The platform: transactional table, object store and lagging instance list.

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
