//! Forwards requests to backend servers within prepaid token budgets, without
//! interpreting their bodies.
//!
//! The rules are in `guavawell_core::forward` and `guavawell_core::grant`; this
//! crate runs them on one thread: callers' requests (`callers`, `clients`, `intake`, `prepare`,
//! `routing`, `serve`), backend servers (`retry`, `attempt`, `connect`, `pool`,
//! `receive`, `relay`), going over to another server (`handover`), what callers have not taken yet (`read_ahead`), connections through other instances (`path`, `tunnel`), budget rows and loans between instances (`budget`), requests that
//! crash servers (`poison`, `crash`), the order of tasks (`schedule`), and the
//! health and shutdown of the process (`admin`, `shutdown`). It contains no
//! header names and no wire formats of the platform; the binary translates
//! those.

#![expect(
    clippy::future_not_send,
    reason = "all tasks run on one thread, as an instance has one core"
)]

pub mod accept;
pub mod admin;
pub mod attempt;
pub mod attempt_log;
mod body_memory;
pub mod budget;
pub mod callers;
pub mod clients;
pub mod clock;
pub mod config;
pub mod connect;
pub mod connections;
pub mod continuation;
pub mod crash;
pub mod eligible;
pub mod evacuation;
pub mod field_names;
pub mod handover;
pub mod housekeeping;
pub mod http;
pub mod in_flight;
pub mod intake;
pub mod limit_news;
pub mod link;
pub mod overload;
pub mod path;
pub mod peer;
pub mod poison;
pub mod pool;
pub mod prepare;
pub mod read_ahead;
pub mod receive;
pub mod record;
pub mod refusal;
pub mod rejection;
pub mod relay;
pub mod request;
pub mod response;
pub mod response_check;
pub mod retry;
pub mod retry_after;
pub mod router;
pub mod routing;
pub mod schedule;
pub mod serve;
pub mod server_status;
pub mod settings;
pub mod shutdown;
pub mod sse;
pub mod store;
pub mod suspension;
pub mod tunnel;
pub mod warmth;
pub mod zone_history;
