//! Checks whether a request may run, before anything is sent to a server.

use std::rc::Rc;

use futures_lite::FutureExt;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ForwardConfig;
use guavawell_core::forward::ForwardRefusal;
use guavawell_core::forward::LinkRequest;
use guavawell_core::forward::PromptShape;
use guavawell_core::forward::RouteEntry;
use guavawell_core::forward::TokenUsage;
use guavawell_core::forward::admit;
use guavawell_core::forward::wire_bytes;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::RequestId;
use guavawell_core::id::TokenCount;
use guavawell_core::number::whole;
use guavawell_core::poison::RequestFingerprint;
use smol::Timer;

use crate::budget::BudgetRefusal;
use crate::budget::TokenReservation;
use crate::clock::timer_span;
use crate::continuation::continued_stream;
use crate::http::RequestHead;
use crate::intake::ReceivedRequest;
use crate::link::ByteMeter;
use crate::link::LinkCharge;
use crate::link::charge_link;
use crate::poison::TrialPermit;
use crate::record::RequestRecord;
use crate::refusal::RefusalResponse;
use crate::retry_after::RETRY_NO_MEMORY;
use crate::router::ForwardRouter;
use crate::routing::RETRY_NO_CONFIG;
use crate::routing::authenticate;
use crate::routing::find_route;
use crate::routing::note_config;
use crate::serve::ForwardCall;

/// Longest wait for the configuration and the servers after the start of the
/// process. Reading them takes 25 ms while the platform responds. Callers that
/// lost their connections to the previous process reconnect at once: after a
/// stop of all instances 43 to 50 requests arrived within these 25 ms.
const MAX_START_WAIT: ClockSpan = ClockSpan::from_millis(300);
/// Longest wait for an overdue answer of the store. A process that was paused
/// or lost its connection receives the answer sooner.
const MAX_OVERDUE_WAIT: ClockSpan = ClockSpan::from_millis(250);
/// Each wait before a request is sent takes at most the request's remaining
/// time divided by this number.
const MAX_WAIT_DIVISOR: u64 = 4;
/// About the size of a request head, in bytes.
const HEAD_BYTES: u64 = 500;

/// Decides whether a request may run, and reserves its tokens. `meter` counts the bytes
/// of the caller's connection.
///
/// # Errors
///
/// The refusal to send to the caller.
pub async fn prepare<'a>(
    router: &Rc<ForwardRouter>,
    request: &'a ReceivedRequest,
    meter: &Rc<ByteMeter>,
    id: &'a str,
    record: &RequestRecord,
) -> Result<ForwardCall<'a>, RefusalResponse> {
    if router.is_closing() {
        return Err(RefusalResponse::leaving());
    }
    wait_for_start(router, &request.head).await?;
    wait_for_overdue_state(router, &request.head).await?;
    let Some(config) = router.configs.current() else {
        return Err(RefusalResponse::new(ForwardRefusal::NoConfig).after(RETRY_NO_CONFIG));
    };
    note_config(router, &config, record);
    let route = find_route(router, &config, &request.head)?;
    record.note("route", &route.name);
    let organisation = authenticate(router, &config, &route, &request.head)?;
    if let Some((organisation, _)) = &organisation {
        record.set_organisation(organisation);
    }
    let fingerprint = fingerprint_of(request, organisation.as_ref());
    record.note("fingerprint", fingerprint);
    note_continuation(router, request, record);
    let (usage, shape) = read_prompt(router, request)?;
    let deadline = request_deadline(router, &route, &request.head, request.received_at)?;
    let left = router.clock.left(deadline);
    let max_wait = ClockSpan::from_millis(left.as_millis() / MAX_WAIT_DIVISOR);
    let parts = part_fingerprints(organisation.as_ref(), &shape);
    let trials = check_suspicion(router, fingerprint, &parts, max_wait, record).await?;
    if !router.can_finish(deadline) {
        return Err(RefusalResponse::leaving());
    }
    check_admission(router, deadline)?;
    if let Some((organisation, _)) = &organisation {
        let tokens = usage.worst_case();
        if tokens > TokenCount::ZERO {
            let now = router.clock.now();
            router.link.note_tokens(organisation, tokens, now);
        }
    }
    let link_charge = charge(router, request, &route, organisation.as_ref(), meter)?;
    let sender = (organisation.as_ref().map(|(id, _)| id), fingerprint);
    let origin = continued_stream(router, request, &route, sender, deadline, record).await?;
    let service = match &origin {
        Some(origin) => origin.service.clone(),
        None => route.service(fastrand::u64(..)).clone(),
    };
    if !route.sends_to(&service) {
        return Err(RefusalResponse::new(ForwardRefusal::VersionGone));
    }
    record.note("service", &service);
    let engine = config.service(&service).and_then(|entry| entry.engine);
    let reservation = reserve(
        router,
        &config,
        organisation.as_ref(),
        usage,
        deadline,
        record,
    )
    .await?;
    Ok(ForwardCall {
        request,
        id,
        fingerprint,
        config,
        route,
        service,
        engine,
        organisation,
        usage,
        shape,
        parts,
        trials,
        origin,
        deadline,
        link_charge: link_charge.map(Rc::new),
        reservation: reservation.map(Rc::new),
    })
}

