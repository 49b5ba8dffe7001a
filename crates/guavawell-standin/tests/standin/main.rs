//! The stand-ins over their real sockets.

mod batching;
mod engine;
mod env;
mod faults;
mod orders;
mod service;
mod storage;
mod table;
