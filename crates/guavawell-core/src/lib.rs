//! Decisions of the guavawell router fleet.
//!
//! This crate reads no clock, opens no socket, starts no thread and draws no
//! random number. Every rule takes an event and a time and returns the new
//! state and the effects, so that tests, the reference model, the load tool
//! and production drive the same code.

mod atomic;
pub mod backend;
pub mod budget;
pub mod clock;
pub mod event;
pub mod finding;
pub mod forward;
pub mod grant;
pub mod id;
pub mod instance;
pub mod limits;
pub mod manifest;
pub mod number;
pub mod order;
pub mod platform;
pub mod poison;
pub mod request;
pub mod retention;
pub mod stream;
