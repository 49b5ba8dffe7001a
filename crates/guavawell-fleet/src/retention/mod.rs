//! Sweeps what the platform need not keep any longer.
//!
//! `guavawell_core::retention` decides what is due; this folder reads, deletes
//! and paces. Any router, or an operator, may sweep at any time: each delete
//! compares the revision that was judged.

mod driver;
mod table;

pub use driver::RetentionDriver;
pub use driver::RetentionParts;
pub use driver::SweepPace;
pub use table::PageAsk;
pub use table::PageReport;
pub use table::RetentionTable;
