//! Receives what a caller needs next of a server's response.

use std::rc::Rc;

use guavawell_core::clock::ClockTime;
use guavawell_core::forward::AttemptEnd;

use crate::attempt::AttemptFailure;
use crate::attempt::SentRequest;
use crate::attempt::time_left;
use crate::http::ChannelError;
use crate::http::within;
use crate::read_ahead::CallerOutbox;
use crate::read_ahead::IncompletePart;
use crate::rejection::is_rejection;
use crate::rejection::note_rejection;
use crate::request::RequestBytes;
use crate::response::BufferedResponse;
use crate::response::IncomingResponse;
use crate::router::ForwardRouter;
use crate::serve::ForwardCall;
use crate::server_status::note_load;
use crate::server_status::note_work;
use crate::sse::EventScan;
use crate::sse::EventScanner;
use crate::sse::begins_event;

/// Largest response, other than a stream, that is buffered completely before it
/// is sent, in bytes. While it is buffered, another server can still replace it
/// if it fails.
const MAX_BUFFERED_BODY: usize = 256 * 1024;
/// Length up to which a response is buffered completely even if little memory is free,
/// in bytes.
const MIN_BUFFERED_BODY: usize = 16 * 1024;
/// Largest event of a stream, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Most bytes of comments and empty lines between two events of a stream.
const MAX_COMMENT_BYTES: usize = 64 * 1024;

/// What the caller needs next of a response.
#[derive(Clone, Copy, Debug)]
pub struct WantedPart {
    /// Id of the last event that the caller has.
    pub after: Option<u64>,
    /// Whether comments of a stream do not suffice. They show only that the server is
    /// alive.
    pub needs_event: bool,
}

/// The first part of a response that can be sent to the caller.
#[derive(Debug)]
pub enum ResponsePart<'a> {
    /// Events of a stream.
    Events(StreamResponse<'a>, EventPart),
    /// A complete response and its body.
    Whole(IncomingResponse, Vec<u8>),
    /// A response that is too large for the buffer, and the part of its body that was
    /// received.
    Large(IncomingResponse, Vec<u8>),
}

impl ResponsePart<'_> {
    /// The response.
    #[must_use]
    pub const fn response(&self) -> &IncomingResponse {
        match self {
            Self::Events(stream, _) => &stream.response,
            Self::Whole(response, _) | Self::Large(response, _) => response,
        }
    }
}

/// What can be sent of the received bytes of a stream.
#[derive(Clone, Copy, Debug)]
pub struct EventPart {
    /// Number of bytes that can be sent.
    pub bytes: usize,
    /// Number of complete events in them.
    pub events: u64,
    /// Id of the last of these events, if it has one.
    pub last_id: Option<u64>,
    /// Whether the stream goes on.
    pub more: bool,
}

/// An event stream that is being received.
#[derive(Debug)]
pub struct StreamResponse<'a> {
    /// The response.
    pub response: IncomingResponse,
    /// Bytes that were received and not sent yet.
    buffer: Vec<u8>,
    /// Finds events in these bytes.
    scanner: EventScanner,
    /// Counts these bytes.
    held: IncompletePart<'a>,
    /// Bytes of comments and empty lines that were sent since the last event.
    comment_bytes: usize,
    /// Id of the last event that was received.
    last_event: Option<u64>,
}

impl<'a> StreamResponse<'a> {
    fn new(response: IncomingResponse, caller: &'a CallerOutbox<'a>, after: Option<u64>) -> Self {
        Self {
            response,
            buffer: Vec::new(),
            scanner: EventScanner::default(),
            held: caller.incomplete_part(),
            comment_bytes: 0,
            last_event: after,
        }
    }

    /// Receives until something can be sent: complete events, comments or the end of the
    /// stream. With `needs_event`, comments alone do not suffice. Loses nothing if it is
    /// cancelled.
    ///
    /// # Errors
    ///
    /// The stream ended early, timed out or is malformed.
    pub async fn receive(
        &mut self,
        router: &ForwardRouter,
        deadline: ClockTime,
        needs_event: bool,
    ) -> Result<EventPart, AttemptEnd> {
        loop {
            let left = time_left(router, deadline);
            let part = self.response.receive_part(&mut self.buffer);
            let received = within(left, part).await;
            let more = received.map_err(|error| attempt_end(&error))?;
            let response = &self.response;
            response.guard.note_received(&response.info);
            let scan = self.scanner.scan(&self.buffer).clone();
            self.check(&scan, more)?;
            self.held.set(self.buffer.len());
            let suffices = if needs_event {
                scan.count > 0
            } else {
                scan.complete_bytes > 0
            };
            if suffices || !more {
                self.last_event = scan.last_id.or(self.last_event);
                return Ok(EventPart {
                    bytes: if more {
                        scan.complete_bytes
                    } else {
                        self.buffer.len()
                    },
                    events: scan.count,
                    last_id: scan.last_id,
                    more,
                });
            }
        }
    }

