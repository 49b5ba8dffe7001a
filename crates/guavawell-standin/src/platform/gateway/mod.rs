//! etcd v3's JSON gateway over the table.
//!
//! Translates keys, compares and operations; the table decides what holds.

mod message;
mod plan;

pub(super) use message::RangeRequest;
pub(super) use message::TxnRequest;
pub(super) use plan::GatewayError;
pub(super) use plan::TablePlan;
