//! What a request is and whether it may run, before anything is sent.

use std::rc::Rc;

use futures_lite::FutureExt;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ForwardConfig;
use guavawell_core::forward::ForwardRefusal;
use guavawell_core::forward::PromptShape;
use guavawell_core::forward::RouteEntry;
use guavawell_core::forward::TokenUsage;
use guavawell_core::forward::admit;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::TokenCount;
use guavawell_core::number::whole;
use guavawell_core::poison::RequestFingerprint;
use smol::Timer;

use crate::budget::BudgetRefusal;
use crate::budget::TokenReservation;
use crate::clock::timer_span;
use crate::door::ReceivedRequest;
use crate::judge::RETRY_NO_CONFIG;
use crate::judge::find_route;
use crate::judge::identify;
use crate::judge::note_config;
use crate::record::RequestRecord;
use crate::refuse::RefusalAnswer;
use crate::router::ForwardRouter;
use crate::serve::ForwardCall;

/// How long a request waits for a process that has just started to read its
/// configuration and servers: that takes 25 ms where the platform answers, and
/// callers that lost their connections to the process before are there at once.
/// After a stop of all instances 43 to 50 requests came within these 25 ms.
const START_PATIENCE: ClockSpan = ClockSpan::from_millis(300);
/// How long a request waits for an answer of the store that is overdue: a process
/// that did not run, or lost a connection meanwhile, has it sooner.
const CHECK_PATIENCE: ClockSpan = ClockSpan::from_millis(250);
/// Most of a request's time that may go into one of its waits before it is sent,
/// as one part in so many.
const WAIT_PARTS: u64 = 4;
/// Retry-After where bodies fill the memory set aside for them.
const RETRY_NO_MEMORY: ClockSpan = ClockSpan::from_millis(500);

/// Decides whether a request may run, and sets its tokens aside.
///
/// # Errors
///
/// The answer to a request that may not.
pub async fn prepare<'a>(
    router: &Rc<ForwardRouter>,
    request: &'a ReceivedRequest,
    id: &'a str,
    record: &RequestRecord,
) -> Result<ForwardCall<'a>, RefusalAnswer> {
    await_start(router, request).await?;
    await_check(router, request).await?;
    let Some(config) = router.configs.current() else {
        return Err(RefusalAnswer::new(ForwardRefusal::NoConfig).after(RETRY_NO_CONFIG));
    };
    note_config(router, &config, record);
    let route = find_route(router, &config, request)?;
    record.note("route", &route.name);
    let organisation = identify(router, &config, &route, request)?;
    if let Some((organisation, _)) = &organisation {
        record.organisation(organisation);
    }
    let fingerprint = fingerprint_of(request, organisation.as_ref());
    record.note("fingerprint", fingerprint);
    let (usage, shape) = read_prompt(router, request)?;
    let ends_at = end_of(router, &route, request)?;
    let left = router.clock.left(ends_at);
    let patience = ClockSpan::from_millis(left.as_millis() / WAIT_PARTS);
    if let Some(span) = router.poison.judge(fingerprint, patience).await {
        return Err(RefusalAnswer::new(ForwardRefusal::CrashesServers).after(span));
    }
    if !router.can_finish(ends_at) {
        // Another instance can take it at once.
        return Err(RefusalAnswer::new(ForwardRefusal::Leaving).after(ClockSpan::default()));
    }
    check_room(router, ends_at)?;
    let service = route.service(fastrand::u64(..)).clone();
    record.note("service", &service);
    let engine = config.service(&service).and_then(|entry| entry.engine);
    let reservation = reserve(
        router,
        &config,
        organisation.as_ref(),
        usage,
        ends_at,
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
        ends_at,
        reservation: reservation.map(Rc::new),
    })
}

/// Waits a moment for what a process reads first.
async fn await_start(
    router: &ForwardRouter,
    request: &ReceivedRequest,
) -> Result<(), RefusalAnswer> {
    if router.is_informed() {
        return Ok(());
    }
    let patience = patience(router, request, START_PATIENCE)?;
    let late = async {
        Timer::after(timer_span(patience)).await;
    };
    router.wait_informed().or(late).await;
    Ok(())
}

