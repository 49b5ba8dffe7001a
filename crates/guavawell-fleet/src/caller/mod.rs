//! Talks to callers: connections, bodies within limits, streams and problem documents.
//!
//! This folder reads requests and writes answers; what a request may do is
//! decided in `router` and `guavawell_core`.

mod body;
mod listener;
mod memory;
mod read;
#[cfg(test)]
mod tests;

pub use body::FrameSender;
pub use body::frame_body;
pub use listener::CallerLimits;
pub use listener::CallerListener;
pub use memory::BodyMemory;
pub use memory::BodyShare;
pub use read::BodyError;
pub use read::BodyLimits;
pub use read::CallerBody;
pub use read::read_body;
