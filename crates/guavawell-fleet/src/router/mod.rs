//! Puts the parts together: the way of one request through this router.
//!
//! The order is fixed: who asks, what is asked, admission, reservation, claim,
//! backend server, relay, settlement, end marker. Each step is a file.

mod admit;
mod answer;
mod attempt;
mod background;
mod bill;
mod carry;
mod choice;
mod claim;
mod core;
mod doubt;
mod entry;
mod fetch;
mod keys;
mod news;
mod orphan;
mod platform;
mod ports;
mod recover;
mod relay;
mod reserve;
mod send;
mod serve;
mod service;
mod settings;
mod start;
mod status;
mod targets;
#[cfg(test)]
mod tests;

pub use self::core::RouterCore;
pub use carry::CarryCounts;
pub use start::DrainReport;
pub use start::RouterError;
pub use start::RouterHandle;
pub use start::RouterOptions;
