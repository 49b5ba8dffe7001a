//! Sends a request to one server after another until one responds.

use std::rc::Rc;

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::AttemptEnd;
use guavawell_core::forward::ChoiceError;
use guavawell_core::forward::ChoiceRequest;
use guavawell_core::forward::ForwardRefusal;
use guavawell_core::forward::MIN_ATTEMPT_TIME;
use guavawell_core::forward::NextStep;
use guavawell_core::forward::RepeatView;
use guavawell_core::forward::RequestCharge;
use guavawell_core::forward::RequestOutcome;
use guavawell_core::forward::RetryDenial;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::ServerPick;
use guavawell_core::forward::check_repeat;
use guavawell_core::forward::choose_server;
use guavawell_core::forward::next_step;

use crate::attempt::AttemptFailure;
use crate::attempt::AttemptInfo;
use crate::attempt::AttemptOutcome;
use crate::attempt::abandoned_attempt;
use crate::attempt::is_refused;
use crate::attempt::send_attempt;
use crate::attempt_log::note_attempt;
use crate::crash::note_lost_attempt;
use crate::eligible::with_constraints;
use crate::poison::parts::may_retry_parts;
use crate::read_ahead::CallerOutbox;
use crate::record::RequestRecord;
use crate::refusal::RefusalResponse;
use crate::relay::StreamProgress;
use crate::response::BufferedResponse;
use crate::retry_after::retry_after;
use crate::router::ForwardRouter;
use crate::routing::recheck_config;
use crate::serve::ForwardCall;
use crate::serve::send_refusal;

/// Number of attempts that may end without the request being sent, for example
/// because a connection was refused.
const MAX_UNSENT: usize = 4;
/// Longest time spent on such attempts: about the time that [`MAX_UNSENT`]
/// unreachable servers take.
const MAX_UNSENT_TIME: ClockSpan = ClockSpan::from_millis(1_000);
/// Longest wait for the list of servers, or for the history of evacuated zones,
/// before a request is refused because all servers are cold.
const MAX_REFRESH_WAIT: ClockSpan = ClockSpan::from_millis(250);
/// That wait takes at most the request's remaining time divided by this number.
const REFRESH_WAIT_DIVISOR: u64 = 4;

/// The state of a request across its attempts.
#[derive(Debug, Default)]
pub struct RequestProgress {
    /// Servers that were picked so far.
    pub tried: Vec<ServerIncarnation>,
    /// Attempts whose request was sent to a server.
    pub sent: u32,
    /// Attempts whose request was not sent.
    pub unsent: usize,
    /// Time spent on connections that could not be opened.
    pub unsent_time: ClockSpan,
    /// Attempts that may have run.
    running: u32,
    /// Determines the charge if the request ends without a complete response.
    pub outcome: RequestOutcome,
    /// The attempt that the caller's response comes from, or may come from.
    pub current: Option<Rc<AttemptInfo>>,
    /// How much of the stream the caller has received.
    pub stream: StreamProgress,
    /// The last error response of a server.
    pub failure: Option<BufferedResponse>,
    /// Whether the request waited because all servers counted as cold.
    pub waited: bool,
}

impl RequestProgress {
    /// Records that the request is sent to a server.
    pub const fn note_sent(&mut self) {
        self.sent += 1;
        self.running += 1;
        self.outcome.may_have_run = true;
    }

    /// Records how an attempt ended.
    pub fn note_failure(&mut self, failure: AttemptFailure) {
        self.outcome.note(failure.end);
        if failure.end == AttemptEnd::Rejected {
            self.running = self.running.saturating_sub(1);
            self.outcome.may_have_run = self.running > 0;
        }
        if let Some(response) = failure.response {
            self.failure = Some(response);
        }
    }
}

