//! Backend servers: what is known of each one, and which one serves a request.
//!
//! A [`BackendTable`] is an immutable set of backend servers, indexed by target
//! and zone; a change of the set builds a new table that shares the state of
//! the servers that stay. Requests change only atomics. Plain services and
//! model engines go through the same rules.
//!
//! This folder never opens a connection and releases neither money nor claims.

mod affinity;
mod bundle;
mod choice;
mod connection;
mod flight;
mod health;
mod hedge;
mod index;
mod lease;
mod poll;
mod report;
mod settings;
mod spec;
mod speed;
mod state;
mod subset;
mod summary;
mod table;
#[cfg(test)]
mod tests;

pub use affinity::CacheBatch;
pub use affinity::CacheChange;
pub use affinity::CacheEvent;
pub use affinity::PrefixError;
pub use affinity::PrefixHash;
pub use bundle::BundleError;
pub use bundle::MAX_BUNDLED;
pub use bundle::ReportBundle;
pub use bundle::ReportMark;
pub use choice::BackendPick;
pub use choice::ChoiceRequest;
pub use choice::NoBackend;
pub use connection::ConnectionAction;
pub use connection::ConnectionSettings;
pub use connection::ConnectionWatch;
pub use connection::ProbeResult;
pub use hedge::HedgeAsk;
pub use hedge::should_hedge;
pub use lease::BackendLease;
pub use lease::LeaseOutcome;
pub use poll::PassedReport;
pub use poll::poll_turns;
pub use poll::should_poll;
pub use report::LoadReport;
pub use report::ReportEffect;
pub use settings::RoutingSettings;
pub use spec::BackendSpec;
pub use spec::ModelVersion;
pub use spec::RouteTarget;
pub use spec::ServedModel;
pub use state::BackendState;
pub use state::BackendView;
pub use subset::RouterSubset;
pub use summary::MAX_SUMMARISED;
pub use summary::ZoneSummary;
pub use table::BackendTable;
