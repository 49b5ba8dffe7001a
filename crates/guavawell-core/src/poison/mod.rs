//! Requests that end the servers that run them.
//!
//! Such a request comes again under another id, at any instance. What makes it
//! the same is its digest.

mod digest;

pub use digest::DigestError;
pub use digest::RequestDigest;
