//! Talks to backend servers: pooled connections, streams, resume, cancel and records.
//!
//! This folder sends and reads; whether an attempt may be sent, or sent
//! again, is decided in `guavawell_core`.

mod client;
mod connection;
mod error;
mod event;
mod exchange;
mod order;
mod pool;
#[cfg(test)]
mod tests;

pub use client::AttemptRecord;
pub use client::AttemptState;
pub use client::EngineClient;
pub use client::EngineRequest;
pub use client::EngineSettings;
pub use client::ServiceAnswer;
pub use error::EngineError;
pub use event::EngineEvent;
pub use exchange::EngineExchange;
pub use order::EngineOrder;