/// Checks route and key of a request whose body has not been received. Returns when its time
/// limit ends; `None` if no configuration is known, or a newer one is awaited.
///
/// # Errors
///
/// The refusal of a request that will not be served.
pub fn check_head(
    router: &ForwardRouter,
    head: &RequestHead,
    received_at: ClockTime,
) -> Result<Option<ClockTime>, RefusalResponse> {
    let config = router.configs.current();
    let Some(config) = config.filter(|_| !router.configs.is_awaited()) else {
        return Ok(None);
    };
    let route = find_route(router, &config, head)?;
    authenticate(router, &config, &route, head)?;
    request_deadline(router, &route, head, received_at).map(Some)
}

/// Refuses a request that crashes servers, or with a part that does. Returns the permits
/// of one that is tried nevertheless.
async fn check_suspicion(
    router: &Rc<ForwardRouter>,
    fingerprint: RequestFingerprint,
    parts: &[RequestFingerprint],
    max_wait: ClockSpan,
    record: &RequestRecord,
) -> Result<Rc<[TrialPermit]>, RefusalResponse> {
    let mut trials = Vec::new();
    let suspects = std::iter::once((fingerprint, false));
    let suspects = suspects.chain(parts.iter().map(|part| (*part, true)));
    for (suspect, is_part) in suspects {
        let Some(span) = router.poison.await_verdict(suspect, max_wait).await else {
            continue;
        };
        let permit = is_part
            .then(|| TrialPermit::take(router, suspect))
            .flatten();
        let Some(permit) = permit else {
            router.poison.note_refused(suspect, is_part);
            record.note("refused_for", suspect);
            return Err(RefusalResponse::new(ForwardRefusal::CrashesServers).after(span));
        };
        record.note("tried_part", suspect);
        trials.push(permit);
    }
    Ok(trials.into())
}

/// Waits until the process has read its initial state, for a limited time.
async fn wait_for_start(router: &ForwardRouter, head: &RequestHead) -> Result<(), RefusalResponse> {
    if router.has_initial_state() {
        return Ok(());
    }
    let max_wait = wait_limit(router, head, MAX_START_WAIT)?;
    let timeout = async {
        Timer::after(timer_span(max_wait)).await;
    };
    router.wait_for_initial_state().or(timeout).await;
    Ok(())
}

/// Waits for overdue updates of the configuration and the list of servers, for
/// a limited time.
async fn wait_for_overdue_state(
    router: &ForwardRouter,
    head: &RequestHead,
) -> Result<(), RefusalResponse> {
    if !router.configs.is_awaited() && !router.servers_awaited() {
        return Ok(());
    }
    let max_wait = wait_limit(router, head, MAX_OVERDUE_WAIT)?;
    let until = router.clock.now() + max_wait;
    router.configs.await_answer(max_wait).await;
    router.await_servers(router.clock.left(until)).await;
    Ok(())
}

/// The time that the request may wait: `max_wait`, or a share of the caller's
/// time limit if that is less.
fn wait_limit(
    router: &ForwardRouter,
    head: &RequestHead,
    max_wait: ClockSpan,
) -> Result<ClockSpan, RefusalResponse> {
    let caller_limit = caller_time_left(router, head)?;
    let share =
        caller_limit.map(|span| ClockSpan::from_millis(span.as_millis() / MAX_WAIT_DIVISOR));
    Ok(share.map_or(max_wait, |share| share.min(max_wait)))
}

fn fingerprint_of(
    request: &ReceivedRequest,
    organisation: Option<&(OrganisationId, Option<u8>)>,
) -> RequestFingerprint {
    let head = &request.head;
    let organisation = organisation.map(|(id, _)| id);
    RequestFingerprint::of(organisation, &head.host, &head.target, &request.body)
}

/// Fingerprints of the parts that a prompt may share with others.
fn part_fingerprints(
    organisation: Option<&(OrganisationId, Option<u8>)>,
    shape: &PromptShape,
) -> Rc<[RequestFingerprint]> {
    let organisation = organisation.map(|(id, _)| id);
    let parts = shape.shared_parts().iter();
    parts
        .map(|part| RequestFingerprint::of_part(organisation, part.id))
        .collect()
}

/// Records which stream a request continues, and after which event.
fn note_continuation(router: &ForwardRouter, request: &ReceivedRequest, record: &RequestRecord) {
    let names = &router.settings.names;
    let fields = &request.head.fields;
    if let Some(event) = fields.get(names.last_event) {
        let number: Option<u64> = event.trim().parse().ok();
        record.note("last_event", number.map_or(-1, i128::from));
    }
    if let Some(id) = fields.get(names.resumes) {
        let id: Option<RequestId> = id.trim().parse().ok();
        record.note("resumes", id.as_ref().map_or("invalid", RequestId::as_str));
    }
}

