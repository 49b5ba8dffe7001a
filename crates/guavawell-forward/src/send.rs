//! The attempts of one request.

use std::rc::Rc;

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::AttemptEnd;
use guavawell_core::forward::ChoiceError;
use guavawell_core::forward::ChoiceRequest;
use guavawell_core::forward::ForwardRefusal;
use guavawell_core::forward::NextStep;
use guavawell_core::forward::RequestCharge;
use guavawell_core::forward::RequestOutcome;
use guavawell_core::forward::RetrySafety;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::ServerPick;
use guavawell_core::forward::choose_server;
use guavawell_core::forward::next_step;
use guavawell_core::poison::SuspicionMark;
use guavawell_fleet::event::EventDraft;

use crate::answer::PlainAnswer;
use crate::attempt::AttemptOutcome;
use crate::attempt::abandoned;
use crate::attempt::send_attempt;
use crate::crash::note_lost;
use crate::http::HttpChannel;
use crate::judge::judge_again;
use crate::record::RequestRecord;
use crate::refuse::RefusalAnswer;
use crate::relay::StreamProgress;
use crate::router::ForwardRouter;
use crate::serve::ForwardCall;
use crate::serve::refuse;

/// Servers that may refuse a connection before a request is turned away.
const MAX_UNSENT: usize = 4;
/// Time that may go into connections that were not to be had: as long as so many
/// dead servers take.
const UNSENT_PATIENCE: ClockSpan = ClockSpan::from_millis(1_000);
/// Least time for another attempt.
const LEAST_TIME: ClockSpan = ClockSpan::from_millis(15);
/// Retry-After where no server is to be had: about the time in which a server
/// that restarts is listed again.
const RETRY_NO_SERVER: ClockSpan = ClockSpan::from_millis(1_000);
/// Retry-After where all servers are full: a few of their answers.
const RETRY_FULL: ClockSpan = ClockSpan::from_millis(600);
/// Spread of Retry-After, so that callers do not return at one moment.
const RETRY_SPREAD_MS: u64 = 400;

/// What became of a request so far.
#[derive(Debug, Default)]
pub struct RequestProgress {
    /// Servers that were chosen.
    pub tried: Vec<ServerIncarnation>,
    /// Attempts that reached a server.
    pub sent: u32,
    /// Attempts that never left this instance.
    pub unsent: usize,
    /// Time that went into them.
    pub unsent_time: ClockSpan,
    /// What it pays if it ends without its whole answer.
    pub outcome: RequestOutcome,
    /// How far the request was suspected when it was last sent.
    pub suspicion: SuspicionMark,
    /// The stream as far as the caller has it.
    pub stream: StreamProgress,
}

/// Sends a request until the caller has an answer; returns whether the
/// caller's connection may be used again.
pub async fn run_attempts(
    router: &Rc<ForwardRouter>,
    caller: &HttpChannel,
    mut call: ForwardCall<'_>,
    record: &RequestRecord,
) -> bool {
    let mut progress = RequestProgress::default();
    let mut failure = None;
    router.count_request(&call.service);
    loop {
        let judged = judge_again(router, &mut call, progress.outcome.may_have_run, record);
        let call = &call;
        let pick = match judged.and_then(|()| choose(router, call, &progress)) {
            Ok(pick) => pick,
            Err(refusal) => {
                return end_without_answer(
                    router, caller, call, record, &progress, refusal, failure,
                )
                .await;
            }
        };
        record.note("server", &pick.server);
        let outcome = send_attempt(router, caller, call, &pick, &mut progress).await;
        record.note("attempts", progress.sent);
        note_suspicion(router, call, &progress, &pick.server, &outcome).await;
        let (end, answer) = match outcome {
            AttemptOutcome::Delivered(status, keep) => {
                note_stream(record, &progress.stream);
                record.answered(status);
                return keep;
            }
            AttemptOutcome::CallerLost => return false,
            AttemptOutcome::Cut => {
                record.cut();
                return false;
            }
            AttemptOutcome::Ended(end, answer) => (end, answer),
        };
        progress.outcome.note(end);
        note_attempt(router, call, &pick, end);
        failure = answer.or(failure);
        let again = may_repeat(router, call, &progress, end);
        let refusal = match next_step(call.route.retry_safety, end, again) {
            NextStep::Retry => continue,
            NextStep::Relay => ForwardRefusal::AnswerLost,
            NextStep::Refuse(refusal) => refusal,
        };
        return end_without_answer(router, caller, call, record, &progress, refusal, failure).await;
    }
}

/// Ends a request whose last attempt brought no answer. A failure that a
/// server told in an earlier one says more than a refusal of the router's own.
async fn end_without_answer(
    router: &ForwardRouter,
    caller: &HttpChannel,
    call: &ForwardCall<'_>,
    record: &RequestRecord,
    progress: &RequestProgress,
    refusal: ForwardRefusal,
    failure: Option<PlainAnswer>,
) -> bool {
    settle(call, record, progress);
    match failure {
        Some(answer) if !progress.stream.begun => {
            relay_failure(router, caller, call, record, &answer).await
        }
        _ => give_up(router, caller, call, record, progress, refusal).await,
    }
}

/// Charges a request that ends without its whole answer.
fn settle(call: &ForwardCall<'_>, record: &RequestRecord, progress: &RequestProgress) {
    let Some(reservation) = &call.reservation else {
        return;
    };
    let outcome = RequestOutcome {
        delivered: progress.stream.events,
        ..progress.outcome
    };
    let charge = outcome.charge();
    record.note("charge", charge.as_str());
    if charge == RequestCharge::Nothing {
        reservation.release();
    }
}

