//! A server's answer on its way to the caller.

use std::rc::Rc;

use guavawell_core::clock::ClockTime;
use guavawell_core::forward::AttemptEnd;
use guavawell_core::forward::RetrySafety;
use guavawell_core::id::TokenCount;

use crate::answer::OpenAnswer;
use crate::answer::PlainAnswer;
use crate::answer::copy_fields;
use crate::attempt::AttemptOutcome;
use crate::attempt::time_left;
use crate::clock::timer_span;
use crate::events::scan_events;
use crate::http::ChannelError;
use crate::http::HeadWriter;
use crate::http::HttpChannel;
use crate::http::within;
use crate::http::write_chunk;
use crate::router::ForwardRouter;
use crate::send::RequestProgress;
use crate::serve::ForwardCall;

/// Largest plain answer that is held back until it is whole, in bytes; up to
/// here a spoiled answer can be replaced by another server's.
const HELD_ANSWER: usize = 256 * 1024;
/// Largest event of a stream, in bytes.
const MAX_EVENT: usize = 1024 * 1024;

/// A stream as far as the caller has it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamProgress {
    /// The head was sent.
    pub begun: bool,
    /// When the first part of the stream was sent.
    pub first_at: Option<ClockTime>,
    /// Id of the last event that was sent.
    pub last_event: Option<u64>,
    /// Events that were sent.
    pub events: u64,
}

/// Relays an answer that is not a stream of events.
pub async fn relay_plain(
    router: &Rc<ForwardRouter>,
    caller: &HttpChannel,
    call: &ForwardCall<'_>,
    mut answer: OpenAnswer,
) -> AttemptOutcome {
    let mut body = Vec::new();
    loop {
        let left = time_left(router, call.ends_at);
        match within(left, answer.part(&mut body)).await {
            Ok(true) if body.len() > HELD_ANSWER => {
                return pass_through(router, caller, call, answer, body).await;
            }
            Ok(true) => answer.lease.heard(),
            Ok(false) => break,
            Err(error) => {
                answer.lease.rate(true);
                return AttemptOutcome::Ended(end_of(&error), None);
            }
        }
    }
    let whole = PlainAnswer {
        head: answer.head.clone(),
        body,
    };
    if let Some(end) = failure_of(whole.head.status) {
        answer.lease.rate(true);
        let told = (end == AttemptEnd::Failed).then_some(whole);
        return AttemptOutcome::Ended(end, told);
    }
    answer.finish(router);
    let keep = call.request.head.keep && !router.is_leaving();
    let bytes = whole.bytes(call.request.head.method.as_ref() == "HEAD", keep);
    match caller.send(&bytes).await {
        Ok(()) => AttemptOutcome::Delivered(whole.head.status, keep),
        Err(_) => AttemptOutcome::CallerLost,
    }
}

/// Whether a status is a failure of the server. Statuses that would promise
/// that the request has not run are not passed on without the server's proof.
fn failure_of(status: u16) -> Option<AttemptEnd> {
    match status {
        408 | 421 | 429 | 503 => Some(AttemptEnd::Lost),
        500.. => Some(AttemptEnd::Failed),
        _ => None,
    }
}

fn end_of(error: &ChannelError) -> AttemptEnd {
    if matches!(error, ChannelError::TimedOut) {
        AttemptEnd::Silent
    } else {
        AttemptEnd::Lost
    }
}

/// Relays a large answer as it comes.
async fn pass_through(
    router: &Rc<ForwardRouter>,
    caller: &HttpChannel,
    call: &ForwardCall<'_>,
    mut answer: OpenAnswer,
    mut body: Vec<u8>,
) -> AttemptOutcome {
    let mut writer = StreamWriter::new(router, call);
    let status = answer.head.status;
    writer.begin(&answer);
    loop {
        writer.content(&body);
        body.clear();
        if caller.send(writer.out()).await.is_err() {
            return AttemptOutcome::CallerLost;
        }
        writer.clear();
        let left = time_left(router, call.ends_at);
        match within(left, answer.part(&mut body)).await {
            Ok(true) => answer.lease.heard(),
            Ok(false) => break,
            Err(_) => {
                answer.lease.rate(true);
                return AttemptOutcome::Cut;
            }
        }
    }
    answer.finish(router);
    writer.content(&body);
    writer.end();
    match caller.send(writer.out()).await {
        Ok(()) => AttemptOutcome::Delivered(status, writer.keep),
        Err(_) => AttemptOutcome::CallerLost,
    }
}

