//! The manifest in force, in the form that requests read.
//!
//! Every part that a new version leaves unchanged is shared with the view
//! before it.
//!
//! A view is never changed: an update makes the next one.

mod backend;
mod branch;
mod fleet;
mod index;
mod key;
mod update;
mod wanted;

pub use fleet::FleetView;
pub use fleet::ModelChoice;
pub use update::ViewUpdate;