/// Notes how much of a stream the caller has, and how soon it began.
fn note_stream(record: &RequestRecord, stream: &StreamProgress) {
    record.note("events", stream.events);
    if let Some(at) = stream.first_at {
        record.first_sent(at);
    }
}

fn choose(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    progress: &RequestProgress,
) -> Result<ServerPick, ForwardRefusal> {
    if router.poison.refused_for(call.fingerprint).is_some() {
        return Err(ForwardRefusal::CrashesServers);
    }
    if router.clock.left(call.ends_at) < LEAST_TIME {
        return Err(ForwardRefusal::TooLate);
    }
    let suspect = router.poison.suspect(call.fingerprint);
    let ask = ChoiceRequest {
        service: &call.service,
        engine: call.engine,
        zone: &router.settings.zone,
        affinity: call.shape.affinity(),
        shared_tokens: call.shape.shared_tokens().get(),
        usage: call.usage,
        tried: &progress.tried,
        suspect,
    };
    let now = router.clock.now();
    let servers = router.servers.borrow();
    choose_server(&servers, &ask, now, &router.settings.choice).map_err(|refusal| match refusal {
        ChoiceError::Unknown => ForwardRefusal::NoServer,
        ChoiceError::Full => ForwardRefusal::ServersFull,
        ChoiceError::Paused => ForwardRefusal::ServersPaused,
    })
}

/// Whether attempts, time and the allowance leave room for one more.
fn may_repeat(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    progress: &RequestProgress,
    end: AttemptEnd,
) -> bool {
    if router.clock.left(call.ends_at) < LEAST_TIME {
        return false;
    }
    if end == AttemptEnd::NotSent {
        return progress.unsent < MAX_UNSENT && progress.unsent_time < UNSENT_PATIENCE;
    }
    let once = call.route.retry_safety == RetrySafety::Once;
    if once && end != AttemptEnd::Rejected {
        return false;
    }
    progress.sent < call.route.attempts
        && router.poison.may_repeat(call.fingerprint)
        && router.take_repeat(&call.service)
}

/// Takes note of what an attempt tells of the request: a server that crashed
/// under it, or a complete answer.
async fn note_suspicion(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    progress: &RequestProgress,
    server: &ServerIncarnation,
    outcome: &AttemptOutcome,
) {
    let lost = match outcome {
        AttemptOutcome::Delivered(200..300, _) => {
            router.poison.answered(call.fingerprint);
            false
        }
        AttemptOutcome::Cut | AttemptOutcome::Ended(AttemptEnd::Lost, _) => true,
        _ => false,
    };
    if lost {
        note_lost(router, abandoned(call, progress, server)).await;
    }
}

fn note_attempt(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    pick: &ServerPick,
    end: AttemptEnd,
) {
    let end = match end {
        AttemptEnd::NotSent => "not_sent",
        AttemptEnd::Rejected => "rejected",
        AttemptEnd::Failed => "failed",
        AttemptEnd::Lost => "lost",
        AttemptEnd::Silent => "silent",
    };
    metrics::counter!("guavawell_forward_attempts_failed_total", "end" => end).increment(1);
    let mut draft = EventDraft::new("attempt.ended")
        .field("end", end)
        .field("fingerprint", call.fingerprint)
        .field("server", &pick.server);
    draft.request = call.id.parse().ok();
    if let Some(server) = router.servers.borrow().get(&pick.server) {
        let now = router.clock.now();
        let heard = now.since(server.health.last_received_at).as_millis();
        draft = draft
            .field("heard_ms_ago", heard)
            .field("in_flight", server.load.in_flight);
    }
    router.log.emit(draft);
}

/// Ends a request without a server's answer.
async fn give_up(
    router: &ForwardRouter,
    caller: &HttpChannel,
    call: &ForwardCall<'_>,
    record: &RequestRecord,
    progress: &RequestProgress,
    refusal: ForwardRefusal,
) -> bool {
    if progress.stream.begun {
        // The caller sees the missing end of the stream.
        record.note("cause", refusal);
        note_stream(record, &progress.stream);
        record.cut();
        return false;
    }
    let spread = ClockSpan::from_millis(fastrand::u64(..RETRY_SPREAD_MS));
    let now = router.clock.now();
    let resumes = router.servers.borrow().resumes_in(&call.service, now);
    let base = match refusal {
        ForwardRefusal::CrashesServers => router.poison.refused_for(call.fingerprint),
        ForwardRefusal::ServersPaused | ForwardRefusal::NoServer => resumes,
        ForwardRefusal::ServersFull => resumes.or(Some(RETRY_FULL)),
        _ => None,
    };
    let base = base.unwrap_or(RETRY_NO_SERVER);
    let after = ClockSpan::from_millis(base.as_millis() + spread.as_millis());
    let answer = RefusalAnswer {
        refusal,
        may_have_run: progress.outcome.may_have_run,
        retry_after: Some(after),
    };
    refuse(router, caller, call.request, call.id, record, &answer).await
}

/// Hands a server's own failure to the caller.
async fn relay_failure(
    router: &ForwardRouter,
    caller: &HttpChannel,
    call: &ForwardCall<'_>,
    record: &RequestRecord,
    answer: &PlainAnswer,
) -> bool {
    let keep = call.request.head.keep && !router.is_leaving();
    record.note("cause", "server_failed");
    record.answered(answer.head.status);
    let bytes = answer.bytes(call.request.head.method.as_ref() == "HEAD", keep);
    caller.send(&bytes).await.is_ok() && keep
}
