//! One attempt at one backend server.

use std::cell::Cell;
use std::rc::Rc;

use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::AttemptEnd;
use guavawell_core::forward::RetrySafety;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::ServerPhase;
use guavawell_core::forward::ServerPick;
use guavawell_core::poison::OrganisationTag;

use crate::answer::OpenAnswer;
use crate::answer::PlainAnswer;
use crate::clock::timer_span;
use crate::crash::AbandonedAttempt;
use crate::crash::AttemptWatch;
use crate::http::BodyDecoder;
use crate::http::BodyFraming;
use crate::http::ChannelError;
use crate::http::HttpChannel;
use crate::http::ResponseHead;
use crate::http::within;
use crate::judge::is_allowed;
use crate::lease::ServerLease;
use crate::open::open_channel;
use crate::relay::relay_plain;
use crate::relay::relay_stream;
use crate::request::request_bytes;
use crate::router::ForwardRouter;
use crate::send::RequestProgress;
use crate::serve::ForwardCall;
use crate::words::take_words;

/// Largest head of a server's answer, in bytes.
const ANSWER_HEAD_BYTES: usize = 32 * 1024;
/// Pause between looks at whether a silent server deserves more time.
const PATIENCE_STEP: ClockSpan = ClockSpan::from_millis(200);
/// Largest answer to another request that is read past, in bytes.
const STRAY_BYTES: usize = 256 * 1024;

/// What became of an attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The caller has the answer, with this status; whether its connection may
    /// be used again.
    Delivered(u16, bool),
    /// The caller's connection failed.
    CallerLost,
    /// The answer broke off after its beginning was sent, and nothing can
    /// continue it.
    Cut,
    /// No complete answer; the server's own failure if it told one.
    Ended(AttemptEnd, Option<PlainAnswer>),
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
    let lease = ServerLease::new(router, pick, memory, suspect);
    let began = router.clock.now();
    let Some(channel) = open_channel(router, call, &pick.server).await else {
        progress.unsent += 1;
        let passed = router.clock.now().since(began);
        progress.unsent_time =
            ClockSpan::from_millis(progress.unsent_time.as_millis() + passed.as_millis());
        return AttemptOutcome::Ended(AttemptEnd::NotSent, None);
    };
    let late = router.clock.left(call.ends_at) == ClockSpan::default();
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
    let mut watch = AttemptWatch::new(router, abandoned(call, progress, &pick.server));
    let outcome = exchange_and_relay(router, caller, call, pick, progress, channel, lease).await;
    if !matches!(outcome, AttemptOutcome::Ended(AttemptEnd::Silent, _)) {
        watch.settle();
    }
    outcome
}

/// What is remembered of an attempt if nobody waits for its answer.
#[must_use]
pub fn abandoned(
    call: &ForwardCall<'_>,
    progress: &RequestProgress,
    server: &ServerIncarnation,
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
    lease: ServerLease,
) -> AttemptOutcome {
    let before = progress.outcome.may_have_run;
    progress.outcome.may_have_run = true;
    if let Some(reservation) = &call.reservation {
        reservation.spend(call.usage.input);
    }
    let answer = match exchange(router, call, progress, channel, lease).await {
        Ok(answer) => answer,
        Err(end) => return AttemptOutcome::Ended(end, None),
    };
    note_load(router, &answer);
    if is_rejection(router, &answer.head) {
        progress.outcome.may_have_run = before;
        note_rejection(router, &pick.server, answer);
        return AttemptOutcome::Ended(AttemptEnd::Rejected, None);
    }
    if call.route.streaming && answer.head.status == 200 {
        relay_stream(router, caller, call, progress, answer).await
    } else {
        relay_plain(router, caller, call, answer).await
    }
}

/// Whether the server said that it did not run the request. A malformed
/// request is the caller's to know.
fn is_rejection(router: &ForwardRouter, head: &ResponseHead) -> bool {
    let told = head.fields.get(router.settings.names.not_run).is_some();
    head.status == 421 || (told && head.status != 400)
}