/// Waits a moment for news of the configuration and of servers that are overdue.
async fn await_check(
    router: &ForwardRouter,
    request: &ReceivedRequest,
) -> Result<(), RefusalAnswer> {
    if !router.configs.is_awaited() && !router.servers_awaited() {
        return Ok(());
    }
    let patience = patience(router, request, CHECK_PATIENCE)?;
    let until = router.clock.now() + patience;
    router.configs.await_check(patience).await;
    router.await_servers(router.clock.left(until)).await;
    Ok(())
}

/// A wait of `most`, or less where the request has little time.
fn patience(
    router: &ForwardRouter,
    request: &ReceivedRequest,
    most: ClockSpan,
) -> Result<ClockSpan, RefusalAnswer> {
    let told = told_time(router, request)?;
    let part = told.map(|span| ClockSpan::from_millis(span.as_millis() / WAIT_PARTS));
    Ok(part.map_or(most, |part| part.min(most)))
}

fn fingerprint_of(
    request: &ReceivedRequest,
    organisation: Option<&(OrganisationId, Option<u8>)>,
) -> RequestFingerprint {
    let head = &request.head;
    let organisation = organisation.map(|(id, _)| id);
    RequestFingerprint::of(organisation, &head.host, &head.target, &request.body)
}

fn read_prompt(
    router: &ForwardRouter,
    request: &ReceivedRequest,
) -> Result<(TokenUsage, PromptShape), RefusalAnswer> {
    let names = &router.settings.names;
    let fields = &request.head.fields;
    let malformed = || RefusalAnswer::new(ForwardRefusal::Malformed);
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

/// The earlier of the caller's and the operator's limit.
fn end_of(
    router: &ForwardRouter,
    route: &RouteEntry,
    request: &ReceivedRequest,
) -> Result<ClockTime, RefusalAnswer> {
    let limit = request.received_at + route.time_limit;
    let told = told_time(router, request)?;
    Ok(told.map_or(limit, |span| limit.min(request.received_at + span)))
}

/// How long the caller waits, if it says so.
fn told_time(
    router: &ForwardRouter,
    request: &ReceivedRequest,
) -> Result<Option<ClockSpan>, RefusalAnswer> {
    let name = router.settings.names.time_left;
    let Some(text) = request.head.fields.get(name) else {
        return Ok(None);
    };
    let left: f64 = text
        .trim()
        .parse()
        .map_err(|_| RefusalAnswer::new(ForwardRefusal::Malformed))?;
    Ok(Some(ClockSpan::from_millis(whole(left))))
}

fn check_room(router: &ForwardRouter, ends_at: ClockTime) -> Result<(), RefusalAnswer> {
    let admission = &router.settings.admission;
    let left = router.clock.left(ends_at);
    // This request counts among those held.
    let held = router.held_requests.get().saturating_sub(1);
    admit(admission, held, router.held_bytes.get(), left)
        .map_err(|refusal| RefusalAnswer::new(refusal).after(RETRY_NO_MEMORY))
}

async fn reserve(
    router: &Rc<ForwardRouter>,
    config: &ForwardConfig,
    organisation: Option<&(OrganisationId, Option<u8>)>,
    usage: TokenUsage,
    ends_at: ClockTime,
    record: &RequestRecord,
) -> Result<Option<TokenReservation>, RefusalAnswer> {
    let Some((id, _)) = organisation else {
        return Ok(None);
    };
    let entry = config.organisation_by_id(id);
    let paid = entry.and_then(|entry| entry.paid);
    let worst = usage.worst_case();
    let Some(paid) = paid.filter(|_| worst > TokenCount::ZERO) else {
        return Ok(None);
    };
    let left = router.clock.left(ends_at);
    let reserved = router.budgets.reserve(id, worst, left).await;
    reserved.map(Some).map_err(|refusal| {
        note_budget(record, worst, &refusal);
        if refusal.facts.paid < paid.get() {
            // More was paid than the store told this process yet.
            let after = refusal.answer.retry_after.unwrap_or_default();
            return RefusalAnswer::new(ForwardRefusal::BudgetUnavailable).after(after);
        }
        refusal.answer
    })
}

/// Notes what a reservation was turned down by.
fn note_budget(record: &RequestRecord, worst: TokenCount, refusal: &BudgetRefusal) {
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
