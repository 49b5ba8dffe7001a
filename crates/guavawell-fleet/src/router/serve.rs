//! The way of one caller's request, step by step.

use std::sync::Arc;
use std::time::Instant;

use guavawell_core::backend::PrefixHash;
use guavawell_core::backend::RouteTarget;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::BackendId;
use guavawell_core::id::TokenCount;
use guavawell_core::limits::AdmissionRequest;
use guavawell_core::limits::RefusalCause;
use guavawell_core::limits::RequestPriority;
use guavawell_core::manifest::FleetView;
use guavawell_core::request::Refusal;
use guavawell_core::request::RefusalReason;
use guavawell_core::request::RequestDigest;
use guavawell_core::request::UnsentAttempt;
use guavawell_core::request::chat::ChatRequest;
use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use smol::Timer;

use super::admit::AdmissionPass;
use super::admit::NotAdmitted;
use super::answer::refuse;
use super::answer::stream_answer;
use super::answer::whole_answer;
use super::attempt::LiveStream;
use super::attempt::OutgoingCall;
use super::attempt::follow_stream;
use super::attempt::open_stream;
use super::core::RouterCore;
use super::entry::CallerEntry;
use super::entry::GENERATION_HEADER;
use super::relay::StreamRelay;
use super::reserve::HeldReservation;
use super::reserve::JOIN_PAUSE;
use super::reserve::ReservationAsk;
use super::reserve::ReservedRequest;
use super::reserve::reserve;
use super::send::AttemptRun;
use super::service::serve_service;
use crate::caller::BodyError;
use crate::caller::BodyLimits;
use crate::caller::CallerBody;
use crate::caller::read_body;
use crate::clock;
use crate::event::EventDraft;

/// Expected time to first token, before any is measured.
const FIRST_TOKEN_GUESS: ClockSpan = ClockSpan::from_millis(100);

/// Retry-After while the bodies of other requests take the memory for them.
const RETRY_NO_MEMORY: ClockSpan = ClockSpan::from_millis(500);

/// The path under which plain services are called.
const SERVICES: &str = "/services/";

/// Answers one caller's request, and names the generation of claims.
pub async fn serve(core: Arc<RouterCore>, mut request: Request) -> Response {
    let generation = core.claims.named_generation();
    let path: Box<str> = request.url().path().into();
    let view = core.view.load_full();
    let mut response = match (check_state(&core), request.method(), &*path) {
        (Err(refusal), ..) => unread(refuse(&core, None, &refusal)),
        (_, Method::Post, "/v1/chat/completions") => chat(&core, &view, &mut request).await,
        (_, Method::Get, "/v1/models") => models(&core, &view, &request),
        (_, Method::Post, path) if path.starts_with(SERVICES) => {
            serve_service(&core, &view, &mut request, &path[SERVICES.len()..]).await
        }
        (_, method, path) => {
            let detail = format!("there is no `{method} {path}` here");
            let refusal = Refusal::unattempted(RefusalReason::BadRequest, detail);
            unread(refuse(&core, None, &refusal))
        }
    };
    if let Some(generation) = generation {
        response.insert_header(GENERATION_HEADER, generation.to_string());
    }
    response
}

/// Closes the connection behind an answer that was given before the whole
/// body was read: what is left of it may not be taken for the next request.
#[must_use]
pub fn unread(mut response: Response) -> Response {
    response.insert_header("connection", "close");
    response
}

fn check_state(core: &RouterCore) -> Result<(), Refusal> {
    if core.is_ready() {
        return Ok(());
    }
    let refusal = Refusal::unattempted(
        RefusalReason::NotReady,
        "this router does not hold a manifest yet",
    );
    Err(refusal.after(ClockSpan::from_millis(1_000)))
}

