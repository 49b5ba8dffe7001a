//! `order`: list.

mod list;

pub use list::list;
