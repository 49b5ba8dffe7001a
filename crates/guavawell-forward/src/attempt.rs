//! One attempt at one backend server.

use std::cell::Cell;
use std::rc::Rc;

use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::AttemptEnd;
use guavawell_core::forward::RepeatKind;
use guavawell_core::forward::ServerLife;
use guavawell_core::forward::ServerPhase;
use guavawell_core::forward::ServerPick;
use guavawell_core::poison::OrganisationTag;

use crate::clock::timer_span;
use crate::connect::open_channel;
use crate::crash::AbandonedAttempt;
use crate::crash::AttemptWatch;
use crate::http::BodyDecoder;
use crate::http::BodyFraming;
use crate::http::ChannelError;
use crate::http::HttpChannel;
use crate::http::ResponseHead;
use crate::http::within;
use crate::in_flight::InFlightGuard;
use crate::relay::relay_plain;
use crate::relay::relay_stream;
use crate::request::request_bytes;
use crate::response::BufferedResponse;
use crate::response::IncomingResponse;
use crate::retry::RequestProgress;
use crate::router::ForwardRouter;
use crate::routing::is_allowed;
use crate::serve::ForwardCall;
use crate::server_status::apply_server_status;

/// Largest head of a server's answer, in bytes.
const MAX_RESPONSE_HEAD: usize = 32 * 1024;
/// Pause between looks at whether a silent server deserves more time.
const WAIT_EXTENSION: ClockSpan = ClockSpan::from_millis(200);
/// Largest answer to another request that is read past, in bytes.
const MAX_STRAY_BODY: usize = 256 * 1024;

/// What became of an attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The caller has the answer, with this status; whether its connection may
    /// be used again.
    Delivered(u16, bool),
    /// The caller's connection failed.
    CallerDisconnected,
    /// The answer broke off after its beginning was sent, and nothing can
    /// continue it.
    Truncated,
    /// No complete answer; the server's own failure if it told one.
    Ended(AttemptEnd, Option<BufferedResponse>),
}

/// Sends a request to a server and relays the answer.
pub async fn send_attempt(
    router: &Rc<ForwardRouter>,
    caller: &HttpChannel,
    call: &ForwardCall<'_>,
    pick: &ServerPick,
    progress: &mut RequestProgress,
) -> AttemptOutcome {
    progress.tried.push(pick.server.clone());
    let memory = call.usage.worst_case().get();
    let suspect = router.poison.suspect(call.fingerprint);
    let guard = InFlightGuard::new(router, pick, memory, suspect);
    let began = router.clock.now();
    let Some(channel) = open_channel(router, call, &pick.server).await else {
        progress.unsent += 1;
        let passed = router.clock.now().since(began);
        progress.unsent_time =
            ClockSpan::from_millis(progress.unsent_time.as_millis() + passed.as_millis());
        return AttemptOutcome::Ended(AttemptEnd::NotSent, None);
    };
    let late = router.clock.left(call.deadline) == ClockSpan::default();
    if late || !router.takes_requests(&pick.server) || !is_allowed(router, call) {
        progress.unsent += 1;
        return AttemptOutcome::Ended(AttemptEnd::NotSent, None);
    }
    if router.poison.refused_for(call.fingerprint).is_some() {
        // It became known while the connection was opened.
        return AttemptOutcome::Ended(AttemptEnd::NotSent, None);
    }
    progress.sent += 1;
    progress.suspicion = router.poison.mark(call.fingerprint);
    let mut watch = AttemptWatch::new(router, abandoned_attempt(call, progress, &pick.server));
    let outcome = exchange_and_relay(router, caller, call, pick, progress, channel, guard).await;
    if !matches!(outcome, AttemptOutcome::Ended(AttemptEnd::Silent, _)) {
        watch.settle();
    }
    outcome
}

/// What is remembered of an attempt if nobody waits for its answer.
#[must_use]
pub fn abandoned_attempt(
    call: &ForwardCall<'_>,
    progress: &RequestProgress,
    server: &ServerLife,
) -> AbandonedAttempt {
    let organisation = call.organisation.as_ref().map(|(id, _)| id);
    AbandonedAttempt {
        server: server.clone(),
        fingerprint: call.fingerprint,
        organisation: OrganisationTag::of(organisation),
        began: progress.suspicion,
    }
}

