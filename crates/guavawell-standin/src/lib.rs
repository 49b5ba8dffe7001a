//! Small stand-ins of the platform and of backend servers, with fault switches.
//!
//! Each stand-in speaks the published protocol of the system that it stands
//! for (docs/PROTOCOLS.md) and keeps everything in memory. All stand-ins of a
//! process share one small pool of threads, so that hundreds fit into one.

mod attempt;
mod backend;
mod control;
pub mod engine;
pub mod fault;
mod http;
mod load;
mod lock;
pub mod platform;
pub mod pool;
pub mod service;
pub mod truth;

pub use attempt::AttemptPhase;
pub use attempt::AttemptRecord;
pub use load::LoadReport;
