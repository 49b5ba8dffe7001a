//! The atomic numbers of a request's path.
//!
//! They are the standard library's. In this crate's own unit tests they are
//! `loom`'s, which runs every interleaving and every value that the memory
//! orders allow; there they work inside `loom::model` only.

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
