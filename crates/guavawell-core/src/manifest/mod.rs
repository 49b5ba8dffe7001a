//! The operators' manifest: parsing, findings, pages and the version in force.
//!
//! [`parse_manifest`] turns an operator's file into a [`FleetManifest`] or
//! into all its findings. [`FleetView`] is the form that requests read: sorted
//! vectors in shared pages, so that a change of one organisation copies that
//! organisation's page and nothing else. This folder decides; fetching pages
//! and reading the version row is `guavawell-fleet::config`.

mod budget;
mod change;
mod check;
mod digest;
mod entry;
mod force;
pub mod page;
mod parse;
mod section;
mod version;
mod view;

pub use budget::BudgetList;
pub use budget::StatedBudget;
pub use change::check_change;
pub use digest::ContentDigest;
pub use digest::DigestError;
pub use digest::KeyHash;
pub use entry::AdapterEntry;
pub use entry::BackendEntry;
pub use entry::BackendKind;
pub use entry::BudgetEntry;
pub use entry::FleetManifest;
pub use entry::FleetShape;
pub use entry::ModelEntry;
pub use entry::OrganisationEntry;
pub use entry::ServiceEntry;
pub use force::ConfigCounts;
pub use force::ConfigEffect;
pub use force::ConfigEvent;
pub use force::ConfigSettings;
pub use force::ConfigState;
pub use force::NotInForce;
pub use force::VersionInForce;
pub use force::VersionProof;
pub use parse::parse_manifest;
pub use version::VERSION_KEY;
pub use version::VersionConflict;
pub use version::VersionProposal;
pub use version::VersionRow;
pub use version::VersionRowError;
pub use version::VersionWord;
pub use version::history_key;
pub use view::FleetView;
pub use view::ModelChoice;
pub use view::ViewUpdate;
