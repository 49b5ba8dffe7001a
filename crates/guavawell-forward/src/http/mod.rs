//! HTTP/1.1 as forwarding needs it: heads kept byte by byte, bodies decoded
//! from either framing, and nothing that could be read in two ways.
//!
//! `async-h1` was weighed first: it normalises headers, reads a request's body
//! lazily on the shared connection and flushes events late. `httparse` parses
//! the heads here; framing is decided in this folder alone.

mod body;
mod channel;
mod head;
mod tries;
mod write;

pub use body::BodyDecoder;
pub use body::BodyError;
pub use channel::ChannelError;
pub use channel::HttpChannel;
pub use channel::wait_for_close;
pub use channel::within;
pub use head::BodyFraming;
pub use head::FieldList;
pub use head::HeadError;
pub use head::RequestHead;
pub use head::ResponseHead;
pub use head::is_hop_by_hop;
pub use tries::HedgedTries;
pub use tries::HedgedTry;
pub use write::HeadWriter;
pub use write::write_chunk;
