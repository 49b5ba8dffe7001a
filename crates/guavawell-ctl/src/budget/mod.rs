//! `budget`: list, show, top-up.

mod list;
mod read;
mod report;
mod show;
mod top_up;

pub use list::list;
pub use read::read_budget;
pub use show::show;
pub use top_up::TopUp;
pub use top_up::top_up;
