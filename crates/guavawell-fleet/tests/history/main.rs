//! Histories of concurrent claims and of money, checked for linearizability.

mod claims;
mod record;
mod slots;
mod spec;
