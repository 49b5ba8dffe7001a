//! HTTP/1.1 servers by `async-h1`, over connections that can be dropped or silenced.
//!
//! Owns sockets and their ends. It knows nothing of paths.

mod connection;
mod port;
mod reply;
mod server;

pub use connection::ConnectionLink;
pub use reply::Hangup;
pub use reply::HttpReply;
pub use reply::empty_reply;
pub use reply::json_reply;
pub use reply::problem_reply;
pub use reply::read_body;
pub use reply::read_json;
pub use reply::retry_reply;
pub use reply::stream_reply;
pub use reply::text_reply;
pub use server::HttpCall;
pub use server::HttpServer;
