//! Reads what a server reports about itself in the head of any response: that
//! it is leaving, that it is cold, that it accepts few requests, or none for a while,
//! or that it is fragile.
//!
//! The report applies until the server restarts and takes precedence over the
//! platform's entry, which is updated later, or not at all while the platform
//! is unreachable.

use std::fmt::Display;

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::RateError;
use guavawell_core::forward::RequestRate;
use guavawell_core::forward::ServerEntry;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::WorkPace;
use guavawell_core::forward::parse_cold_span;
use guavawell_core::forward::parse_pause;
use guavawell_fleet::event::EventDraft;

use crate::http::ResponseHead;
use crate::limit_news::log_limit;
use crate::limit_news::queue_change;
use crate::response::IncomingResponse;
use crate::router::ForwardRouter;

/// Header field with the time for which a server accepts no requests.
const RETRY_AFTER: &str = "retry-after";
/// Value of the leaving field.
const LEAVING_VALUE: &str = "1";

/// Applies the report in a response head to the server's entry.
pub fn apply_server_status(
    router: &ForwardRouter,
    server: &ServerIncarnation,
    head: &ResponseHead,
) {
    if head.status == 421 {
        // Another server has taken over the address; the report is not this
        // server's.
        return;
    }
    if head
        .fields
        .has_token(router.settings.names.leaving, LEAVING_VALUE)
    {
        apply_leaving(router, server);
    }
    if let Some(text) = head.fields.get(router.settings.names.cold) {
        apply_cold_span(router, server, text);
    }
    apply_limit(router, server, head);
    apply_fragility(router, server, head);
    if head.status == 503 {
        apply_pause(router, server, head);
    }
}

/// Applies the cold time that a server states.
fn apply_cold_span(router: &ForwardRouter, server: &ServerIncarnation, text: &str) {
    let span = read_cold_span(router, server, text);
    let now = router.clock.now();
    let mut servers = router.servers.borrow_mut();
    let entry = servers.get_mut(server);
    let is_news = entry.is_some_and(|entry| entry.warmth.report(now, span));
    drop(servers);
    if is_news {
        router.log_cold(server, "response", span);
    }
}

/// The cold time that a server states. A malformed one counts as the cold time after
/// a start, so that the server does not get too many requests.
pub fn read_cold_span(router: &ForwardRouter, server: &ServerIncarnation, text: &str) -> ClockSpan {
    parse_cold_span(text).unwrap_or_else(|error| {
        log_unreadable(router, server, router.settings.names.cold, &error);
        let servers = router.servers.borrow();
        let service = servers.get(server).map(|entry| &entry.service);
        service
            .and_then(|service| router.cold_span(service))
            .unwrap_or_default()
    })
}

fn log_unreadable(
    router: &ForwardRouter,
    server: &ServerIncarnation,
    field: &str,
    error: &dyn Display,
) {
    let draft = EventDraft::new("server.word_unreadable")
        .field("server", server)
        .field("field", field)
        .field("error", error);
    router.log.emit(draft);
}

fn apply_leaving(router: &ForwardRouter, server: &ServerIncarnation) {
    let mut servers = router.servers.borrow_mut();
    let changed = servers
        .get_mut(server)
        .is_some_and(ServerEntry::record_leaving);
    drop(servers);
    if !changed {
        return;
    }
    router.pool.borrow_mut().drop_connections(server);
    let silent = router.configs.age().unwrap_or_default();
    let draft = EventDraft::new("server.says_leaving")
        .field("server", server)
        .field("platform_silent_ms", silent.as_millis());
    router.log.emit(draft);
}

/// Applies the rate limit that a server states, or lifts it if the response states
/// none.
fn apply_limit(router: &ForwardRouter, server: &ServerIncarnation, head: &ResponseHead) {
    let name = router.settings.names.limit;
    let (lowest, malformed) = lowest_rate(head, name);
    let now = router.clock.now();
    let mut servers = router.servers.borrow_mut();
    let Some(entry) = servers.get_mut(server) else {
        return;
    };
    let is_news = malformed.is_some() && entry.limit.note_unreadable();
    // A malformed value changes nothing, so that it lifts no limit.
    let change = if malformed.is_some() && lowest.is_none() {
        None
    } else {
        entry.limit.state(now, lowest)
    };
    drop(servers);
    if let Some(error) = malformed.filter(|_| is_news) {
        log_unreadable(router, server, name, &error);
    }
    if let Some(change) = change {
        log_limit(router, server, change, "response");
        queue_change(router, server, lowest);
    }
}