/// Relays a stream of events, each as soon as it is whole.
pub async fn relay_stream(
    router: &Rc<ForwardRouter>,
    caller: &HttpChannel,
    call: &ForwardCall<'_>,
    progress: &mut RequestProgress,
    mut answer: OpenAnswer,
) -> AttemptOutcome {
    let mut writer = StreamWriter::new(router, call);
    let mut held = Vec::new();
    loop {
        let more = match next_part(router, call, progress, &mut answer, &mut held).await {
            Ok(more) => more,
            Err(error) => {
                answer.lease.rate(true);
                return AttemptOutcome::Ended(end_of(&error), None);
            }
        };
        let stream = &mut progress.stream;
        let scan = scan_events(&held);
        if !follows(stream, scan.first_id) || held.len() - scan.whole > MAX_EVENT {
            answer.lease.rate(true);
            return AttemptOutcome::Ended(AttemptEnd::Lost, None);
        }
        let rest = held.len() - scan.whole;
        if !more && rest > 0 && answer.decoder.ends_with_connection() {
            // The connection ended within an event.
            answer.lease.rate(true);
            return AttemptOutcome::Ended(AttemptEnd::Lost, None);
        }
        let ready = if more { scan.whole } else { held.len() };
        if ready > 0 || !more {
            if !stream.begun {
                writer.begin(&answer);
                stream.begun = true;
                stream.first_at = Some(router.clock.now());
                answer.lease.prompt_read();
            }
            writer.content(&held[..ready]);
            held.drain(..ready);
            stream.events += scan.count;
            stream.last_event = scan.last_id.or(stream.last_event);
            charge(call, stream.events);
        }
        if !more {
            writer.end();
        }
        if !writer.out().is_empty() && caller.send(writer.out()).await.is_err() {
            return AttemptOutcome::CallerLost;
        }
        writer.clear();
        if !more {
            answer.finish(router);
            return AttemptOutcome::Delivered(200, writer.keep);
        }
    }
}

/// Waits for more of a stream. One that another server can continue is given
/// up when its server is silent; all others wait until the request's end.
async fn next_part(
    router: &Rc<ForwardRouter>,
    call: &ForwardCall<'_>,
    progress: &RequestProgress,
    answer: &mut OpenAnswer,
    held: &mut Vec<u8>,
) -> Result<bool, ChannelError> {
    let movable =
        call.route.retry_safety == RetrySafety::Resumable && progress.sent < call.route.attempts;
    let silence = router.settings.times.stream_silence;
    loop {
        let left = router.clock.left(call.ends_at);
        let limit = if movable { silence.min(left) } else { left };
        match within(timer_span(limit), answer.part(held)).await {
            Err(ChannelError::TimedOut) if movable && left > limit && !answer.lease.is_silent() => {
            }
            Ok(more) => {
                answer.lease.heard();
                return Ok(more);
            }
            Err(error) => return Err(error),
        }
    }
}

/// Whether the first event of a part comes right after the last one sent.
fn follows(stream: &StreamProgress, first: Option<u64>) -> bool {
    match (stream.last_event, first) {
        (Some(last), Some(first)) => first == last + 1,
        _ => true,
    }
}

/// Charges the prompt and what the events hold at most.
fn charge(call: &ForwardCall<'_>, events: u64) {
    let Some(reservation) = &call.reservation else {
        return;
    };
    let each = call.engine.map_or(1, |engine| engine.event_tokens);
    let output = events
        .saturating_mul(each)
        .min(call.usage.output_limit.get());
    let spent = call.usage.input.saturating_add(TokenCount::new(output));
    reservation.spend(spent);
}

/// Frames an answer for the caller.
struct StreamWriter {
    out: Vec<u8>,
    chunked: bool,
    keep: bool,
}

impl StreamWriter {
    fn new(router: &ForwardRouter, call: &ForwardCall<'_>) -> Self {
        let chunked = call.request.head.takes_chunks;
        Self {
            out: Vec::new(),
            chunked,
            keep: chunked && call.request.head.keep && !router.is_leaving(),
        }
    }

    fn begin(&mut self, answer: &OpenAnswer) {
        let mut head = HeadWriter::response(answer.head.status, &answer.head.reason);
        copy_fields(&answer.head.fields, &mut head);
        if self.chunked {
            head.field("Transfer-Encoding", b"chunked");
        }
        if !self.keep {
            head.field("Connection", b"close");
        }
        self.out.extend_from_slice(&head.finish());
    }

    fn content(&mut self, content: &[u8]) {
        if self.chunked {
            write_chunk(content, &mut self.out);
        } else {
            self.out.extend_from_slice(content);
        }
    }

    fn end(&mut self) {
        if self.chunked {
            self.out.extend_from_slice(b"0\r\n\r\n");
        }
    }

    fn out(&self) -> &[u8] {
        &self.out
    }

    fn clear(&mut self) {
        self.out.clear();
    }
}
