//! Idle connections to one address, kept for the next exchange.
//!
//! The clients of backend servers and of the platform share them. Nothing here
//! opens a connection or knows what is said on one.

mod idle;

pub use idle::IdleConnections;
