//! Requests as they arrive from other instances.

use super::FleetKey;
use super::message::MAX_BODY_BYTES;
use super::message::MAX_HEAD_BYTES;
use super::message::NONCE_FIELD;
use crate::http::ChannelError;
use crate::http::HttpChannel;
use crate::http::RequestHead;

/// A received request, not yet authenticated.
pub(crate) struct ReceivedRequest {
    /// The parsed head.
    pub(crate) head: RequestHead,
    /// The bytes of the head, which the proof covers.
    bytes: Vec<u8>,
    /// The body.
    pub(crate) body: Vec<u8>,
}

impl ReceivedRequest {
    /// Reads one request.
    pub(crate) async fn read(channel: &mut HttpChannel) -> Result<Self, ChannelError> {
        let length = channel.head(MAX_HEAD_BYTES).await?;
        let bytes = channel.received()[..length].to_vec();
        let head = RequestHead::parse(&bytes)?;
        channel.consume(length);
        let body = channel.body(head.framing, MAX_BODY_BYTES).await?;
        Ok(Self { head, bytes, body })
    }

    /// The nonce of the request; `None` if the request has no valid proof of `key`.
    pub(crate) fn authenticated_nonce(&self, key: FleetKey) -> Option<u64> {
        let nonce = self.head.fields.get(NONCE_FIELD)?.parse().ok()?;
        let verified = key.verify(&self.bytes, nonce, &self.body);
        verified.then_some(nonce)
    }
}
