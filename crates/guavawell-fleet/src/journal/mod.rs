//! Writes billing records to the object store and reads them back.
//!
//! Records stay in memory until their segment is durable, and the slot's
//! witness holds them until then. This folder never decides about a charge.

mod driver;
mod read;

pub use driver::JournalDriver;
pub use driver::JournalSettings;
pub use read::read_journal;
