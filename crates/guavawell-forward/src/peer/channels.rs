//! Connections to other instances. They are kept: in a large fleet most requests
//! need a question.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use super::FleetKey;
use super::KEY_FIELD;
use super::PeerQuestion;
use super::question::HEAD_BYTES;
use crate::http::ChannelError;
use crate::http::HeadWriter;
use crate::http::HttpChannel;
use crate::http::ResponseHead;
use crate::http::within;

/// Connections to other instances that are kept between questions.
const MAX_IDLE: usize = 48;

/// Connections to other instances.
#[derive(Debug, Default)]
pub(crate) struct PeerChannels {
    idle: RefCell<Vec<(SocketAddr, HttpChannel)>>,
}

impl PeerChannels {
    /// Asks one question, once.
    pub(crate) async fn ask(
        &self,
        address: SocketAddr,
        question: &PeerQuestion,
        key: FleetKey,
        limit: Duration,
    ) -> Result<ResponseHead, ChannelError> {
        let exchange = async {
            let mut channel = match self.take_idle(address) {
                Some(channel) => channel,
                None => HttpChannel::connect(address, limit).await?,
            };
            let mut writer = HeadWriter::request("POST", &question.target());
            writer.field_of("Host", address);
            writer.field_of(KEY_FIELD, key.text());
            let body = question.body();
            writer.field_of("Content-Length", body.len());
            let mut bytes = writer.finish();
            bytes.extend_from_slice(&body);
            channel.send(&bytes).await?;
            let length = channel.head(HEAD_BYTES).await?;
            let head = ResponseHead::parse(&channel.received()[..length], false)?;
            channel.consume(length);
            Ok((head, channel))
        };
        let (head, channel) = within(limit, exchange).await?;
        let mut idle = self.idle.borrow_mut();
        if head.keep && idle.len() < MAX_IDLE {
            idle.push((address, channel));
        }
        Ok(head)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<HttpChannel> {
        let mut idle = self.idle.borrow_mut();
        while let Some(place) = idle.iter().rposition(|(held, _)| *held == address) {
            let (_, channel) = idle.swap_remove(place);
            if channel.is_quiet() {
                return Some(channel);
            }
        }
        None
    }
}