/// Sends a request until the caller has a response. Returns whether the
/// caller's connection may be reused.
pub async fn run_attempts(
    router: &Rc<ForwardRouter>,
    caller: &CallerOutbox<'_>,
    mut call: ForwardCall<'_>,
    record: &RequestRecord,
) -> bool {
    let mut progress = RequestProgress::default();
    router.count_request(&call.service);
    loop {
        if call.origin.is_none() {
            call.origin.clone_from(&progress.stream.origin);
        }
        router
            .await_doubted_zones(&call.service, call.deadline)
            .await;
        let may_have_run = progress.outcome.may_have_run;
        let rechecked = recheck_config(router, &mut call, may_have_run, Some(record));
        let call = &call;
        let picked = rechecked.and_then(|()| pick_server(router, call, &progress, None));
        let pick = match picked {
            Ok(pick) => pick,
            Err(ForwardRefusal::ServersCold)
                if !std::mem::replace(&mut progress.waited, true)
                    && await_news(router, call).await =>
            {
                continue;
            }
            Err(refusal) => {
                return end_without_response(router, caller, call, record, progress, refusal).await;
            }
        };
        note_pick(router, record, &pick);
        let outcome = send_attempt(router, caller, call, &pick, &mut progress, record).await;
        record.note("attempts", progress.sent);
        note_carrier(record, &progress);
        update_suspicion(router, call, &progress, &outcome).await;
        let failure = match outcome {
            AttemptOutcome::Delivered(status, keep_alive) => {
                caller.finish().await;
                if !call.request.head.accepts_chunked {
                    caller.close_in_order();
                }
                note_stream(record, &progress.stream);
                if let Some(charge) = &call.link_charge {
                    charge.complete();
                }
                record.answered(status);
                return keep_alive;
            }
            AttemptOutcome::CallerDisconnected => return false,
            AttemptOutcome::Truncated => {
                record.truncated();
                return false;
            }
            AttemptOutcome::Ended(failure) => failure,
        };
        let end = failure.end;
        let retry = check_retry(router, call, &progress, end);
        note_attempt(router, call, &failure, retry);
        progress.note_failure(failure);
        let refusal = match next_step(call.route.retry_safety, end, retry.is_ok()) {
            NextStep::Retry => continue,
            NextStep::Relay => ForwardRefusal::AnswerLost,
            NextStep::Refuse(refusal) => refusal,
        };
        return end_without_response(router, caller, call, record, progress, refusal).await;
    }
}

/// Ends a request whose last attempt brought no complete response. A server
/// error from an earlier attempt is relayed in preference to a refusal, as it
/// tells the caller more.
async fn end_without_response(
    router: &ForwardRouter,
    caller: &CallerOutbox<'_>,
    call: &ForwardCall<'_>,
    record: &RequestRecord,
    mut progress: RequestProgress,
    refusal: ForwardRefusal,
) -> bool {
    settle_reservation(call, record, &progress);
    match progress.failure.take() {
        Some(response) if !progress.stream.begun => {
            relay_failure(router, caller, call, record, &response).await
        }
        _ => end_with_refusal(router, caller, call, record, &progress, refusal).await,
    }
}