/// Sends the request over a connection and relays the answer.
async fn exchange_and_relay(
    router: &Rc<ForwardRouter>,
    caller: &HttpChannel,
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
    let response = match exchange(router, call, progress, channel, guard).await {
        Ok(response) => response,
        Err(end) => return AttemptOutcome::Ended(end, None),
    };
    note_load(router, &response);
    if is_rejection(router, &response.head) {
        progress.outcome.may_have_run = before;
        note_rejection(router, &pick.server, response);
        return AttemptOutcome::Ended(AttemptEnd::Rejected, None);
    }
    if call.route.streaming && response.head.status == 200 {
        relay_stream(router, caller, call, progress, response).await
    } else {
        relay_plain(router, caller, call, response).await
    }
}

/// Whether the server said that it did not run the request. A malformed
/// request is the caller's to know.
fn is_rejection(router: &ForwardRouter, head: &ResponseHead) -> bool {
    let not_run = head.fields.get(router.settings.names.not_run).is_some();
    head.status == 421 || (not_run && head.status != 400)
}

fn note_rejection(router: &ForwardRouter, server: &ServerLife, response: IncomingResponse) {
    if response.head.status == 421 {
        // Another server has the address: this one is gone.
        let mut servers = router.servers.borrow_mut();
        servers.remove(server, ServerPhase::Leaving);
        router.pool.borrow_mut().drop_connections(server);
    }
    drop(response);
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

/// Sends the request and waits for the head of its answer.
async fn exchange(
    router: &Rc<ForwardRouter>,
    call: &ForwardCall<'_>,
    progress: &RequestProgress,
    mut channel: HttpChannel,
    guard: InFlightGuard,
) -> Result<IncomingResponse, AttemptEnd> {
    let bytes = request_bytes(router, call, guard.server(), progress);
    let sent = Cell::new(false);
    let stray = Cell::new(false);
    let stream = channel.stream();
    let is_head_request = call.request.head.method.as_ref() == "HEAD";
    let write = async {
        let written = (&*stream).write_all(&bytes).await;
        // A server may answer without reading the whole request, so a failure
        // to write is not yet the end.
        sent.set(written.is_ok());
        std::future::pending().await
    };
    let read = async {
        let mut limit = attempt_limit(router, call, progress);
        loop {
            let head = response_head(&mut channel, is_head_request, |head| {
                apply_server_status(router, guard.server(), head);
                let echoed_id = head.fields.get(router.settings.names.request);
                let own = echoed_id.is_none_or(|id| id == call.id);
                stray.set(stray.get() || !own);
                own
            });
            match within(timer_span(limit), head).await {
                Err(ChannelError::TimedOut) if should_keep_waiting(router, call, &guard) => {
                    limit = WAIT_EXTENSION.min(router.clock.left(call.deadline));
                }
                result => return result,
            }
        }
    };
    // What the former life of a server that started again was sent is lost;
    // what it still answered goes first.
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
                clean: sent.get() && !stray.get(),
                channel,
                head,
                guard,
            })
        }
        Err(error) => {
            guard.note_outcome(true);
            log::debug!("no answer from {}: {error}", guard.server());
            let timed_out = matches!(error, ChannelError::TimedOut);
            Err(if timed_out {
                AttemptEnd::Silent
            } else {
                AttemptEnd::Lost
            })
        }
    }
}

/// Whether to go on waiting for a head after the attempt's time is over: a
/// stream's server that talks to others is only busy.
fn should_keep_waiting(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    guard: &InFlightGuard,
) -> bool {
    let left = router.clock.left(call.deadline);
    call.route.streaming && left > ClockSpan::default() && !guard.is_silent()
}

/// How long an attempt may go without the head of an answer.
fn attempt_limit(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    progress: &RequestProgress,
) -> ClockSpan {
    let left = router.clock.left(call.deadline);
    let last = progress.sent >= call.route.attempts || !router.poison.may_repeat(call.fingerprint);
    let times = &router.settings.times;
    let limit = match call.route.repeat {
        _ if last => left,
        RepeatKind::Once => left,
        RepeatKind::Idempotent => {
            let usual = call.route.target.as_millis() * 3 / 2;
            ClockSpan::from_millis(usual).max(times.attempt)
        }
        RepeatKind::Resumable => times.stream_silence.max(call.route.target),
    };
    limit.min(left)
}

/// Reads the head of the answer that `is_own` tells to be the request's. Answers
/// to other requests that come before it are read past; the connection is not
/// used again after them.
async fn response_head(
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
        // Nothing comes after it.
        return Err(ChannelError::Closed);
    }
    Ok(())
}

/// The time until the request's end, for a step that must end by then.
#[must_use]
pub fn time_left(router: &ForwardRouter, deadline: ClockTime) -> std::time::Duration {
    timer_span(router.clock.left(deadline))
}
