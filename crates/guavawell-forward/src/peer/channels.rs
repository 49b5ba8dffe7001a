//! Connections to other instances. They are kept: in a large fleet most requests
//! need a question.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use super::FleetKey;
use super::PeerError;
use super::PeerRequest;
use super::question::CONFIG_VERSION_FIELD;
use super::question::MAX_HEAD_BYTES;
use super::question::NONCE_FIELD;
use crate::http::ChannelError;
use crate::http::HeadWriter;
use crate::http::HttpChannel;
use crate::http::ResponseHead;
use crate::http::within;

/// Connections to other instances that are kept between questions.
const MAX_IDLE_CHANNELS: usize = 48;
/// Longest wait for the body of an answer: the largest configuration over a small
/// instance's link.
const BODY_TIMEOUT: Duration = Duration::from_secs(6);
/// Largest body of an answer, in bytes: as large as the store's.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// What another instance answered.
#[derive(Debug)]
pub(crate) struct PeerResponse {
    /// The answer's head.
    pub(crate) head: ResponseHead,
    /// Its body.
    pub(crate) body: Vec<u8>,
}

/// Connections to other instances.
#[derive(Debug, Default)]
pub(crate) struct PeerChannels {
    idle: RefCell<Vec<(SocketAddr, HttpChannel)>>,
}

impl PeerChannels {
    /// Asks one question, once; `limit` is for the answer's head. `version` is
    /// that of the configuration in force here.
    pub(crate) async fn send_request(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        key: FleetKey,
        version: u64,
        limit: Duration,
    ) -> Result<PeerResponse, PeerError> {
        let nonce = fastrand::u64(..);
        let exchange = async {
            let mut channel = match self.take_idle(address) {
                Some(channel) => channel,
                None => HttpChannel::connect(address, limit).await?,
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
        let mut idle = self.idle.borrow_mut();
        if head.keep && idle.len() < MAX_IDLE_CHANNELS {
            idle.push((address, channel));
        }
        Ok(PeerResponse { head, body })
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
