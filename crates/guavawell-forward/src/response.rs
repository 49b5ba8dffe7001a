//! A server's response, its serialization for the caller, and the return of its
//! connection to the pool.

use std::rc::Rc;

use futures_lite::FutureExt;
use guavawell_core::forward::AttemptEnd;
use guavawell_fleet::event::EventDraft;

use crate::attempt::AttemptFailure;
use crate::attempt::AttemptInfo;
use crate::crash::AttemptWatch;
use crate::http::BodyDecoder;
use crate::http::ChannelError;
use crate::http::FieldList;
use crate::http::HeadWriter;
use crate::http::HttpChannel;
use crate::http::ResponseHead;
use crate::in_flight::InFlightGuard;
use crate::pool::keep_alive_span;
use crate::router::ForwardRouter;

/// A response that was received completely.
#[derive(Debug)]
pub struct BufferedResponse {
    /// The response head.
    pub head: ResponseHead,
    /// The decoded body.
    pub body: Vec<u8>,
}

impl BufferedResponse {
    /// Serializes the response for the caller.
    #[must_use]
    pub fn bytes(&self, is_head_request: bool, keep_alive: bool) -> Vec<u8> {
        let mut head = HeadWriter::response(self.head.status, &self.head.reason);
        copy_fields(&self.head.fields, &mut head);
        if is_head_request {
            for value in self.head.fields.all("content-length") {
                head.field("Content-Length", value);
            }
        } else if self.head.status != 204 && self.head.status != 304 {
            head.field_of("Content-Length", self.body.len());
        }
        if !keep_alive {
            head.field("Connection", b"close");
        }
        let mut bytes = head.finish();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Copies the server's header fields, except `Content-Length` and hop-by-hop
/// fields.
pub fn copy_fields(fields: &FieldList, head: &mut HeadWriter) {
    let hop_by_hop = fields.hop_by_hop();
    for (name, value) in fields.iter() {
        let framing = name.eq_ignore_ascii_case("content-length");
        if !framing && !hop_by_hop.contains(name) {
            head.field(name, value);
        }
    }
}

/// A response whose body is still being received.
#[derive(Debug)]
pub struct IncomingResponse {
    /// The connection to the server.
    pub channel: HttpChannel,
    /// The response head.
    pub head: ResponseHead,
    /// Decodes the body.
    pub decoder: BodyDecoder,
    /// Whether the whole request was sent and no response to another request
    /// was received. Only then may the connection be reused.
    pub reusable: bool,
    /// Counts the request at the server.
    pub guard: InFlightGuard,
    /// Records the attempt as abandoned if it is given up.
    pub watch: AttemptWatch,
    /// The attempt.
    pub info: Rc<AttemptInfo>,
}

impl IncomingResponse {
    /// Receives the next part of the body. Returns false at the end of the
    /// body.
    ///
    /// # Errors
    ///
    /// The connection failed, or the server has restarted and the rest of the
    /// response is lost.
    pub async fn receive_part(&mut self, body: &mut Vec<u8>) -> Result<bool, ChannelError> {
        let part = self.channel.body_part(&mut self.decoder, body);
        let restarted = async {
            self.guard.server_restarted().await;
            Err(ChannelError::Closed)
        };
        let result = part.or(restarted).await;
        if let Err(error) = &result {
            self.guard.note_broken(&self.info, error);
        }
        result
    }

    /// Takes note that the attempt ended without a complete response. One that timed out
    /// may still be run by the server.
    #[must_use]
    pub fn fail(mut self, end: AttemptEnd) -> AttemptFailure {
        self.guard.note_outcome(true);
        if end != AttemptEnd::Silent {
            self.watch.settle();
        }
        AttemptFailure::new(&self.info, end)
    }

    /// Returns the connection to the pool after a complete response, if it can
    /// be reused.
    pub fn finish(mut self, router: &ForwardRouter) {
        self.note_close(router);
        self.watch.settle();
        self.guard.note_outcome(false);
        let done = self.decoder.is_done();
        if self.reusable && done && self.head.keep_alive && self.channel.is_quiet() {
            let max_idle = keep_alive_span(&self.head.fields, router.settings.times.idle);
            let now = router.clock.now();
            let mut pool = router.pool.borrow_mut();
            pool.put(self.guard.server(), self.channel, now, max_idle);
        }
    }

    /// Counts a response that was complete because its connection ended. One that
    /// another instance carried is logged too: that one may have ended instead.
    fn note_close(&self, router: &ForwardRouter) {
        if !self.decoder.ends_at_close() {
            return;
        }
        let way = if self.info.carrier.is_some() {
            "carried"
        } else {
            "direct"
        };
        metrics::counter!("guavawell_forward_closed_bodies_total", "way" => way).increment(1);
        if let Some(carrier) = &self.info.carrier {
            let draft = EventDraft::new("response.closed")
                .field("server", &self.info.server)
                .field("carrier", carrier);
            router.log.emit(draft);
        }
    }
}
