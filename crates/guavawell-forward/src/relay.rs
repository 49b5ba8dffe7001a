//! Relays a server's response to the caller.

use std::pin::pin;
use std::rc::Rc;

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::AttemptEnd;
use guavawell_core::id::TokenCount;
use guavawell_core::stream::StreamOrigin;

use crate::attempt::AttemptFailure;
use crate::attempt::AttemptOutcome;
use crate::attempt::time_left;
use crate::continuation::note_begun;
use crate::handover::AttemptRace;
use crate::handover::LateWatch;
use crate::handover::RaceEnd;
use crate::http::ChannelError;
use crate::http::HeadWriter;
use crate::http::within;
use crate::http::write_chunk;
use crate::poison::parts::note_good_parts;
use crate::read_ahead::CallerOutbox;
use crate::receive::EventPart;
use crate::receive::ResponsePart;
use crate::receive::StreamResponse;
use crate::record::RequestRecord;
use crate::response::BufferedResponse;
use crate::response::IncomingResponse;
use crate::response::copy_fields;
use crate::retry::RequestProgress;
use crate::router::ForwardRouter;
use crate::serve::ForwardCall;

/// Largest body that does not state its length, in bytes on the wire: small chunks take
/// far more than their content. One without end must not fill the network link.
const MAX_UNFRAMED_BODY: u64 = 64 * 1024 * 1024;
/// Events beyond the tokens that a request may generate: some contain no tokens.
const EXTRA_EVENTS: u64 = 64;
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

/// Sends the first part of a response to the caller, and what follows.
pub async fn relay_part(
    router: &Rc<ForwardRouter>,
    caller: &CallerOutbox<'_>,
    call: &ForwardCall<'_>,
    record: &RequestRecord,
    progress: &mut RequestProgress,
    part: ResponsePart<'_>,
) -> AttemptOutcome {
    match part {
        ResponsePart::Events(stream, part) => {
            relay_stream(router, caller, call, record, progress, (stream, part)).await
        }
        ResponsePart::Whole(response, body) => {
            relay_whole(router, caller, call, response, body).await
        }
        ResponsePart::Large(response, body) => {
            relay_unbuffered(router, caller, call, response, body).await
        }
    }
}

/// Sends a complete response.
async fn relay_whole(
    router: &ForwardRouter,
    caller: &CallerOutbox<'_>,
    call: &ForwardCall<'_>,
    response: IncomingResponse,
    body: Vec<u8>,
) -> AttemptOutcome {
    let complete = BufferedResponse {
        head: response.head.clone(),
        body,
    };
    response.finish(router);
    let keep_alive = call.request.head.keep_alive && router.keeps_connections();
    let bytes = complete.bytes(call.request.head.method.as_ref() == "HEAD", keep_alive);
    let status = complete.head.status;
    drop(complete);
    deliver_last(caller, &bytes, status, keep_alive).await
}

/// Sends the last part of a response.
async fn deliver_last(
    caller: &CallerOutbox<'_>,
    bytes: &[u8],
    status: u16,
    keep_alive: bool,
) -> AttemptOutcome {
    match caller.send_last(bytes).await {
        Ok(()) => AttemptOutcome::Delivered(status, keep_alive),
        Err(_) => AttemptOutcome::CallerDisconnected,
    }
}

/// Relays a response that is too large for the buffer, part by part.
async fn relay_unbuffered(
    router: &ForwardRouter,
    caller: &CallerOutbox<'_>,
    call: &ForwardCall<'_>,
    mut response: IncomingResponse,
    mut body: Vec<u8>,
) -> AttemptOutcome {
    let mut writer = ResponseWriter::new(router, caller, call);
    let status = response.head.status;
    writer.write_head(&response);
    let meter = Rc::clone(response.channel.meter());
    let received_before = meter.received();
    loop {
        writer.write_content(&body);
        body.clear();
        if caller.send(writer.pending()).await.is_err() {
            response.watch.settle();
            return AttemptOutcome::CallerDisconnected;
        }
        writer.clear();
        let left = time_left(router, call.deadline);
        let received = meter.received() - received_before;
        let is_endless = !response.decoder.states_length() && received > MAX_UNFRAMED_BODY;
        let received = if is_endless {
            Err(ChannelError::BodyTooLong)
        } else if left.is_zero() {
            Err(ChannelError::TimedOut)
        } else {
            within(left, response.receive_part(&mut body)).await
        };
        match received {
            Ok(true) => response.guard.note_received(&response.info),
            Ok(false) => break,
            Err(error) => {
                let failure = response.fail(AttemptEnd::Lost);
                log::debug!("{} sent part of a response: {error}", failure.info.server);
                return AttemptOutcome::Truncated;
            }
        }
    }
    response.finish(router);
    writer.write_content(&body);
    writer.write_end();
    deliver_last(caller, writer.pending(), status, writer.keep_alive).await
}

