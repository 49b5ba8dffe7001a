//! `budget`: list, show, reclaim, top-up.
//!
//! Changes a budget by a conditional write of its row only; what may be changed
//! is decided in `guavawell_core::budget`.

mod list;
mod read;
mod reclaim;
mod report;
mod show;
mod top_up;

pub use list::list;
pub use read::read_budget;
pub use reclaim::Reclaim;
pub use reclaim::reclaim;
pub use show::show;
pub use top_up::TopUp;
pub use top_up::top_up;
