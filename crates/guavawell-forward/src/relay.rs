//! Relays a server's response to the caller.

use std::rc::Rc;

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::AttemptEnd;
use guavawell_core::forward::RetrySafety;
use guavawell_core::id::TokenCount;
use guavawell_core::stream::StreamOrigin;

use crate::attempt::AttemptOutcome;
use crate::attempt::time_left;
use crate::clock::timer_span;
use crate::continuation::note_begun;
use crate::http::ChannelError;
use crate::http::HeadWriter;
use crate::http::within;
use crate::http::write_chunk;
use crate::poison::parts::note_good_parts;
use crate::read_ahead::CallerOutbox;
use crate::response::BufferedResponse;
use crate::response::IncomingResponse;
use crate::response::copy_fields;
use crate::retry::RequestProgress;
use crate::router::ForwardRouter;
use crate::serve::ForwardCall;
use crate::sse::begins_event;
use crate::sse::scan_events;

/// Largest response, other than a stream, that is buffered completely before it
/// is sent, in bytes. While it is buffered, another server can still replace it
/// if it fails.
const MAX_BUFFERED_BODY: usize = 256 * 1024;
/// Length up to which a response is buffered completely even if little memory is free,
/// in bytes.
const MIN_BUFFERED_BODY: usize = 16 * 1024;
/// Largest event of a stream, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Time after its first part for which a response must have gone on to count as good.
const WELL_AFTER: ClockSpan = ClockSpan::from_millis(300);

/// How much of a stream the caller has received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamProgress {
    /// Whether the response head was sent.
    pub begun: bool,
    /// When the first part was sent.
    pub first_at: Option<ClockTime>,
    /// Where the stream began; `None` before that, and if it cannot be continued.
    pub origin: Option<StreamOrigin>,
    /// Id of the last event that was sent.
    pub last_event: Option<u64>,
    /// Number of events that were sent.
    pub events: u64,
    /// Whether the response goes on well: it was complete, or went on for
    /// [`WELL_AFTER`].
    pub goes_well: bool,
}

/// Relays a response that is not an event stream.
pub async fn relay_plain(
    router: &Rc<ForwardRouter>,
    caller: &CallerOutbox<'_>,
    call: &ForwardCall<'_>,
    mut response: IncomingResponse,
) -> AttemptOutcome {
    let mut body = Vec::new();
    loop {
        let left = time_left(router, call.deadline);
        match within(left, response.receive_part(&mut body)).await {
            Ok(true) if !may_collect(caller, response.head.status, body.len()) => {
                return relay_unbuffered(router, caller, call, response, body).await;
            }
            Ok(true) => {
                response.guard.note_received();
                caller.set_incomplete(body.len());
            }
            Ok(false) => break,
            Err(error) => {
                response.guard.note_outcome(true);
                return AttemptOutcome::Ended(attempt_end(&error), None);
            }
        }
    }
    let complete = BufferedResponse {
        head: response.head.clone(),
        body,
    };
    if let Some(end) = failure_end(complete.head.status) {
        response.guard.note_outcome(true);
        let server_failure = (end == AttemptEnd::Failed).then_some(complete);
        return AttemptOutcome::Ended(end, server_failure);
    }
    response.finish(router);
    let keep_alive = call.request.head.keep_alive && router.keeps_connections();
    let bytes = complete.bytes(call.request.head.method.as_ref() == "HEAD", keep_alive);
    let status = complete.head.status;
    drop(complete);
    deliver_last(caller, &bytes, status, keep_alive).await
}

/// Whether to receive more of a response of which `bytes` were received before any is
/// sent. Memory decides only about responses that do not say that the server failed:
/// the others are not relayed as they are.
fn may_collect(caller: &CallerOutbox<'_>, status: u16, bytes: usize) -> bool {
    let is_kept = bytes <= MIN_BUFFERED_BODY || failure_end(status).is_some();
    bytes <= MAX_BUFFERED_BODY && (is_kept || caller.may_collect(bytes))
}