/// Releases the reservation of a request that ends without a complete response,
/// unless it is charged.
fn settle_reservation(call: &ForwardCall<'_>, record: &RequestRecord, progress: &RequestProgress) {
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

/// Records how many events of a stream were sent and when the first was sent.
fn note_stream(record: &RequestRecord, stream: &StreamProgress) {
    record.note("events", stream.events);
    if let Some(at) = stream.first_at {
        record.first_sent(at);
    }
}

/// Records which server was chosen, with the version of its software, and whether it
/// would be full by its last report.
pub fn note_pick(router: &ForwardRouter, record: &RequestRecord, pick: &ServerPick) {
    record.note("server", &pick.server);
    if let Some(entry) = router.servers.borrow().get(&pick.server) {
        record.note("server_version", &entry.version);
    }
    if pick.worked_off {
        metrics::counter!("guavawell_forward_reports_worked_off_total").increment(1);
        record.note("worked_off", &pick.server);
    }
}

/// Records the instance that carries the connection to the server, if any.
fn note_carrier(record: &RequestRecord, progress: &RequestProgress) {
    let current = progress.current.as_ref();
    if let Some(carrier) = current.and_then(|info| info.carrier.as_ref()) {
        record.note("carrier", carrier);
    }
}

/// Waits for what is being read about cold servers, for a limited time. Returns
/// whether something came, so that a server may be chosen again.
async fn await_news(router: &ForwardRouter, call: &ForwardCall<'_>) -> bool {
    let left = router.clock.left(call.deadline).as_millis();
    let limit = ClockSpan::from_millis(left / REFRESH_WAIT_DIVISOR).min(MAX_REFRESH_WAIT);
    let until = router.clock.now() + limit;
    let has_read = router.await_zones(&call.service, limit).await;
    router.await_refresh(router.clock.left(until)).await || has_read
}

/// Picks the server for the next attempt; one to go over to if the server that runs the
/// request has sent nothing since `quiet_since`.
///
/// # Errors
///
/// Why the request cannot be sent.
pub fn pick_server(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    progress: &RequestProgress,
    quiet_since: Option<ClockTime>,
) -> Result<ServerPick, ForwardRefusal> {
    if is_refused(router, call) {
        return Err(ForwardRefusal::CrashesServers);
    }
    if router.clock.left(call.deadline) < MIN_ATTEMPT_TIME {
        return Err(ForwardRefusal::TooLate);
    }
    let choice = with_constraints(router, call, |constraints| {
        let request = ChoiceRequest {
            constraints,
            engine: call.engine,
            zone: &router.settings.zone,
            affinity: call.shape.affinity(),
            shared_tokens: call.shape.shared_tokens().get(),
            usage: call.usage,
            tried: &progress.tried,
            suspect: router.poison.suspect(call.fingerprint),
            quiet_since,
        };
        let now = router.clock.now();
        choose_server(
            &router.servers.borrow(),
            &request,
            now,
            &router.settings.choice,
        )
    });
    choice.map_err(|error| match error {
        ChoiceError::Unknown => ForwardRefusal::NoServer,
        ChoiceError::OtherVersion => ForwardRefusal::VersionGone,
        ChoiceError::Evacuated => ForwardRefusal::Evacuated,
        ChoiceError::Full => ForwardRefusal::ServersFull,
        ChoiceError::Paused => ForwardRefusal::ServersPaused,
        ChoiceError::Cold => ForwardRefusal::ServersCold,
        ChoiceError::Limited => ForwardRefusal::ServersLimited,
    })
}

/// Checks the limits on attempts, time and retries before another attempt, and counts
/// the retry.
fn check_retry(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    progress: &RequestProgress,
    end: AttemptEnd,
) -> Result<(), RetryDenial> {
    if end == AttemptEnd::NotSent {
        if router.clock.left(call.deadline) < MIN_ATTEMPT_TIME {
            return Err(RetryDenial::Time);
        }
        return check_unsent(progress);
    }
    check_repeat(&repeat_view(router, call, progress, end))?;
    let has_allowance = router.take_retry(&call.service);
    has_allowance.then_some(()).ok_or(RetryDenial::Allowance)
}

/// Checks the limits on attempts whose request was not sent.
///
/// # Errors
///
/// Another one is not allowed.
pub fn check_unsent(progress: &RequestProgress) -> Result<(), RetryDenial> {
    let may_connect = progress.unsent < MAX_UNSENT && progress.unsent_time < MAX_UNSENT_TIME;
    may_connect.then_some(()).ok_or(RetryDenial::Unsent)
}

/// What decides whether a request may be sent again, after an attempt that ended or may
/// end in this way.
pub fn repeat_view(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    progress: &RequestProgress,
    end: AttemptEnd,
) -> RepeatView {
    let may_repeat =
        router.poison.may_retry(call.fingerprint) && may_retry_parts(router, &call.parts);
    RepeatView {
        retry_safety: call.route.retry_safety,
        has_not_run: end == AttemptEnd::Rejected,
        sent: progress.sent,
        attempts: call.route.attempts,
        left: router.clock.left(call.deadline),
        is_suspect: !may_repeat,
    }
}

/// Updates the suspicion of the request: clears it after a complete response,
/// and checks for a crash if the response was lost.
async fn update_suspicion(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    progress: &RequestProgress,
    outcome: &AttemptOutcome,
) {
    let lost = match outcome {
        AttemptOutcome::Delivered(200..300, _) => {
            router.poison.answered(call.fingerprint);
            None
        }
        AttemptOutcome::Truncated => progress.current.as_ref(),
        AttemptOutcome::Ended(failure) if failure.end == AttemptEnd::Lost => Some(&failure.info),
        _ => None,
    };
    if let Some(info) = lost {
        note_lost_attempt(router, abandoned_attempt(call, progress, info)).await;
    }
}

/// Ends a request without a server's response.
async fn end_with_refusal(
    router: &ForwardRouter,
    caller: &CallerOutbox<'_>,
    call: &ForwardCall<'_>,
    record: &RequestRecord,
    progress: &RequestProgress,
    refusal: ForwardRefusal,
) -> bool {
    if progress.stream.begun {
        // The head was already sent; the caller notices that the end of the
        // stream is missing.
        record.note("cause", refusal);
        note_stream(record, &progress.stream);
        record.truncated();
        return false;
    }
    let response = RefusalResponse {
        refusal,
        may_have_run: progress.outcome.may_have_run,
        retry_after: retry_after(router, call, refusal),
    };
    send_refusal(
        router,
        caller.channel(),
        call.request,
        call.id,
        record,
        &response,
    )
    .await
}

/// Relays a server's error response to the caller.
async fn relay_failure(
    router: &ForwardRouter,
    caller: &CallerOutbox<'_>,
    call: &ForwardCall<'_>,
    record: &RequestRecord,
    response: &BufferedResponse,
) -> bool {
    let keep_alive = call.request.head.keep_alive && router.keeps_connections();
    record.note("cause", "server_failed");
    record.answered(response.head.status);
    let bytes = response.bytes(call.request.head.method.as_ref() == "HEAD", keep_alive);
    caller.send_last(&bytes).await.is_ok() && keep_alive
}
