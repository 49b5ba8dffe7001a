//! The part of HTTP/1.1 that forwarding needs. Header fields keep their original
//! bytes, bodies may have a length or be chunked, and messages whose framing is
//! ambiguous are rejected, since another server could read them differently.
//!
//! `httparse` parses the heads; only this module decides on framing. `async-h1` does
//! not fit: it normalises header fields, reads a request body lazily on the shared
//! connection and flushes server-sent events late.

mod body;
mod channel;
mod error;
mod head;
mod hedge;
mod record;
mod write;

pub use body::BodyDecoder;
pub use body::BodyError;
pub use channel::HttpChannel;
pub use channel::TURN_BYTES;
pub use channel::wait_for_close;
pub use error::ChannelError;
pub use error::within;
pub use head::BodyFraming;
pub use head::FieldList;
pub use head::HeadError;
pub use head::HopByHopNames;
pub use head::RequestHead;
pub use head::ResponseHead;
pub use hedge::HedgedTries;
pub use hedge::HedgedTry;
pub use record::RECORD_END;
pub use record::RECORD_HEAD_BYTES;
pub use record::RecordDecoder;
pub use record::record_head;
pub use write::HeadWriter;
pub use write::write_chunk;
