//! The stand-ins over their real sockets.

mod engine;
mod env;
mod faults;
mod storage;
mod table;
