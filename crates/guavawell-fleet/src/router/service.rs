//! Plain services: one call, one whole answer, a fixed cost.

use std::net::SocketAddr;
use std::sync::Arc;

use guavawell_core::backend::BackendLease;
use guavawell_core::backend::LeaseOutcome;
use guavawell_core::backend::RouteTarget;
use guavawell_core::id::AttemptId;
use guavawell_core::id::BackendId;
use guavawell_core::id::ServiceId;
use guavawell_core::manifest::FleetView;
use guavawell_core::manifest::ServiceEntry;
use guavawell_core::request::Refusal;
use guavawell_core::request::RefusalReason;
use guavawell_core::request::RequestDigest;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;

use super::admit::AdmissionPass;
use super::answer::mark;
use super::answer::note_answer;
use super::answer::refuse;
use super::attempt::OutgoingCall;
use super::choice::engine_request;
use super::choice::lease_outcome;
use super::core::RouterCore;
use super::entry::CallerEntry;
use super::recover::MAX_PROBES;
use super::recover::PROBE_PAUSE;
use super::relay::settle_reservation;
use super::reserve::HeldReservation;
use super::reserve::ReservationAsk;
use super::reserve::ReservedRequest;
use super::reserve::reserve;
use super::send::AttemptRun;
use super::send::FailureProof;
use super::send::OpenAttempt;
use super::send::SendEnd;
use super::send::SendFailure;
use super::send::run_attempts;
use super::serve::accepted;
use super::serve::admit;
use super::serve::caller_body;
use super::serve::unread;
use crate::clock;
use crate::engine::AttemptState;
use crate::engine::EngineError;
use crate::engine::EngineRequest;
use crate::engine::ServiceAnswer;

/// Answers a call of a plain service; `rest` is the path behind `/services/`.
pub async fn serve_service(
    core: &Arc<RouterCore>,
    view: &FleetView,
    request: &mut Request,
    rest: &str,
) -> Response {
    let entry = match CallerEntry::read(view, request, core.claims.start_try().started_in) {
        Ok(entry) => entry,
        Err(refusal) => return unread(refuse(core, None, &refusal)),
    };
    let identity = entry.head.identity.clone();
    let body = match caller_body(core, request).await {
        Ok(body) => body,
        Err(refusal) => return unread(refuse(core, Some(&identity), &refusal)),
    };
    let served = match find_service(view, rest) {
        Ok((service, path)) => call(core, &entry, &body.bytes, service, path).await,
        Err(refusal) => Err(refusal),
    };
    served.unwrap_or_else(|refusal| refuse(core, Some(&identity), &refusal))
}

fn find_service<'v>(
    view: &'v FleetView,
    rest: &str,
) -> Result<(&'v ServiceEntry, Box<str>), Refusal> {
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let unknown = || {
        let detail = format!("`{name}` is no service of the manifest in force");
        Refusal::unattempted(RefusalReason::UnknownService, detail)
    };
    let id: ServiceId = name.parse().map_err(|_| unknown())?;
    let service = view.service(&id).ok_or_else(unknown)?;
    Ok((service, format!("/{path}").into()))
}

async fn call(
    core: &Arc<RouterCore>,
    entry: &CallerEntry,
    body: &[u8],
    service: &ServiceEntry,
    path: Box<str>,
) -> Result<Response, Refusal> {
    let call = OutgoingCall {
        target: RouteTarget::Service(service.id.clone()),
        path,
        body: body.into(),
        prefix: None,
        idempotent: entry.head.idempotent.unwrap_or(service.idempotent),
    };
    accepted(core, entry, service.cost_tokens);
    let pass = admit(core, entry, &call.target, service.cost_tokens).await?;
    let asked = ReservationAsk {
        amount: service.cost_tokens,
        idempotent: call.idempotent,
        digest: RequestDigest::of(&format!("{}{}", service.id, call.path), &call.body),
    };
    let reserved = reserve(core, entry, asked).await?;
    let ReservedRequest::Run(mut reservation) = reserved else {
        let detail = "this id ran or is running, and a service's answer is not kept";
        return Err(Refusal::unknown(RefusalReason::AlreadyRan, detail));
    };
    let attempt = reservation.attempt;
    let run = AttemptRun {
        core,
        entry,
        call: &call,
    };
    let (backend, answer) = run_call(run, &pass, &mut reservation).await?;
    settle_reservation(core, reservation, service.cost_tokens, backend).await;
    let identity = &entry.head.identity;
    note_answer(core, identity, true);
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::BadGateway);
    let mut response = Response::new(status);
    response.set_body(answer.body);
    response.insert_header("content-type", &*answer.media);
    mark(&mut response, identity, attempt);
    Ok(response)
}

/// Calls backend servers until one answers.
async fn run_call(
    run: AttemptRun<'_>,
    pass: &AdmissionPass,
    reservation: &mut HeldReservation,
) -> Result<(BackendId, ServiceAnswer), Refusal> {
    let priority = pass.engine_priority();
    let message = engine_request(run.entry, run.call, reservation.attempt, priority);
    run_attempts(run, reservation, |open| send_call(run, &message, open)).await
}

async fn send_call(
    run: AttemptRun<'_>,
    message: &EngineRequest,
    open: OpenAttempt,
) -> SendEnd<(BackendId, ServiceAnswer)> {
    let AttemptRun { core, call, .. } = run;
    let wait = clock::duration(core.settings.limits.request_timeout_ms);
    let answer = core.engines.call_service(open.address, message, wait).await;
    let result = match answer {
        Ok(answer) => {
            served(open.lease);
            core.retries.deposit();
            Ok((open.backend, answer))
        }
        Err(error) => {
            let may_run_again = error.certainly_not_run()
                || (call.idempotent && is_unseen(core, open.address, open.attempt).await);
            open.lease.finish(lease_outcome(&error), clock::now());
            let proof = if may_run_again {
                FailureProof::NotRun
            } else {
                FailureProof::InDoubt
            };
            Err(SendFailure { error, proof })
        }
    };
    SendEnd {
        result,
        tried: open.tried,
    }
}

fn served(mut lease: BackendLease) {
    let now = clock::now();
    lease.first_token(now);
    lease.finish(LeaseOutcome::Served, now);
}

/// Whether the service never saw the call, and will refuse it from now on.
async fn is_unseen(core: &RouterCore, address: SocketAddr, attempt: AttemptId) -> bool {
    for _ in 0..MAX_PROBES {
        match core.engines.record(address, attempt).await {
            Err(EngineError::UnknownAttempt) => {
                let cancelled = core.engines.cancel(address, attempt).await;
                return cancelled.is_ok_and(|record| record.state == AttemptState::Cancelled);
            }
            Ok(_) => return false,
            Err(_) => smol::Timer::after(PROBE_PAUSE).await,
        };
    }
    false
}
