//! `instance`: list, drain; and what instances tell of themselves.

mod drain;
mod list;
mod operator;
mod report;

pub use drain::drain;
pub use list::list;
pub use report::InstanceReport;
pub use report::read_instances;
