//! `instance`: list, drain; and what instances tell of themselves.
//!
//! Asks instances on their operators' ports; it never joins the fleet.

mod ask;
mod drain;
mod list;
mod operator;
mod report;

pub use ask::InstanceAnswer;
pub use ask::ask_instances;
pub use drain::drain;
pub use list::list;
pub use report::InstanceReport;
pub use report::read_instances;
