//! Sends a request to one backend server and relays the response.

use std::cell::Cell;
use std::rc::Rc;

use futures_lite::FutureExt;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::AttemptEnd;
use guavawell_core::forward::RetrySafety;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::ServerPhase;
use guavawell_core::forward::ServerPick;
use guavawell_core::forward::WorkPace;
use guavawell_core::poison::OrganisationTag;
use guavawell_core::stream::SoftwareVersion;

use crate::clock::timer_span;
use crate::connect::open_channel;
use crate::crash::AbandonedAttempt;
use crate::crash::AttemptWatch;
use crate::eligible::claim_send;
use crate::http::BodyDecoder;
use crate::http::BodyFraming;
use crate::http::ChannelError;
use crate::http::HttpChannel;
use crate::http::ResponseHead;
use crate::http::within;
use crate::in_flight::InFlightGuard;
use crate::read_ahead::CallerOutbox;
use crate::relay::relay_plain;
use crate::relay::relay_stream;
use crate::request::RequestBytes;
use crate::response::BufferedResponse;
use crate::response::IncomingResponse;
use crate::retry::RequestProgress;
use crate::router::ForwardRouter;
use crate::routing::is_allowed;
use crate::serve::ForwardCall;
use crate::server_status::apply_server_status;

/// Largest head of a server's response, in bytes.
const MAX_RESPONSE_HEAD: usize = 32 * 1024;
/// Time by which the wait for a busy server is extended before the server is
/// checked again.
const WAIT_EXTENSION: ClockSpan = ClockSpan::from_millis(200);
/// How long a fragile server that has rejected a request gets no others: about the time
/// in which slots become free.
const REJECTION_PAUSE: ClockSpan = ClockSpan::from_millis(500);
/// Largest response to another request that is skipped, in bytes.
const MAX_STRAY_BODY: usize = 256 * 1024;

/// The result of an attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The response is complete, and was sent to the caller or waits for it: its status,
    /// and whether the caller's connection may be reused.
    Delivered(u16, bool),
    /// The connection to the caller failed.
    CallerDisconnected,
    /// The response broke off after part of it was sent to the caller, and no
    /// other server can continue it.
    Truncated,
    /// The attempt brought no complete response, or a server error. Holds the
    /// server's error response if there is one.
    Ended(AttemptEnd, Option<BufferedResponse>),
}

/// Connects to a server, sends the request and relays the response.
pub async fn send_attempt(
    router: &Rc<ForwardRouter>,
    caller: &CallerOutbox<'_>,
    call: &ForwardCall<'_>,
    pick: &ServerPick,
    progress: &mut RequestProgress,
) -> AttemptOutcome {
    progress.tried.push(pick.server.clone());
    progress.idle_for = None;
    progress.heard_at = None;
    let memory_tokens = call.usage.worst_case().get();
    let suspect = router.poison.suspect(call.fingerprint);
    let guard = InFlightGuard::new(router, pick, memory_tokens, suspect);
    let began = router.clock.now();
    let Some(channel) = open_channel(router, call, &pick.server).await else {
        progress.unsent += 1;
        let passed = router.clock.now().since(began);
        progress.unsent_time =
            ClockSpan::from_millis(progress.unsent_time.as_millis() + passed.as_millis());
        return AttemptOutcome::Ended(AttemptEnd::NotSent, None);
    };
    progress.carrier = channel.carrier().cloned();
    progress.idle_for = channel.idle_for();
    router
        .await_doubted_zones(&call.service, call.deadline)
        .await;
    // All this may have changed while the connection was being opened.
    let expired = router.clock.left(call.deadline) == ClockSpan::default();
    let crashes_servers = is_refused(router, call);
    let may_send = !expired && !crashes_servers && is_allowed(router, call);
    if !may_send || !claim_send(router, call, &pick.server) {
        progress.unsent += 1;
        return AttemptOutcome::Ended(AttemptEnd::NotSent, None);
    }
    progress.sent += 1;
    progress.heard_at = Some(router.clock.now());
    progress.version = version_of(router, &pick.server);
    progress.suspicion = router.poison.mark(call.fingerprint);
    let attempt = AbandonedAttempt {
        parts: Rc::default(),
        ..abandoned_attempt(call, progress, &pick.server)
    };
    let mut watch = AttemptWatch::new(router, attempt);
    let outcome = exchange_and_relay(router, caller, call, pick, progress, channel, guard).await;
    if !matches!(outcome, AttemptOutcome::Ended(AttemptEnd::Silent, _)) {
        watch.settle();
    }
    outcome
}

/// The version of a server's software, as it is listed now.
fn version_of(router: &ForwardRouter, server: &ServerIncarnation) -> Option<SoftwareVersion> {
    let servers = router.servers.borrow();
    servers.get(server).map(|entry| entry.version.clone())
}