/// Sends the last part of a response.
async fn deliver_last(
    caller: &CallerOutbox<'_>,
    bytes: &[u8],
    status: u16,
    keep_alive: bool,
) -> AttemptOutcome {
    caller.set_incomplete(0);
    match caller.send_last(bytes).await {
        Ok(()) => AttemptOutcome::Delivered(status, keep_alive),
        Err(_) => AttemptOutcome::CallerDisconnected,
    }
}

/// How a response with this status ends the attempt, if it is a failure.
/// Statuses from which a caller may conclude that the request did not run are
/// not relayed, as the server did not confirm that.
fn failure_end(status: u16) -> Option<AttemptEnd> {
    match status {
        408 | 421 | 429 | 503 => Some(AttemptEnd::Lost),
        500.. => Some(AttemptEnd::Failed),
        _ => None,
    }
}

fn attempt_end(error: &ChannelError) -> AttemptEnd {
    if matches!(error, ChannelError::TimedOut) {
        AttemptEnd::Silent
    } else {
        AttemptEnd::Lost
    }
}

/// Relays a response that is too large for the buffer, part by part.
async fn relay_unbuffered(
    router: &Rc<ForwardRouter>,
    caller: &CallerOutbox<'_>,
    call: &ForwardCall<'_>,
    mut response: IncomingResponse,
    mut body: Vec<u8>,
) -> AttemptOutcome {
    let mut writer = ResponseWriter::new(router, call);
    let status = response.head.status;
    writer.write_head(&response);
    loop {
        writer.write_content(&body);
        body.clear();
        caller.set_incomplete(0);
        if caller.send(writer.pending()).await.is_err() {
            return AttemptOutcome::CallerDisconnected;
        }
        writer.clear();
        let left = time_left(router, call.deadline);
        match within(left, response.receive_part(&mut body)).await {
            Ok(true) => response.guard.note_received(),
            Ok(false) => break,
            Err(_) => {
                response.guard.note_outcome(true);
                return AttemptOutcome::Truncated;
            }
        }
    }
    response.finish(router);
    writer.write_content(&body);
    writer.write_end();
    deliver_last(caller, writer.pending(), status, writer.keep_alive).await
}

/// Relays an event stream, each event as soon as it is complete.
pub async fn relay_stream(
    router: &Rc<ForwardRouter>,
    caller: &CallerOutbox<'_>,
    call: &ForwardCall<'_>,
    progress: &mut RequestProgress,
    mut response: IncomingResponse,
) -> AttemptOutcome {
    let mut writer = ResponseWriter::new(router, call);
    let mut buffered = Vec::new();
    loop {
        let more = match next_part(router, call, progress, &mut response, &mut buffered).await {
            Ok(more) => more,
            Err(error) => {
                response.guard.note_outcome(true);
                return AttemptOutcome::Ended(attempt_end(&error), None);
            }
        };
        progress.heard_at = Some(router.clock.now());
        let stream = &mut progress.stream;
        let scan = scan_events(&buffered);
        if !is_next_event(stream, scan.first_id)
            || buffered.len() - scan.complete_bytes > MAX_EVENT_BYTES
        {
            response.guard.note_outcome(true);
            return AttemptOutcome::Ended(AttemptEnd::Lost, None);
        }
        let rest = &buffered[scan.complete_bytes..];
        if !more && begins_event(rest) && response.decoder.ends_at_close() {
            // The connection was closed in the middle of an event.
            response.guard.note_outcome(true);
            return AttemptOutcome::Ended(AttemptEnd::Lost, None);
        }
        let ready = if more {
            scan.complete_bytes
        } else {
            buffered.len()
        };
        if ready > 0 || !more {
            if !stream.begun {
                writer.write_head(&response);
                stream.begun = true;
                stream.first_at = Some(router.clock.now());
                stream.origin = note_begun(router, call, progress.version.as_ref());
                response.guard.note_prompt_processed();
            }
            writer.write_content(&buffered[..ready]);
            buffered.drain(..ready);
            stream.events += scan.count;
            stream.last_event = scan.last_id.or(stream.last_event);
            charge(call, stream.events);
            note_progress(router, call, stream, !more);
        }
        caller.set_incomplete(buffered.len());
        if !more {
            response.finish(router);
            writer.write_end();
            return deliver_last(caller, writer.pending(), 200, writer.keep_alive).await;
        }
        if !writer.pending().is_empty() && caller.send(writer.pending()).await.is_err() {
            return AttemptOutcome::CallerDisconnected;
        }
        writer.clear();
    }
}