fn read_prompt(
    router: &ForwardRouter,
    request: &ReceivedRequest,
) -> Result<(TokenUsage, PromptShape), RefusalResponse> {
    let names = &router.settings.names;
    let fields = &request.head.fields;
    let malformed = || RefusalResponse::new(ForwardRefusal::Malformed);
    let usage = match fields.get(names.usage) {
        Some(text) => text.parse().map_err(|_| malformed())?,
        None => TokenUsage::default(),
    };
    let shape = match fields.get(names.prompt) {
        Some(text) => text.parse().map_err(|_| malformed())?,
        None => PromptShape::default(),
    };
    Ok((usage, shape))
}

/// The caller's or the route's time limit, whichever ends first.
fn request_deadline(
    router: &ForwardRouter,
    route: &RouteEntry,
    head: &RequestHead,
    received_at: ClockTime,
) -> Result<ClockTime, RefusalResponse> {
    let limit = received_at + route.time_limit;
    let caller_limit = caller_time_left(router, head)?;
    Ok(caller_limit.map_or(limit, |span| limit.min(received_at + span)))
}

/// The time for which the caller waits, if the request states it.
fn caller_time_left(
    router: &ForwardRouter,
    head: &RequestHead,
) -> Result<Option<ClockSpan>, RefusalResponse> {
    let name = router.settings.names.time_left;
    let Some(text) = head.fields.get(name) else {
        return Ok(None);
    };
    let left: f64 = text
        .trim()
        .parse()
        .map_err(|_| RefusalResponse::new(ForwardRefusal::Malformed))?;
    Ok(Some(ClockSpan::from_millis(whole(left))))
}

fn check_admission(router: &ForwardRouter, deadline: ClockTime) -> Result<(), RefusalResponse> {
    let admission = &router.settings.admission;
    let left = router.clock.left(deadline);
    // The count includes this request.
    let held = router.held_requests.get().saturating_sub(1);
    admit(admission, held, router.held_bytes.get(), left)
        .map_err(|refusal| RefusalResponse::new(refusal).after(RETRY_NO_MEMORY))
}

/// Charges the link for the request and its response, if it carries them.
fn charge(
    router: &Rc<ForwardRouter>,
    request: &ReceivedRequest,
    route: &RouteEntry,
    organisation: Option<&(OrganisationId, Option<u8>)>,
    meter: &Rc<ByteMeter>,
) -> Result<Option<LinkCharge>, RefusalResponse> {
    let own_priority = organisation.and_then(|(_, priority)| *priority);
    let content = u64::try_from(request.body.len()).unwrap_or(u64::MAX);
    let link_request = LinkRequest {
        route: &route.name,
        organisation: organisation.map_or("", |(id, _)| id.as_str()),
        priority: own_priority.unwrap_or(route.priority),
        bytes: wire_bytes(content.saturating_add(HEAD_BYTES)),
    };
    charge_link(router, &link_request, meter)
}

async fn reserve(
    router: &Rc<ForwardRouter>,
    config: &ForwardConfig,
    organisation: Option<&(OrganisationId, Option<u8>)>,
    usage: TokenUsage,
    deadline: ClockTime,
    record: &RequestRecord,
) -> Result<Option<TokenReservation>, RefusalResponse> {
    let Some((id, _)) = organisation else {
        return Ok(None);
    };
    let entry = config.organisation_by_id(id);
    let paid = entry.and_then(|entry| entry.paid);
    let worst = usage.worst_case();
    let Some(paid) = paid.filter(|_| worst > TokenCount::ZERO) else {
        return Ok(None);
    };
    let left = router.clock.left(deadline);
    let reserved = router.budgets.reserve(id, worst, left).await;
    reserved.map(Some).map_err(|refusal| {
        note_budget_refusal(record, worst, &refusal);
        if refusal.facts.paid < paid.get() {
            // The configuration, which may come from another instance, states a
            // higher paid amount than this process has read from the store.
            let after = refusal.answer.retry_after.unwrap_or_default();
            return RefusalResponse::new(ForwardRefusal::BudgetUnavailable).after(after);
        }
        refusal.answer
    })
}

/// Records why a reservation failed.
fn note_budget_refusal(record: &RequestRecord, worst: TokenCount, refusal: &BudgetRefusal) {
    let facts = &refusal.facts;
    record.note("budget", refusal.cause.as_str());
    record.note("budget_needed", worst);
    record.note("budget_paid", facts.paid);
    record.note("budget_committed", facts.committed);
    record.note("budget_grant", facts.grant);
    record.note("budget_used", facts.used);
    record.note("budget_allowed", facts.allowed);
    record.note("budget_row", facts.row);
    record.note("budget_row_age_ms", facts.row_age.as_millis());
    record.note("budget_waited_ms", refusal.waited.as_millis());
    record.note("store_away_ms", refusal.store_outage.as_millis());
}
