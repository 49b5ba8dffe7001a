//! The part of HTTP/1.1 that is read from others. Header fields keep their original
//! bytes, bodies may have a length or be chunked, and messages whose framing is ambiguous
//! are rejected, since another reader could take them for something else.
//!
//! `httparse` parses the heads; only this crate decides what a message is. The client of
//! `async-h1` takes interim responses for final ones, conflicting lengths for one, bodies
//! without a length for empty ones, and panics at values that are not ASCII; only its
//! encoder of requests is used.

mod body;
mod exchange;
mod fields;
mod framing;
mod head;
mod response;

pub use body::BodyDecoder;
pub use body::BodyError;
pub use exchange::exchange;
pub use fields::FieldList;
pub use fields::HopByHopNames;
pub use framing::BodyFraming;
pub use head::HeadError;
pub use head::RequestHead;
pub use head::ResponseHead;
pub use head::head_length;
pub use response::ReceivedResponse;