/// Notes that a response goes on well, once. A part of a prompt that crashes servers lets
/// them begin a response at most.
fn note_progress(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    stream: &mut StreamProgress,
    is_complete: bool,
) {
    let now = router.clock.now();
    let lasted = stream.first_at.map(|at| now.since(at));
    let goes_on = lasted.is_some_and(|span| span >= WELL_AFTER);
    if !stream.goes_well && (is_complete || goes_on) {
        stream.goes_well = true;
        note_good_parts(router, &call.parts);
    }
}

/// Waits for the next part of a stream. If another server can continue the
/// stream, a silent server times out; otherwise the wait lasts until the
/// request's deadline.
async fn next_part(
    router: &Rc<ForwardRouter>,
    call: &ForwardCall<'_>,
    progress: &RequestProgress,
    response: &mut IncomingResponse,
    buffered: &mut Vec<u8>,
) -> Result<bool, ChannelError> {
    let resumable =
        call.route.retry_safety == RetrySafety::Resumable && progress.sent < call.route.attempts;
    let silence = router.settings.times.stream_silence;
    loop {
        let left = router.clock.left(call.deadline);
        let limit = if resumable { silence.min(left) } else { left };
        match within(timer_span(limit), response.receive_part(buffered)).await {
            Err(ChannelError::TimedOut)
                if resumable && left > limit && !response.guard.is_silent() => {}
            Ok(more) => {
                response.guard.note_received();
                return Ok(more);
            }
            Err(error) => return Err(error),
        }
    }
}

/// Whether the first event of a part directly follows the last one that was
/// sent.
fn is_next_event(stream: &StreamProgress, first: Option<u64>) -> bool {
    match (stream.last_event, first) {
        (Some(last), Some(first)) => first == last + 1,
        _ => true,
    }
}

/// Charges the prompt and the most output tokens that the sent events can
/// contain.
fn charge(call: &ForwardCall<'_>, events: u64) {
    let Some(reservation) = &call.reservation else {
        return;
    };
    let tokens_per_event = call.engine.map_or(1, |engine| engine.event_tokens);
    let output = events
        .saturating_mul(tokens_per_event)
        .min(call.usage.output_limit.get());
    let spent = call.usage.input.saturating_add(TokenCount::new(output));
    reservation.spend(spent);
}

/// Formats a response for the caller.
struct ResponseWriter {
    pending: Vec<u8>,
    chunked: bool,
    keep_alive: bool,
}

impl ResponseWriter {
    fn new(router: &ForwardRouter, call: &ForwardCall<'_>) -> Self {
        let chunked = call.request.head.accepts_chunked;
        Self {
            pending: Vec::new(),
            chunked,
            keep_alive: chunked && call.request.head.keep_alive && router.keeps_connections(),
        }
    }

    fn write_head(&mut self, response: &IncomingResponse) {
        let mut head = HeadWriter::response(response.head.status, &response.head.reason);
        copy_fields(&response.head.fields, &mut head);
        if self.chunked {
            head.field("Transfer-Encoding", b"chunked");
        }
        if !self.keep_alive {
            head.field("Connection", b"close");
        }
        self.pending.extend_from_slice(&head.finish());
    }

    fn write_content(&mut self, content: &[u8]) {
        if self.chunked {
            write_chunk(content, &mut self.pending);
        } else {
            self.pending.extend_from_slice(content);
        }
    }

    fn write_end(&mut self) {
        if self.chunked {
            self.pending.extend_from_slice(b"0\r\n\r\n");
        }
    }

    fn pending(&self) -> &[u8] {
        &self.pending
    }

    fn clear(&mut self) {
        self.pending.clear();
    }
}