    /// Checks that the received events follow those before them, that none is too large or
    /// cut off, and that they are not only comments.
    fn check(&self, scan: &EventScan, more: bool) -> Result<(), AttemptEnd> {
        let follows = match (self.last_event, scan.first_id) {
            (Some(last), Some(first)) => first == last + 1,
            _ => true,
        };
        let rest = &self.buffer[scan.complete_bytes..];
        let is_cut = !more && begins_event(rest) && self.response.decoder.ends_at_close();
        let comment_bytes = self.comment_bytes + scan.complete_bytes;
        let is_empty = scan.count == 0 && comment_bytes > MAX_COMMENT_BYTES;
        if follows && rest.len() <= MAX_EVENT_BYTES && !is_cut && !is_empty {
            Ok(())
        } else {
            Err(AttemptEnd::Lost)
        }
    }

    /// The bytes of a part that can be sent.
    #[must_use]
    pub fn content(&self, part: &EventPart) -> &[u8] {
        &self.buffer[..part.bytes]
    }

    /// Removes a part that was sent.
    pub fn consume(&mut self, part: &EventPart) {
        self.comment_bytes = if part.events == 0 {
            self.comment_bytes + part.bytes
        } else {
            0
        };
        self.scanner.consume(part.bytes);
        self.buffer.drain(..part.bytes);
        self.held.set(self.buffer.len());
    }
}

/// Sends a request and receives the first part of the response that can be sent to the
/// caller.
///
/// # Errors
///
/// The attempt ended without one.
pub async fn receive_first<'a>(
    router: &Rc<ForwardRouter>,
    caller: &'a CallerOutbox<'a>,
    call: &ForwardCall<'_>,
    sent: SentRequest,
    bytes: RequestBytes<'_>,
    wanted: WantedPart,
) -> Result<ResponsePart<'a>, AttemptFailure> {
    let began = router.clock.now();
    let response = sent.exchange(router, call, bytes).await?;
    note_load(router, &response);
    if is_rejection(router, &response.head) {
        let failure = AttemptFailure::new(&response.info, AttemptEnd::Rejected);
        note_rejection(router, response);
        return Err(failure);
    }
    // A rejection or an error tells nothing of how long work takes.
    let is_success = response.head.status == 200;
    if !call.route.streaming && is_success {
        note_work(router, &response, began);
    }
    if !call.route.streaming || !is_success {
        return receive_whole(router, caller, call, response).await;
    }
    let mut stream = StreamResponse::new(response, caller, wanted.after);
    match stream
        .receive(router, call.deadline, wanted.needs_event)
        .await
    {
        Ok(part) => {
            stream.response.guard.note_prompt_processed();
            Ok(ResponsePart::Events(stream, part))
        }
        Err(end) => Err(stream.response.fail(end)),
    }
}

/// Receives a response that is not a stream, up to the limit of the buffer.
async fn receive_whole<'a>(
    router: &ForwardRouter,
    caller: &'a CallerOutbox<'a>,
    call: &ForwardCall<'_>,
    mut response: IncomingResponse,
) -> Result<ResponsePart<'a>, AttemptFailure> {
    let mut body = Vec::new();
    let mut held = caller.incomplete_part();
    loop {
        let left = time_left(router, call.deadline);
        match within(left, response.receive_part(&mut body)).await {
            Ok(true) if !may_collect(caller, response.head.status, body.len()) => {
                let is_bounded = response.decoder.states_length();
                return match failure_end(response.head.status) {
                    None => Ok(ResponsePart::Large(response, body)),
                    Some(AttemptEnd::Failed) if is_bounded => {
                        Ok(ResponsePart::Large(response, body))
                    }
                    Some(end) => Err(response.fail(end)),
                };
            }
            Ok(true) => {
                response.guard.note_received(&response.info);
                held.set(body.len());
            }
            Ok(false) => break,
            Err(error) => return Err(response.fail(attempt_end(&error))),
        }
    }
    let Some(end) = failure_end(response.head.status) else {
        return Ok(ResponsePart::Whole(response, body));
    };
    let complete = BufferedResponse {
        head: response.head.clone(),
        body,
    };
    Err(AttemptFailure {
        response: (end == AttemptEnd::Failed).then_some(complete),
        ..response.fail(end)
    })
}

/// Whether to receive more of a response of which `bytes` were received before any is
/// sent. Memory decides only about responses that do not say that the server failed:
/// the others are not relayed as they are.
fn may_collect(caller: &CallerOutbox<'_>, status: u16, bytes: usize) -> bool {
    let is_kept = bytes <= MIN_BUFFERED_BODY || failure_end(status).is_some();
    bytes <= MAX_BUFFERED_BODY && (is_kept || caller.may_collect(bytes))
}

/// How a response with this status ends the attempt, if it is a failure.
/// Statuses from which a caller may conclude that the request did not run are
/// not relayed, as the server did not confirm that.
const fn failure_end(status: u16) -> Option<AttemptEnd> {
    match status {
        408 | 421 | 429 | 503 => Some(AttemptEnd::Lost),
        500.. => Some(AttemptEnd::Failed),
        _ => None,
    }
}

const fn attempt_end(error: &ChannelError) -> AttemptEnd {
    if matches!(error, ChannelError::TimedOut) {
        AttemptEnd::Silent
    } else {
        AttemptEnd::Lost
    }
}
