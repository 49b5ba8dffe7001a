//! Histories of concurrent claims, checked for linearizability.

mod claims;
mod record;
mod spec;
