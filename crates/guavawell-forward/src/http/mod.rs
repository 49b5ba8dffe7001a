//! The part of HTTP/1.1 that forwarding needs: connections, and what is written.
//! `guavawell-http` parses what is read.
//!
//! `async-h1` does not fit: it normalises header fields, reads a request body lazily on
//! the shared connection and flushes server-sent events late.

mod channel;
mod error;
mod hedge;
mod record;
mod write;

pub use channel::HttpChannel;
pub use channel::TURN_BYTES;
pub use channel::wait_for_close;
pub use error::ChannelError;
pub use error::within;
pub use guavawell_http::BodyDecoder;
pub use guavawell_http::BodyError;
pub use guavawell_http::BodyFraming;
pub use guavawell_http::FieldList;
pub use guavawell_http::HeadError;
pub use guavawell_http::HopByHopNames;
pub use guavawell_http::RequestHead;
pub use guavawell_http::ResponseHead;
pub use hedge::HedgedTries;
pub use hedge::HedgedTry;
pub use record::RECORD_END;
pub use record::RECORD_HEAD_BYTES;
pub use record::RecordDecoder;
pub use record::record_head;
pub use write::HeadWriter;
pub use write::write_chunk;
