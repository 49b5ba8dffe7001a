//! Connections to other instances. They are kept open between requests: in a large
//! fleet most callers' requests need a loan from another instance.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::FleetKey;
use super::PeerError;
use super::PeerRequest;
use super::message::CONFIG_VERSION_FIELD;
use super::message::MAX_HEAD_BYTES;
use super::message::NONCE_FIELD;
use crate::http::ChannelError;
use crate::http::HeadWriter;
use crate::http::HttpChannel;
use crate::http::ResponseHead;
use crate::http::within;
use crate::link::ByteMeter;

/// Largest number of idle connections that are kept.
const MAX_IDLE_CHANNELS: usize = 48;
/// Timeout for a response body: enough for the largest configuration over the link
/// of a small instance.
const BODY_TIMEOUT: Duration = Duration::from_secs(6);
/// Largest response body, in bytes: the same as for the store.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// A response of another instance.
#[derive(Debug)]
pub(crate) struct PeerResponse {
    /// The response head.
    pub(crate) head: ResponseHead,
    /// The response body.
    pub(crate) body: Vec<u8>,
}

/// Idle connections to other instances.
#[derive(Debug, Default)]
pub(crate) struct PeerChannels {
    idle: RefCell<Vec<(SocketAddr, HttpChannel)>>,
    /// Counts the bytes of these connections.
    pub(crate) meter: Rc<ByteMeter>,
}

impl PeerChannels {
    /// Sends a request, without a retry. `limit` is the timeout for the response head,
    /// and `version` that of the configuration in force here.
    pub(crate) async fn send_request(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        key: FleetKey,
        version: u64,
        limit: Duration,
    ) -> Result<PeerResponse, PeerError> {
        let exchange = self.exchange(address, request, key, version, limit);
        let (response, channel) = exchange.await?;
        let mut idle = self.idle.borrow_mut();
        if response.head.keep_alive && idle.len() < MAX_IDLE_CHANNELS {
            idle.push((address, channel));
        }
        Ok(response)
    }

    /// Sends a request as [`send_request`](Self::send_request) does, and returns the
    /// connection with the response.
    pub(crate) async fn exchange(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        key: FleetKey,
        version: u64,
        limit: Duration,
    ) -> Result<(PeerResponse, HttpChannel), PeerError> {
        let nonce = fastrand::u64(..);
        let exchange = async {
            let mut channel = match self.take_idle(address) {
                Some(channel) => channel,
                None => HttpChannel::connect(address, limit)
                    .await?
                    .counted_by(&self.meter),
            };
            let mut writer = HeadWriter::request("POST", &request.target());
            writer.field_of("Host", address);
            writer.field_of(NONCE_FIELD, nonce);
            writer.field_of(CONFIG_VERSION_FIELD, version);
            let body = request.body();
            writer.field_of("Content-Length", body.len());
            channel.send(&key.seal(writer, nonce, &body)).await?;
            let length = channel.head(MAX_HEAD_BYTES).await?;
            let bytes = channel.received()[..length].to_vec();
            channel.consume(length);
            Ok((bytes, channel))
        };
        let (bytes, mut channel) = within(limit, exchange).await?;
        let head = ResponseHead::parse(&bytes, false).map_err(ChannelError::Head)?;
        let body = within(BODY_TIMEOUT, channel.body(head.framing, MAX_BODY_BYTES)).await?;
        if !key.verify(&bytes, nonce, &body) {
            return Err(PeerError::Unauthenticated(head.status));
        }
        Ok((PeerResponse { head, body }, channel))
    }

    fn take_idle(&self, address: SocketAddr) -> Option<HttpChannel> {
        let mut idle = self.idle.borrow_mut();
        while let Some(index) = idle.iter().rposition(|(known, _)| *known == address) {
            let (_, channel) = idle.swap_remove(index);
            if channel.is_quiet() {
                return Some(channel);
            }
        }
        None
    }
}
