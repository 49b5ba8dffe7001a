//! `backend`: list, drain.

mod drain;
mod list;

pub use drain::drain;
pub use list::list;
