//! The HTTP side: connections, one exchange, and the stream's events.
//!
//! It says how an exchange ended and never repeats one.

mod exchange;
mod message;
mod pool;
mod stream;

pub(crate) use exchange::Exchange;
pub(crate) use exchange::Outgoing;
pub(crate) use exchange::exchange;
pub(crate) use message::chat_body;
pub(crate) use pool::ConnectionPool;
