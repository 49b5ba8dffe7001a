//! One time line of events over all processes' event logs.
//!
//! [`merge::EventMerge`] reads many logs, each nearly ordered, and gives their
//! events in one order in which no event comes before its cause. On top of it
//! stand filters, outputs, an estimate of the instances' clock offsets and
//! history checks of what the fleet promises.

pub mod args;
pub mod check;
pub mod command;
pub mod exit;
pub mod filter;
pub mod merge;
pub mod offset;
pub mod output;
pub mod source;
