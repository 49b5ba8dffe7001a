//! Looks up the route and the organisation of a request in the configuration.
//!
//! A request may wait for tokens, for a connection or for a server, and
//! meanwhile its route may move to another service or its key may be revoked.
//! The configuration is therefore checked when the request arrives and again
//! before each attempt.

use std::rc::Rc;
use std::sync::Arc;

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::ForwardConfig;
use guavawell_core::forward::ForwardRefusal;
use guavawell_core::forward::RetrySafety;
use guavawell_core::forward::RouteEntry;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::RegionId;

use crate::http::RequestHead;
use crate::record::RequestRecord;
use crate::refusal::RefusalResponse;
use crate::router::ForwardRouter;
use crate::serve::ForwardCall;

/// Retry-After of a process without a configuration. Its first read of the
/// platform takes tens of milliseconds if the platform responds.
pub const RETRY_NO_CONFIG: ClockSpan = ClockSpan::from_millis(500);

/// An organisation and the priority of its requests.
pub type RankedOrganisation = (OrganisationId, Option<u8>);

/// Finds the route of a request.
///
/// # Errors
///
/// The refusal of a request without a route.
pub fn find_route(
    router: &ForwardRouter,
    config: &ForwardConfig,
    head: &RequestHead,
) -> Result<Arc<RouteEntry>, RefusalResponse> {
    let route = config.routes.find(&head.host, head.path());
    route
        .cloned()
        .ok_or_else(|| unknown_refusal(router, ForwardRefusal::NoRoute))
}

/// Finds the organisation whose key a request carries; `None` if no key is
/// required.
///
/// # Errors
///
/// The refusal of a request without a known key.
pub fn authenticate(
    router: &ForwardRouter,
    config: &ForwardConfig,
    route: &RouteEntry,
    head: &RequestHead,
) -> Result<Option<RankedOrganisation>, RefusalResponse> {
    if route.public || !config.needs_keys() {
        return Ok(None);
    }
    let value = head.fields.get("authorization");
    let key = value.and_then(|value| {
        let (scheme, key) = value.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then_some(key.trim())
    });
    let Some(key) = key else {
        return Err(RefusalResponse::new(ForwardRefusal::UnknownKey));
    };
    let entry = config
        .organisation(key)
        .ok_or_else(|| unknown_refusal(router, ForwardRefusal::UnknownKey))?;
    Ok(Some((entry.id.clone(), entry.priority)))
}

/// Records the version and the age of the configuration that applies to a
/// request.
pub fn note_config(router: &ForwardRouter, config: &ForwardConfig, record: &RequestRecord) {
    record.note("config", config.version);
    if let Some(age) = router.configs.age() {
        record.note("config_age_ms", age.as_millis());
    }
}

/// The refusal if the configuration does not contain the route or the key. If
/// the configuration is overdue, a newer one may contain it, and the refusal asks
/// the caller to retry.
fn unknown_refusal(router: &ForwardRouter, refusal: ForwardRefusal) -> RefusalResponse {
    if router.configs.is_overdue() {
        RefusalResponse::new(ForwardRefusal::NoConfig).after(RETRY_NO_CONFIG)
    } else {
        RefusalResponse::new(refusal)
    }
}

/// Checks a request against the current configuration, if that has changed
/// since the last check, and applies it to what is sent from now on. `record` takes note
/// of it.
///
/// # Errors
///
/// Why the request must not be sent again.
pub fn recheck_config(
    router: &ForwardRouter,
    call: &mut ForwardCall<'_>,
    may_have_run: bool,
    record: Option<&RequestRecord>,
) -> Result<(), ForwardRefusal> {
    let Some(config) = changed_config(router, call) else {
        return Ok(());
    };
    if let Some(record) = record {
        note_config(router, &config, record);
    }
    let route = route_in_config(router, &config, call)?;
    if may_have_run && route.retry_safety == RetrySafety::Once {
        return Err(ForwardRefusal::AnswerLost);
    }
    if !route.sends_to(&call.service) {
        call.service = route.service(fastrand::u64(..)).clone();
        if let Some(record) = record {
            record.note("service", &call.service);
        }
    }
    let engine = config.service(&call.service);
    call.engine = engine.and_then(|entry| entry.engine);
    call.deadline = call
        .deadline
        .min(call.request.received_at + route.time_limit);
    call.route = route;
    call.config = config;
    Ok(())
}

/// Whether the current configuration allows the service that was selected for
/// the request, and the regions in which it may run are the same.
#[must_use]
pub fn is_allowed(router: &ForwardRouter, call: &ForwardCall<'_>) -> bool {
    let Some(config) = changed_config(router, call) else {
        return true;
    };
    let route = route_in_config(router, &config, call);
    let has_same_homes =
        organisation_homes(&config, call) == organisation_homes(&call.config, call);
    route.is_ok_and(|route| {
        let may_run = has_same_homes && route.homes == call.route.homes;
        may_run && route.sends_to(&call.service)
    })
}

/// Home regions of the request's organisation by a configuration.
#[must_use]
pub fn organisation_homes<'a>(config: &'a ForwardConfig, call: &ForwardCall<'_>) -> &'a [RegionId] {
    let organisation = call.organisation.as_ref();
    let entry = organisation.and_then(|(id, _)| config.organisation_by_id(id));
    entry.map_or(&[], |entry| &entry.homes)
}

fn changed_config(router: &ForwardRouter, call: &ForwardCall<'_>) -> Option<Rc<ForwardConfig>> {
    let config = router.configs.current()?;
    (!Rc::ptr_eq(&config, &call.config)).then_some(config)
}

/// The route of the request in another configuration, if the request's
/// organisation is still the same.
fn route_in_config(
    router: &ForwardRouter,
    config: &ForwardConfig,
    call: &ForwardCall<'_>,
) -> Result<Arc<RouteEntry>, ForwardRefusal> {
    let refusal = |answer: RefusalResponse| answer.refusal;
    let route = find_route(router, config, &call.request.head).map_err(refusal)?;
    let organisation = authenticate(router, config, &route, &call.request.head).map_err(refusal)?;
    let id = |ranked: &Option<RankedOrganisation>| ranked.as_ref().map(|(id, _)| id.clone());
    if id(&organisation) == id(&call.organisation) {
        Ok(route)
    } else {
        // The tokens were reserved for another organisation, so the caller has
        // to send the request again.
        Err(ForwardRefusal::NoConfig)
    }
}
