//! Billing records: their journal, refunds of repeated charges, and audits.
//!
//! The holder of a budget's slot decides on a charge, and this module records
//! it. If a request is charged more than once, one charge is kept and the
//! others are refunded.

mod audit;
mod buffer;
mod chain;
mod doubt;
mod fold;
mod record;
mod refund;
mod segment;
#[cfg(test)]
mod tests;
mod window;

pub use audit::AuditGap;
pub use audit::AuditResult;
pub use audit::audit_budget;
pub use buffer::JournalBuffer;
pub use buffer::JournalPolicy;
pub use chain::ChainAudit;
pub use chain::ChainFault;
pub use chain::ChainGap;
pub use chain::ChainName;
pub use chain::audit_chains;
pub use doubt::DoubtCase;
pub use doubt::DoubtResolution;
pub use doubt::EngineReport;
pub use doubt::resolve_doubt;
pub use fold::BillingFold;
pub use fold::RefundIntent;
pub use fold::fold_records;
pub use record::BillingRecord;
pub use refund::RefundEntry;
pub use refund::RefundRow;
pub use refund::refund_key;
pub use segment::JournalSegment;
pub use segment::SegmentError;
pub use segment::SegmentName;
pub use segment::read_segment;
pub use window::ChargeWindow;
pub use window::WindowPolicy;
