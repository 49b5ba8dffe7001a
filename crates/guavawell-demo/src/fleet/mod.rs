//! A whole fleet in one process, on loopback ports chosen free.
//!
//! Owns the stand-ins of the platform and of the backend servers, and the
//! routers. Routers can be killed, drained and started while callers go on.

mod drill;
mod manifest;
mod settings;
mod start;

pub use manifest::BackendLine;
pub use manifest::SERVICE_COST;
pub use manifest::manifest_text;
pub use manifest::organisation_key;
pub use settings::FleetSettings;
pub use start::DemoFleet;
pub use start::FleetError;
pub use start::FleetRouter;