/// Whether the request, or a part of its prompt, is known to crash servers.
pub fn is_refused(router: &ForwardRouter, call: &ForwardCall<'_>) -> bool {
    let refused = router
        .poison
        .refused_with_parts(call.fingerprint, &call.parts);
    refused.is_some()
}

/// Describes an attempt, for the case that its server crashes after the attempt
/// was given up.
#[must_use]
pub fn abandoned_attempt(
    call: &ForwardCall<'_>,
    progress: &RequestProgress,
    server: &ServerIncarnation,
) -> AbandonedAttempt {
    let organisation = call.organisation.as_ref().map(|(id, _)| id);
    AbandonedAttempt {
        server: server.clone(),
        fingerprint: call.fingerprint,
        organisation: OrganisationTag::of(organisation),
        suspicion: progress.suspicion,
        parts: if progress.stream.goes_well {
            Rc::default()
        } else {
            Rc::clone(&call.parts)
        },
    }
}

/// Sends the request over an open connection and relays the response.
async fn exchange_and_relay(
    router: &Rc<ForwardRouter>,
    caller: &CallerOutbox<'_>,
    call: &ForwardCall<'_>,
    pick: &ServerPick,
    progress: &mut RequestProgress,
    channel: HttpChannel,
    guard: InFlightGuard,
) -> AttemptOutcome {
    let before = progress.outcome.may_have_run;
    progress.outcome.may_have_run = true;
    if let Some(reservation) = &call.reservation {
        reservation.spend(call.usage.input);
    }
    let began = router.clock.now();
    let response = match exchange(router, call, progress, channel, guard).await {
        Ok(response) => response,
        Err(end) => return AttemptOutcome::Ended(end, None),
    };
    note_load(router, &response);
    caller.set_incomplete(0);
    if is_rejection(router, &response.head) {
        progress.outcome.may_have_run = before;
        note_rejection(router, &pick.server, response);
        return AttemptOutcome::Ended(AttemptEnd::Rejected, None);
    }
    // A rejection or an error tells nothing of how long work takes.
    if !call.route.streaming && response.head.status == 200 {
        note_work(router, &response, began);
    }
    if call.route.streaming && response.head.status == 200 {
        relay_stream(router, caller, call, progress, response).await
    } else {
        relay_plain(router, caller, call, response).await
    }
}

/// Whether the server states that it did not run the request. A 400 is relayed
/// instead: the caller has to correct the request.
fn is_rejection(router: &ForwardRouter, head: &ResponseHead) -> bool {
    let not_run = head.fields.get(router.settings.names.not_run).is_some();
    head.status == 421 || (not_run && head.status != 400)
}

fn note_rejection(router: &ForwardRouter, server: &ServerIncarnation, response: IncomingResponse) {
    if response.head.status == 421 {
        // Another server has taken over the address, so this one is gone.
        let mut servers = router.servers.borrow_mut();
        servers.remove(server, ServerPhase::Leaving);
        router.pool.borrow_mut().drop_connections(server);
    }
    drop(response);
    spare_fragile_server(router, server);
}

/// Pauses a fragile server that has rejected a request: others would be rejected too.
fn spare_fragile_server(router: &ForwardRouter, server: &ServerIncarnation) {
    let now = router.clock.now();
    let mut servers = router.servers.borrow_mut();
    let service = servers.get(server).map(|entry| entry.service.clone());
    let is_fragile = service.is_some_and(|service| servers.fragility(&service, now).is_some());
    if let Some(entry) = servers.get_mut(server).filter(|_| is_fragile) {
        entry.pause(now, REJECTION_PAUSE);
    }
}

fn note_load(router: &ForwardRouter, response: &IncomingResponse) {
    let Some(text) = response.head.fields.get(router.settings.names.load) else {
        return;
    };
    let mut numbers = text.split(',').map(|part| part.trim().parse::<u32>().ok());
    if let (Some(Some(running)), Some(Some(waiting))) = (numbers.next(), numbers.next()) {
        let now = router.clock.now();
        response
            .guard
            .change(|server| server.report(now, running, waiting));
    }
}

/// Records the pace that a server states, and how long it took for a plain response.
fn note_work(router: &ForwardRouter, response: &IncomingResponse, began: ClockTime) {
    let pace = stated_pace(router, &response.head);
    let took = router.clock.now().since(began);
    response.guard.change(|server| {
        let (waiting, slots) = (server.load.waiting, server.slots);
        server.work.record(pace, took, waiting, slots);
    });
}

/// The pace of a server: the fourth figure of its load.
fn stated_pace(router: &ForwardRouter, head: &ResponseHead) -> Option<WorkPace> {
    let text = head.fields.get(router.settings.names.load)?;
    text.split(',').nth(3)?.trim().parse().ok()
}

