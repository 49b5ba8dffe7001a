//! What a configuration says of a request: its route and whose it is.
//!
//! Load pattern: a request waits for tokens, for a connection or for a server
//! that does not answer, and meanwhile its route moves to another service or its
//! key is taken away. So it is asked when the request comes, and again each time
//! that it is sent on.

use std::rc::Rc;
use std::sync::Arc;

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::ForwardConfig;
use guavawell_core::forward::ForwardRefusal;
use guavawell_core::forward::RetrySafety;
use guavawell_core::forward::RouteEntry;
use guavawell_core::id::OrganisationId;

use crate::door::ReceivedRequest;
use crate::record::RequestRecord;
use crate::refuse::RefusalAnswer;
use crate::router::ForwardRouter;
use crate::serve::ForwardCall;

/// Retry-After of a process that has no configuration yet: its first read of
/// the platform takes tens of milliseconds where the platform answers.
pub const RETRY_NO_CONFIG: ClockSpan = ClockSpan::from_millis(500);

/// An organisation and the rank of its requests.
pub type RankedOrganisation = (OrganisationId, Option<u8>);

/// The route of a request.
///
/// # Errors
///
/// The answer to a request without one.
pub fn find_route(
    router: &ForwardRouter,
    config: &ForwardConfig,
    request: &ReceivedRequest,
) -> Result<Arc<RouteEntry>, RefusalAnswer> {
    let head = &request.head;
    let route = config.routes.find(&head.host, head.path());
    route
        .cloned()
        .ok_or_else(|| unknown(router, ForwardRefusal::NoRoute))
}

/// The organisation whose key a request carries; `None` where none is asked for.
///
/// # Errors
///
/// The answer to a request without a known key.
pub fn identify(
    router: &ForwardRouter,
    config: &ForwardConfig,
    route: &RouteEntry,
    request: &ReceivedRequest,
) -> Result<Option<RankedOrganisation>, RefusalAnswer> {
    if route.public || !config.needs_keys() {
        return Ok(None);
    }
    let value = request.head.fields.get("authorization");
    let key = value.and_then(|value| {
        let (scheme, key) = value.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then_some(key.trim())
    });
    let Some(key) = key else {
        return Err(RefusalAnswer::new(ForwardRefusal::UnknownKey));
    };
    let entry = config
        .organisation(key)
        .ok_or_else(|| unknown(router, ForwardRefusal::UnknownKey))?;
    Ok(Some((entry.id.clone(), entry.priority)))
}

/// Notes by which configuration a request is judged, and how old that may be.
pub fn note_config(router: &ForwardRouter, config: &ForwardConfig, record: &RequestRecord) {
    record.note("config", config.version);
    if let Some(age) = router.configs.age() {
        record.note("config_age_ms", age.as_millis());
    }
}

/// What a configuration does not know, unless a newer one may know it.
fn unknown(router: &ForwardRouter, refusal: ForwardRefusal) -> RefusalAnswer {
    if router.configs.is_overdue() {
        RefusalAnswer::new(ForwardRefusal::NoConfig).after(RETRY_NO_CONFIG)
    } else {
        RefusalAnswer::new(refusal)
    }
}

/// Judges a request by the configuration in force now, if another one is than
/// when it was judged before.
///
/// # Errors
///
/// Why it is not sent on.
pub fn judge_again(
    router: &ForwardRouter,
    call: &mut ForwardCall<'_>,
    may_have_run: bool,
    record: &RequestRecord,
) -> Result<(), ForwardRefusal> {
    let Some(config) = changed_config(router, call) else {
        return Ok(());
    };
    note_config(router, &config, record);
    let route = route_under(router, &config, call)?;
    if may_have_run && route.retry_safety == RetrySafety::Once {
        return Err(ForwardRefusal::AnswerLost);
    }
    if !route.sends_to(&call.service) {
        call.service = route.service(fastrand::u64(..)).clone();
        record.note("service", &call.service);
    }
    let engine = config.service(&call.service);
    call.engine = engine.and_then(|entry| entry.engine);
    call.ends_at = call
        .ends_at
        .min(call.request.received_at + route.time_limit);
    call.route = route;
    call.config = config;
    Ok(())
}

/// Whether the configuration in force now allows what was chosen for a request.
#[must_use]
pub fn is_allowed(router: &ForwardRouter, call: &ForwardCall<'_>) -> bool {
    let Some(config) = changed_config(router, call) else {
        return true;
    };
    let route = route_under(router, &config, call);
    route.is_ok_and(|route| route.sends_to(&call.service))
}

fn changed_config(router: &ForwardRouter, call: &ForwardCall<'_>) -> Option<Rc<ForwardConfig>> {
    let config = router.configs.current()?;
    (!Rc::ptr_eq(&config, &call.config)).then_some(config)
}

/// The route that a configuration gives a request of the same organisation.
fn route_under(
    router: &ForwardRouter,
    config: &ForwardConfig,
    call: &ForwardCall<'_>,
) -> Result<Arc<RouteEntry>, ForwardRefusal> {
    let refusal = |answer: RefusalAnswer| answer.refusal;
    let route = find_route(router, config, call.request).map_err(refusal)?;
    let organisation = identify(router, config, &route, call.request).map_err(refusal)?;
    let id = |ranked: &Option<RankedOrganisation>| ranked.as_ref().map(|(id, _)| id.clone());
    if id(&organisation) == id(&call.organisation) {
        Ok(route)
    } else {
        // Its tokens were set aside for another one: it may come again.
        Err(ForwardRefusal::NoConfig)
    }
}
