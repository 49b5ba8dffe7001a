//! The sections of a manifest file as they are read, before their references
//! are checked.
//!
//! A section whose id cannot be read is dropped; any other value that cannot
//! be read is replaced by a default, so that references to the section do not
//! add findings of their own. The findings keep such a section out of force.

mod backend;
mod budget;
mod fleet;
mod model;
mod organisation;
mod service;

pub(super) use backend::BackendSection;
pub(super) use budget::BudgetSection;
pub(super) use fleet::FleetSection;
pub(super) use model::ModelSection;
pub(super) use organisation::OrganisationSection;
pub(super) use service::ServiceSection;
