//! Drives `guavawell_core::manifest`: poll, peers' hints, pages, acceptance.
//!
//! [`ManifestStore`] reads and writes versions and pages at the platform,
//! [`ConfigDriver`] keeps a router's version in force up to date, and
//! [`ConfigHandle`] is what requests read: one atomic load. Nothing here
//! decides which version is in force.

mod accept;
mod driver;
mod fetch;
mod handle;
mod peer;
mod read;
mod store;

pub use accept::AcceptOutcome;
pub use driver::ConfigDriver;
pub use driver::ConfigHints;
pub use driver::ConfigInputs;
pub use fetch::FetchError;
pub use handle::ConfigHandle;
pub use handle::ConfigSnapshot;
pub use peer::ConfigPeers;
pub use peer::PageQuestion;
pub use peer::PeerFuture;
pub use peer::RowQuestion;
pub use store::ManifestStore;
pub use store::StoredVersion;