/// `GET /v1/models`: the models of the manifest in force.
fn models(core: &RouterCore, view: &FleetView, request: &Request) -> Response {
    if let Err(refusal) = CallerEntry::read(view, request, core.claims.start_try().started_in) {
        return refuse(core, None, &refusal);
    }
    let models = view.models().iter();
    let data: Vec<_> = models
        .map(|model| serde_json::json!({"id": model.id, "object": "model", "version": model.version}))
        .collect();
    let document = serde_json::json!({"object": "list", "data": data});
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_json(&document).unwrap_or_else(|_| Body::empty()));
    response
}

async fn chat(core: &Arc<RouterCore>, view: &FleetView, request: &mut Request) -> Response {
    let entry = match CallerEntry::read(view, request, core.claims.start_try().started_in) {
        Ok(entry) => entry,
        Err(refusal) => return unread(refuse(core, None, &refusal)),
    };
    let identity = entry.head.identity.clone();
    let body = match caller_body(core, request).await {
        Ok(body) => body,
        Err(refusal) => return unread(refuse(core, Some(&identity), &refusal)),
    };
    match run_chat(core, view, &entry, &body.bytes).await {
        Ok(response) => response,
        Err(refusal) => refuse(core, Some(&identity), &refusal),
    }
}

async fn run_chat(
    core: &Arc<RouterCore>,
    view: &FleetView,
    entry: &CallerEntry,
    body: &[u8],
) -> Result<Response, Refusal> {
    let ask = ChatRequest::parse(body, &core.chat)
        .map_err(|faults| Refusal::unattempted(RefusalReason::BadRequest, faults.to_string()))?;
    let call = chat_call(view, entry, &ask)?;
    accepted(core, entry, ask.worst_case());
    let pass = admit(core, entry, &call.target, ask.worst_case()).await?;
    let asked = ReservationAsk {
        amount: ask.worst_case(),
        idempotent: call.idempotent,
        digest: RequestDigest::of(&call.path, body),
    };
    let run = AttemptRun {
        core,
        entry,
        call: &call,
    };
    let (live, reservation) = live_stream(run, &pass, asked).await?;
    let relay = StreamRelay {
        core: Arc::clone(core),
        live,
        idempotent: reservation.is_none() || call.idempotent,
        reservation,
        _pass: pass,
        failure: None,
    };
    let identity = entry.head.identity.clone();
    Ok(if ask.stream {
        stream_answer(relay, identity)
    } else {
        whole_answer(relay, identity).await
    })
}

/// Runs a request, or reads along with another try of its id.
///
/// Where that try was hedged, the attempt that is read along with may be the
/// one that lost; so the holder is asked once more where the answer is.
async fn live_stream(
    run: AttemptRun<'_>,
    pass: &AdmissionPass,
    asked: ReservationAsk,
) -> Result<(LiveStream, Option<HeldReservation>), Refusal> {
    let mut lost: Option<(BackendId, Refusal)> = None;
    loop {
        let start = Instant::now();
        let reserved = reserve(run.core, run.entry, asked).await?;
        metrics::histogram!("guavawell_reserve_ms").record(millis(start));
        let (attempt, backend) = match reserved {
            ReservedRequest::Run(mut reservation) => {
                let live = open_stream(run, pass, &mut reservation).await?;
                return Ok((live, Some(reservation)));
            }
            ReservedRequest::Follow { attempt, backend } => (attempt, backend),
        };
        if let Some((tried, refusal)) = lost.take()
            && tried == backend
        {
            return Err(refusal);
        }
        match follow_stream(run.core, attempt, &backend).await {
            Ok(live) => return Ok((live, None)),
            Err(refusal) => lost = Some((backend, refusal)),
        }
        Timer::after(JOIN_PAUSE).await;
    }
}

/// Milliseconds since `start`, with fractions.
#[must_use]
pub fn millis(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1_000.0
}

