//! Forwards opaque requests to backend servers within prepaid budgets.
//!
//! The rules stand in `guavawell_core::forward` and `guavawell_core::grant`;
//! this crate carries them out on one thread: callers (`door`, `serve`),
//! backend servers (`pool`, `attempt`, `relay`), budget rows and loans between
//! instances (`budget`), requests that crash servers (`poison`, `crash`), the order of tasks (`schedule`), and the process's
//! life (`leave`, `ready`). It knows no wire names of the
//! platform it runs on; those are translated by whoever starts it.

#![expect(
    clippy::future_not_send,
    reason = "one thread serves everything: an instance has one core"
)]

pub mod accept;
pub mod admin;
pub mod attempt;
pub mod budget;
pub mod callers;
pub mod clock;
pub mod config;
pub mod connect;
pub mod crash;
pub mod field_names;
pub mod housekeeping;
pub mod http;
pub mod in_flight;
pub mod peer;
pub mod poison;
pub mod pool;
pub mod prepare;
pub mod record;
pub mod refusal;
pub mod relay;
pub mod request;
pub mod response;
pub mod retry;
pub mod router;
pub mod routing;
pub mod schedule;
pub mod serve;
pub mod server_status;
pub mod settings;
pub mod shutdown;
pub mod sse;
pub mod store;
