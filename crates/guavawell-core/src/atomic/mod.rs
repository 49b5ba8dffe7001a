//! Atomic integers for the state that requests update concurrently.
//!
//! They are the types of the standard library. In this crate's unit tests they are
//! the types of `loom` instead, which explores every interleaving and every value
//! that the memory orderings allow. Those types work only inside `loom::model`.

#[cfg(test)]
mod explore;
#[cfg(test)]
pub(crate) use explore::explore;

#[cfg(test)]
pub(crate) use loom::sync::atomic::AtomicI64;
#[cfg(test)]
pub(crate) use loom::sync::atomic::AtomicU32;
#[cfg(test)]
pub(crate) use loom::sync::atomic::AtomicU64;
#[cfg(test)]
pub(crate) use loom::sync::atomic::Ordering;

#[cfg(not(test))]
pub(crate) use std::sync::atomic::AtomicI64;
#[cfg(not(test))]
pub(crate) use std::sync::atomic::AtomicU32;
#[cfg(not(test))]
pub(crate) use std::sync::atomic::AtomicU64;
#[cfg(not(test))]
pub(crate) use std::sync::atomic::Ordering;
