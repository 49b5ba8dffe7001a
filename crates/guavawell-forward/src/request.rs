//! Builds the request that is sent to a backend server.

use std::io;
use std::net::TcpStream;

use futures_lite::AsyncWriteExt;
use guavawell_core::forward::ServerIncarnation;
use smol::Async;

use crate::http::BodyFraming;
use crate::http::HeadWriter;
use crate::router::ForwardRouter;
use crate::serve::ForwardCall;

/// The lowest priority. Smaller numbers are more urgent.
const LAST_PRIORITY: u8 = 9;
/// Largest body that is copied behind the head, to be sent with it, in bytes. A longer
/// one is sent from where it is held, since a server may take long to read it.
const MAX_COPIED_BODY: usize = 16 * 1024;

/// A request as it is sent to a server.
#[derive(Debug)]
pub struct RequestBytes<'a> {
    /// The head, and a short body.
    start: Vec<u8>,
    /// A long body; empty for a short one.
    body: &'a [u8],
}

impl<'a> RequestBytes<'a> {
    /// Serializes the request for a server. Method, target and body are unchanged.
    /// `resumed` is the event after which the server is to continue a stream.
    #[must_use]
    pub fn new(
        router: &ForwardRouter,
        call: &ForwardCall<'a>,
        server: &ServerIncarnation,
        resumed: Option<u64>,
    ) -> Self {
        let mut start = request_head(router, call, server, resumed);
        let body = &call.request.body[..];
        if body.len() > MAX_COPIED_BODY {
            return Self { start, body };
        }
        start.extend_from_slice(body);
        Self { start, body: &[] }
    }

    /// Number of bytes of the request.
    #[must_use]
    pub const fn size(&self) -> usize {
        self.start.len() + self.body.len()
    }

    /// Sends the request.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub async fn send(&self, mut stream: &Async<TcpStream>) -> io::Result<()> {
        stream.write_all(&self.start).await?;
        stream.write_all(self.body).await
    }
}

/// Serializes the head of the request for a server.
fn request_head(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    server: &ServerIncarnation,
    resumed: Option<u64>,
) -> Vec<u8> {
    let names = &router.settings.names;
    let request = call.request;
    let fields = &request.head.fields;
    let mut head = HeadWriter::request(&request.head.method, &request.head.target);
    let hop_by_hop = fields.hop_by_hop();
    for (name, value) in fields.iter() {
        let replaced = is_own_field(router, name)
            || hop_by_hop.contains(name)
            || (resumed.is_some() && name.eq_ignore_ascii_case(names.last_event));
        if !replaced {
            head.field(name, value);
        }
    }
    let left = router.clock.left(call.deadline).as_millis();
    head.field_of(names.time_left, left);
    head.field(names.expected_server, server.id.as_str().as_bytes());
    if let Some((organisation, _)) = &call.organisation {
        head.field(names.organisation, organisation.as_str().as_bytes());
    }
    if call.engine.is_some() {
        head.field_of(names.priority, priority(call));
    }
    if let Some(event) = resumed {
        head.field_of(names.last_event, event);
    }
    let has_body = request.head.framing != BodyFraming::Empty;
    if has_body {
        head.field_of("Content-Length", request.body.len());
    }
    head.finish()
}

/// The organisation's priority, or the route's if the organisation has none.
fn priority(call: &ForwardCall<'_>) -> u8 {
    let own = call
        .organisation
        .as_ref()
        .and_then(|(_, priority)| *priority);
    own.unwrap_or(call.route.priority).min(LAST_PRIORITY)
}

/// Whether the router sets or removes this field, whatever the caller sent.
fn is_own_field(router: &ForwardRouter, name: &str) -> bool {
    let names = &router.settings.names;
    let own = [
        names.time_left,
        names.organisation,
        names.expected_server,
        names.priority,
        "authorization",
        "content-length",
        "expect",
    ];
    let same = |other: &&str| name.eq_ignore_ascii_case(other);
    own.iter().any(same) || names.reserved.iter().any(same)
}