fn chat_call(
    view: &FleetView,
    entry: &CallerEntry,
    ask: &ChatRequest,
) -> Result<OutgoingCall, Refusal> {
    let choice = view.model_choice(&ask.model).ok_or_else(|| {
        let detail = format!("`{}` is no model of the manifest in force", ask.model);
        Refusal::unattempted(RefusalReason::UnknownModel, detail)
    })?;
    if ask.output > choice.model.max_output {
        let detail = format!(
            "the output limit {} is above {} of `{}`",
            ask.output, choice.model.max_output, ask.model
        );
        return Err(Refusal::unattempted(RefusalReason::BadRequest, detail));
    }
    Ok(OutgoingCall {
        target: RouteTarget::Model(choice.model.id.clone()),
        path: "/v1/chat/completions".into(),
        body: ask.engine_body.as_slice().into(),
        prefix: Some(PrefixHash::of_contents(&ask.prompt_head)),
        idempotent: entry.head.idempotent.unwrap_or(true),
    })
}

/// Notes that a request is in order and asks to run.
pub fn accepted(core: &RouterCore, entry: &CallerEntry, amount: TokenCount) {
    let identity = &entry.head.identity;
    metrics::counter!("guavawell_requests_total").increment(1);
    core.events.emit(
        EventDraft::new("request.accepted")
            .organisation(&identity.organisation)
            .budget(&entry.budget)
            .request(&identity.request)
            .field("worst_case", amount),
    );
}

/// Reads the caller's body within the limits.
pub async fn caller_body(core: &RouterCore, request: &mut Request) -> Result<CallerBody, Refusal> {
    let callers = &core.settings.callers;
    let limits = BodyLimits {
        bytes: usize::try_from(callers.max_body_bytes.get()).unwrap_or(usize::MAX),
        time: clock::duration(callers.head_timeout_ms),
    };
    let body = read_body(request, limits, &core.bodies).await;
    body.map_err(|error| {
        let reason = match error {
            BodyError::TooLarge { .. } => RefusalReason::BodyTooLarge,
            BodyError::NoMemory => RefusalReason::Overloaded,
            BodyError::TimedOut(_) => RefusalReason::Timeout,
            BodyError::Truncated(_) => RefusalReason::BadRequest,
        };
        let refusal = Refusal::unattempted(reason, error.to_string());
        if reason == RefusalReason::Overloaded {
            metrics::counter!("guavawell_bodies_refused_total").increment(1);
            return refusal.after(RETRY_NO_MEMORY);
        }
        refusal
    })
}

/// Waits for admission.
pub async fn admit(
    core: &Arc<RouterCore>,
    entry: &CallerEntry,
    target: &RouteTarget,
    cost: TokenCount,
) -> Result<AdmissionPass, Refusal> {
    let now = clock::now();
    let deadline: Option<ClockTime> = entry.head.deadline.map(|span| now + span);
    let ask = AdmissionRequest {
        ticket: core.door.ticket(),
        organisation: entry.head.identity.organisation.clone(),
        weight: entry.weight,
        priority: RequestPriority::new(entry.head.priority),
        cost: cost.get(),
        deadline,
        first_token: FIRST_TOKEN_GUESS,
    };
    let unsent = UnsentAttempt::new(RouterCore::draw_attempt());
    let identity = &entry.head.identity;
    match core.door.enter(target, ask).await {
        Ok(pass) => Ok(pass),
        Err(NotAdmitted::NoTarget) => {
            let detail = "no backend server serves this target";
            let refusal = Refusal::unsealed(identity, unsent, RefusalReason::NoBackend, detail);
            Err(refusal.after(ClockSpan::from_millis(1_000)))
        }
        Err(NotAdmitted::Refused(refusal)) => {
            let (reason, detail) = match refusal.cause {
                RefusalCause::Deadline => (RefusalReason::Deadline, "the deadline cannot be met"),
                RefusalCause::QueueFull => (RefusalReason::Overloaded, "the queue is full"),
                RefusalCause::WaitTooLong => {
                    let detail = "the expected wait is longer than a request may wait";
                    (RefusalReason::Overloaded, detail)
                }
            };
            let retry_after = refusal.retry_after;
            Err(Refusal::unsealed(identity, unsent, reason, detail).after(retry_after))
        }
    }
}
