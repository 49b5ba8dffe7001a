//! Requests that end the servers that run them.

mod digest;