/// Relays an event stream, each event as soon as it is complete. If its server is late,
/// the stream goes on at the server that sends the next event first.
async fn relay_stream<'a>(
    router: &Rc<ForwardRouter>,
    caller: &'a CallerOutbox<'a>,
    call: &ForwardCall<'_>,
    record: &RequestRecord,
    progress: &mut RequestProgress,
    (mut stream, mut part): (StreamResponse<'a>, EventPart),
) -> AttemptOutcome {
    let mut writer = ResponseWriter::new(router, caller, call);
    let mut watch = LateWatch::default();
    loop {
        if exceeds_output(call, progress.stream.events + part.events) {
            return AttemptOutcome::Ended(stream.response.fail(AttemptEnd::Lost));
        }
        if part.bytes > 0 || !part.more {
            begin_stream(router, call, progress, &stream.response, &mut writer);
            writer.write_content(stream.content(&part));
            stream.consume(&part);
            note_events(router, call, progress, &part);
        }
        if !part.more {
            stream.response.finish(router);
            writer.write_end();
            return deliver_last(caller, writer.pending(), 200, writer.keep_alive).await;
        }
        if !writer.pending().is_empty() && caller.send(writer.pending()).await.is_err() {
            stream.response.watch.settle();
            return AttemptOutcome::CallerDisconnected;
        }
        writer.clear();
        let info = Rc::clone(&stream.response.info);
        let race = AttemptRace {
            router,
            caller,
            call,
            record,
            info: &info,
        };
        let end = {
            let receive = pin!(async {
                let received = stream.receive(router, call.deadline, false).await;
                received.map_err(|end| AttemptFailure::new(&info, end))
            });
            race.run(progress, &mut watch, receive).await
        };
        match end {
            RaceEnd::First(next) => part = next,
            RaceEnd::Second(second) => match second.0 {
                ResponsePart::Events(other, next) => {
                    stream = other;
                    part = next;
                }
                // Only a stream can continue a stream.
                ResponsePart::Whole(response, _) | ResponsePart::Large(response, _) => {
                    return AttemptOutcome::Ended(response.fail(AttemptEnd::Lost));
                }
            },
            RaceEnd::Ended(failure) => {
                return AttemptOutcome::Ended(stream.response.fail(failure.end));
            }
        }
    }
}

/// Whether a stream has more events than the tokens that its request may generate, so that
/// it is no answer to it.
fn exceeds_output(call: &ForwardCall<'_>, events: u64) -> bool {
    let limit = call.usage.output_limit.get();
    limit > 0 && events > limit.saturating_add(EXTRA_EVENTS)
}

/// Writes the head of a stream, once.
fn begin_stream(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    progress: &mut RequestProgress,
    response: &IncomingResponse,
    writer: &mut ResponseWriter<'_>,
) {
    let stream = &mut progress.stream;
    if stream.begun {
        return;
    }
    writer.write_head(response);
    stream.begun = true;
    stream.first_at = Some(router.clock.now());
    stream.origin = note_begun(router, call, response.info.version.as_ref());
}

/// Charges the events that are about to be sent, and records them.
fn note_events(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    progress: &mut RequestProgress,
    part: &EventPart,
) {
    let stream = &mut progress.stream;
    stream.events += part.events;
    stream.last_event = part.last_id.or(stream.last_event);
    charge(call, stream.events);
    note_progress(router, call, stream, !part.more);
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
struct ResponseWriter<'a> {
    caller: &'a CallerOutbox<'a>,
    pending: Vec<u8>,
    chunked: bool,
    keep_alive: bool,
}

impl<'a> ResponseWriter<'a> {
    fn new(router: &ForwardRouter, caller: &'a CallerOutbox<'a>, call: &ForwardCall<'_>) -> Self {
        let chunked = call.request.head.accepts_chunked;
        Self {
            caller,
            pending: Vec::new(),
            chunked,
            keep_alive: chunked && call.request.head.keep_alive && router.keeps_connections(),
        }
    }

    /// Writes the head. A body that is not sent in chunks ends with its connection, which
    /// is reset if the response stays incomplete, also if the process ends.
    fn write_head(&mut self, response: &IncomingResponse) {
        if !self.chunked {
            self.caller.reset();
        }
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
