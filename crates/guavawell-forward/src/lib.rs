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
pub mod answer;
pub mod attempt;
pub mod budget;
pub mod clock;
pub mod config;
pub mod crash;
pub mod door;
pub mod events;
pub mod http;
pub mod judge;
pub mod lease;
pub mod leave;
pub mod names;
pub mod open;
pub mod peer;
pub mod poison;
pub mod pool;
pub mod prepare;
pub mod ready;
pub mod record;
pub mod refuse;
pub mod relay;
pub mod request;
pub mod router;
pub mod schedule;
pub mod send;
pub mod serve;
pub mod settings;
pub mod store;
pub mod watch;
pub mod words;