/// Sends the request and waits for the head of the response.
async fn exchange(
    router: &Rc<ForwardRouter>,
    call: &ForwardCall<'_>,
    progress: &RequestProgress,
    mut channel: HttpChannel,
    guard: InFlightGuard,
) -> Result<IncomingResponse, AttemptEnd> {
    let bytes = RequestBytes::new(router, call, guard.server(), progress);
    let sent = Cell::new(false);
    let stray = Cell::new(false);
    let stream = channel.stream();
    let began = router.clock.now();
    let is_carried = channel.carrier().is_some();
    let is_head_request = call.request.head.method.as_ref() == "HEAD";
    channel.note_sent(bytes.size());
    let write = async {
        let written = bytes.send(&stream).await;
        // A server may respond without reading the whole request, so a write
        // error does not end the attempt.
        sent.set(written.is_ok());
        std::future::pending().await
    };
    let read = async {
        let mut limit = attempt_limit(router, call, progress);
        loop {
            let head = response_head(&mut channel, is_head_request, |head| {
                apply_server_status(router, guard.server(), head);
                let echoed_id = head.fields.get(router.settings.names.request);
                let is_own = echoed_id.is_none_or(|id| id == call.id);
                stray.set(stray.get() || !is_own);
                is_own
            });
            match within(timer_span(limit), head).await {
                Err(ChannelError::TimedOut) if should_keep_waiting(router, call, &guard) => {
                    limit = WAIT_EXTENSION.min(router.clock.left(call.deadline));
                }
                result => return result,
            }
        }
    };
    // A server that has restarted cannot respond to requests that were sent to
    // it before. A response that has already arrived is still read first, since
    // the read is polled before this future.
    let restarted = async {
        guard.server_restarted().await;
        Err(ChannelError::Closed)
    };
    let result = write.or(read).or(restarted).await;
    match result {
        Ok(head) => {
            guard.note_received();
            Ok(IncomingResponse {
                decoder: BodyDecoder::new(head.framing),
                reusable: sent.get() && !stray.get(),
                channel,
                head,
                guard,
            })
        }
        Err(error) => {
            // A connection over the lost way says nothing of the server.
            if is_carried || !router.is_path_lost(&call.service) {
                guard.note_outcome(true);
            }
            log::debug!("no response from {}: {error}", guard.server());
            if matches!(error, ChannelError::TimedOut) {
                guard.note_silence(began);
                Err(AttemptEnd::Silent)
            } else {
                Err(AttemptEnd::Lost)
            }
        }
    }
}

/// Whether to keep waiting for the head after the attempt's time limit. A
/// streaming server that still sends data to other requests is taken to be
/// busy, not dead.
fn should_keep_waiting(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    guard: &InFlightGuard,
) -> bool {
    let left = router.clock.left(call.deadline);
    call.route.streaming && left > ClockSpan::default() && !guard.is_silent()
}

/// How long an attempt waits for the head of the response.
fn attempt_limit(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    progress: &RequestProgress,
) -> ClockSpan {
    let left = router.clock.left(call.deadline);
    let last = progress.sent >= call.route.attempts || !router.poison.may_retry(call.fingerprint);
    let times = &router.settings.times;
    let limit = match call.route.retry_safety {
        _ if last => left,
        RetrySafety::Once => left,
        RetrySafety::Idempotent => {
            let usual = call.route.target.as_millis() * 3 / 2;
            ClockSpan::from_millis(usual).max(times.attempt)
        }
        RetrySafety::Resumable => times.stream_silence.max(call.route.target),
    };
    limit.min(left)
}

/// Reads response heads until `is_own` accepts one. Responses to other requests
/// that arrive first are skipped; the connection is not reused after them.
pub(crate) async fn response_head(
    channel: &mut HttpChannel,
    is_head_request: bool,
    is_own: impl Fn(&ResponseHead) -> bool,
) -> Result<ResponseHead, ChannelError> {
    loop {
        let length = channel.head(MAX_RESPONSE_HEAD).await?;
        let head = ResponseHead::parse(&channel.received()[..length], is_head_request)?;
        channel.consume(length);
        if (100..200).contains(&head.status) {
            continue;
        }
        if is_own(&head) {
            return Ok(head);
        }
        skip_body(channel, &head).await?;
    }
}

async fn skip_body(channel: &mut HttpChannel, head: &ResponseHead) -> Result<(), ChannelError> {
    channel.body(head.framing, MAX_STRAY_BODY).await?;
    if head.framing == BodyFraming::UntilClose {
        // A body without a length lasts until the connection is closed, so no
        // other response follows.
        return Err(ChannelError::Closed);
    }
    Ok(())
}

/// The time until `deadline`, as a timeout.
#[must_use]
pub fn time_left(router: &ForwardRouter, deadline: ClockTime) -> std::time::Duration {
    timer_span(router.clock.left(deadline))
}
