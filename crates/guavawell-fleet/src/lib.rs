//! Carries the decisions of `guavawell_core` out on `smol`.
//!
//! One folder for each party that a router talks to.

pub mod caller;
pub mod claim;
pub mod clock;
pub mod config;
pub mod connection;
pub mod drill;
pub mod engine;
pub mod event;
pub mod gossip;
pub mod journal;
pub mod operator;
pub mod order;
pub mod peer;
pub mod platform;
pub mod retention;
pub mod router;
pub mod settings;
pub mod slot;
pub mod task;
pub mod tls;

// The generated code names its own types by this path.
use peer::peer_capnp;
