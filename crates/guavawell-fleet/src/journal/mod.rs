//! Writes billing records to the object store and reads them back.
//!
//! Records stay in memory until their segment is durable, and the slot's
//! witness holds them until then. This folder never decides about a charge.

mod driver;
mod fold;
mod read;
mod refund;

pub use driver::JournalDriver;
pub use driver::JournalSettings;
pub use fold::FoldSettings;
pub use fold::ShardFold;
pub use read::read_journal;
pub use refund::RefundOutcome;
pub use refund::refund_second_charges;
