//! `backend`: list, drain.
//!
//! Reads the manifest in force and changes it; it never speaks to a backend
//! server.

mod drain;
mod list;

pub use drain::drain;
pub use list::list;
