//! A server's answer, and how it goes to the caller or back to the pool.

use futures_lite::FutureExt;

use crate::http::BodyDecoder;
use crate::http::ChannelError;
use crate::http::FieldList;
use crate::http::HeadWriter;
use crate::http::HttpChannel;
use crate::http::ResponseHead;
use crate::http::is_hop_by_hop;
use crate::in_flight::InFlightGuard;
use crate::pool::keep_alive_span;
use crate::router::ForwardRouter;

/// A whole answer of a server.
#[derive(Debug)]
pub struct BufferedResponse {
    /// Its head.
    pub head: ResponseHead,
    /// Its body.
    pub body: Vec<u8>,
}

impl BufferedResponse {
    /// The answer as it goes to the caller.
    #[must_use]
    pub fn bytes(&self, is_head_request: bool, keep: bool) -> Vec<u8> {
        let mut head = HeadWriter::response(self.head.status, &self.head.reason);
        copy_fields(&self.head.fields, &mut head);
        if is_head_request {
            for value in self.head.fields.all("content-length") {
                head.field("Content-Length", value);
            }
        } else if self.head.status != 204 && self.head.status != 304 {
            head.field_of("Content-Length", self.body.len());
        }
        if !keep {
            head.field("Connection", b"close");
        }
        let mut bytes = head.finish();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Copies a server's fields but for those of one connection.
pub fn copy_fields(fields: &FieldList, head: &mut HeadWriter) {
    for (name, value) in fields.iter() {
        let framing = name.eq_ignore_ascii_case("content-length");
        if !framing && !is_hop_by_hop(fields, name) {
            head.field(name, value);
        }
    }
}

/// A server's answer whose body is still to come.
#[derive(Debug)]
pub struct IncomingResponse {
    /// The connection to the server.
    pub channel: HttpChannel,
    /// The answer's head.
    pub head: ResponseHead,
    /// Decodes the body.
    pub decoder: BodyDecoder,
    /// Whether the whole request was sent and nothing else came on the
    /// connection, so that it may be used again.
    pub clean: bool,
    /// Counts the request at the server.
    pub guard: InFlightGuard,
}

impl IncomingResponse {
    /// Receives the next part of the body; false at its end.
    ///
    /// # Errors
    ///
    /// The connection failed, or the server started again: what is left of the
    /// answer is lost then.
    pub async fn part(&mut self, body: &mut Vec<u8>) -> Result<bool, ChannelError> {
        let part = self.channel.body_part(&mut self.decoder, body);
        let restarted = async {
            self.guard.server_restarted().await;
            Err(ChannelError::Closed)
        };
        part.or(restarted).await
    }

    /// Gives the connection back after a whole answer.
    pub fn finish(self, router: &ForwardRouter) {
        self.guard.note_outcome(false);
        let done = self.decoder.is_done();
        if self.clean && done && self.head.keep && self.channel.is_quiet() {
            let keep = keep_alive_span(&self.head.fields, router.settings.times.idle);
            let now = router.clock.now();
            let mut pool = router.pool.borrow_mut();
            pool.put(self.guard.server(), self.channel, now, keep);
        }
    }
}