fn note_rejection(router: &ForwardRouter, server: &ServerIncarnation, answer: OpenAnswer) {
    if answer.head.status == 421 {
        // Another server has the address: this one is gone.
        let mut servers = router.servers.borrow_mut();
        servers.remove(server, ServerPhase::Leaving);
        router.pool.borrow_mut().forget(server);
    }
    drop(answer);
}

fn note_load(router: &ForwardRouter, answer: &OpenAnswer) {
    let Some(text) = answer.head.fields.get(router.settings.names.load) else {
        return;
    };
    let mut numbers = text.split(',').map(|part| part.trim().parse::<u32>().ok());
    if let (Some(Some(running)), Some(Some(waiting))) = (numbers.next(), numbers.next()) {
        let now = router.clock.now();
        answer
            .lease
            .change(|server| server.report(now, running, waiting));
    }
}

/// Sends the request and waits for the head of its answer.
async fn exchange(
    router: &Rc<ForwardRouter>,
    call: &ForwardCall<'_>,
    progress: &RequestProgress,
    mut channel: HttpChannel,
    lease: ServerLease,
) -> Result<OpenAnswer, AttemptEnd> {
    let bytes = request_bytes(router, call, lease.server(), progress);
    let sent = Cell::new(false);
    let stray = Cell::new(false);
    let stream = channel.stream();
    let to_head = call.request.head.method.as_ref() == "HEAD";
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
            let head = answer_head(&mut channel, to_head, |head| {
                take_words(router, lease.server(), head);
                let told = head.fields.get(router.settings.names.request);
                let own = told.is_none_or(|told| told == call.id);
                stray.set(stray.get() || !own);
                own
            });
            match within(timer_span(limit), head).await {
                Err(ChannelError::TimedOut) if waits_on(router, call, &lease) => {
                    limit = PATIENCE_STEP.min(router.clock.left(call.ends_at));
                }
                result => return result,
            }
        }
    };
    // What the former life of a server that started again was sent is lost;
    // what it still answered goes first.
    let ended = async {
        lease.life_ended().await;
        Err(ChannelError::Closed)
    };
    let result = write.or(read).or(ended).await;
    match result {
        Ok(head) => {
            lease.heard();
            Ok(OpenAnswer {
                decoder: BodyDecoder::new(head.framing),
                clean: sent.get() && !stray.get(),
                channel,
                head,
                lease,
            })
        }
        Err(error) => {
            lease.rate(true);
            log::debug!("no answer from {}: {error}", lease.server());
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
fn waits_on(router: &ForwardRouter, call: &ForwardCall<'_>, lease: &ServerLease) -> bool {
    let left = router.clock.left(call.ends_at);
    call.route.streaming && left > ClockSpan::default() && !lease.is_silent()
}

/// How long an attempt may go without the head of an answer.
fn attempt_limit(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    progress: &RequestProgress,
) -> ClockSpan {
    let left = router.clock.left(call.ends_at);
    let last = progress.sent >= call.route.attempts || !router.poison.may_repeat(call.fingerprint);
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

/// Reads the head of the answer that `is_own` tells to be the request's. Answers
/// to other requests that come before it are read past; the connection is not
/// used again after them.
async fn answer_head(
    channel: &mut HttpChannel,
    to_head: bool,
    is_own: impl Fn(&ResponseHead) -> bool,
) -> Result<ResponseHead, ChannelError> {
    loop {
        let length = channel.head(ANSWER_HEAD_BYTES).await?;
        let head = ResponseHead::parse(&channel.received()[..length], to_head)?;
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
    channel.body(head.framing, STRAY_BYTES).await?;
    if head.framing == BodyFraming::UntilClose {
        // Nothing comes after it.
        return Err(ChannelError::Closed);
    }
    Ok(())
}

/// The time until the request's end, for a step that must end by then.
#[must_use]
pub fn time_left(router: &ForwardRouter, ends_at: ClockTime) -> std::time::Duration {
    timer_span(router.clock.left(ends_at))
}