/// Applies what a server states of its fragility, or that it states nothing.
fn apply_fragility(router: &ForwardRouter, server: &ServerIncarnation, head: &ResponseHead) {
    let name = router.settings.names.fragile;
    let (lowest, malformed) = lowest_rate(head, name);
    let now = router.clock.now();
    let mut servers = router.servers.borrow_mut();
    let Some(entry) = servers.get_mut(server) else {
        return;
    };
    let is_news = malformed.is_some() && entry.fragility.note_unreadable();
    let keeps = malformed.is_some() && lowest.is_none();
    let changed = !keeps && entry.fragility.state(now, lowest);
    drop(servers);
    if let Some(error) = malformed.filter(|_| is_news) {
        log_unreadable(router, server, name, &error);
    }
    if changed {
        let draft = match lowest {
            Some(rate) => EventDraft::new("server.fragile").field("rejections_per_second", rate),
            None => EventDraft::new("server.robust"),
        };
        router.log.emit(draft.field("server", server));
    }
}

/// The lowest of the rates in a field, and the error of a malformed one.
fn lowest_rate(head: &ResponseHead, name: &str) -> (Option<RequestRate>, Option<RateError>) {
    let mut lowest: Option<RequestRate> = None;
    let mut malformed = None;
    for text in head.fields.all(name) {
        match String::from_utf8_lossy(text).parse() {
            Ok(rate) => lowest = Some(lowest.map_or(rate, |lowest| lowest.min(rate))),
            Err(error) => malformed = Some(error),
        }
    }
    (lowest, malformed)
}

/// Applies the Retry-After of a server that rejected a request. The longest of
/// several values counts.
fn apply_pause(router: &ForwardRouter, server: &ServerIncarnation, head: &ResponseHead) {
    let texts = head.fields.all(RETRY_AFTER);
    let longest = texts
        .map(|text| parse_pause_field(router, server, text))
        .max()
        .unwrap_or_default();
    if longest == ClockSpan::ZERO {
        return;
    }
    let now = router.clock.now();
    let mut servers = router.servers.borrow_mut();
    let entry = servers.get_mut(server);
    let changed = entry.is_some_and(|entry| entry.pause(now, longest));
    drop(servers);
    metrics::counter!("guavawell_forward_server_pauses_total").increment(1);
    if changed {
        let draft = EventDraft::new("server.pauses")
            .field("server", server)
            .field("for_ms", longest.as_millis());
        router.log.emit(draft);
    }
}

fn parse_pause_field(router: &ForwardRouter, server: &ServerIncarnation, text: &[u8]) -> ClockSpan {
    let text = String::from_utf8_lossy(text);
    let (pause, error) = parse_pause(&text);
    if let Some(error) = error {
        log_unreadable(router, server, RETRY_AFTER, &error);
    }
    pause
}

/// Records the load that a server states.
pub fn note_load(router: &ForwardRouter, response: &IncomingResponse) {
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

/// Records the pace that a server states, and how long it took for a plain response.
pub fn note_work(router: &ForwardRouter, response: &IncomingResponse, began: ClockTime) {
    let pace = stated_pace(router, &response.head);
    let took = router.clock.now().since(began);
    response.guard.change(|server| {
        let (waiting, slots) = (server.load.waiting, server.slots);
        server.work.record(pace, took, waiting, slots);
    });
}

/// The pace of a server: the fourth figure of its load.
fn stated_pace(router: &ForwardRouter, head: &ResponseHead) -> Option<WorkPace> {
    let text = head.fields.get(router.settings.names.load)?;
    text.split(',').nth(3)?.trim().parse().ok()
}
