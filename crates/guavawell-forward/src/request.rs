//! Builds the request that is sent to a backend server.

use guavawell_core::forward::ServerIncarnation;

use crate::http::BodyFraming;
use crate::http::HeadWriter;
use crate::http::is_hop_by_hop;
use crate::retry::RequestProgress;
use crate::router::ForwardRouter;
use crate::serve::ForwardCall;

/// The lowest priority. Smaller numbers are more urgent.
const LAST_PRIORITY: u8 = 9;

/// Serializes the request for a server. Method, target and body are unchanged.
#[must_use]
pub fn request_bytes(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    server: &ServerIncarnation,
    progress: &RequestProgress,
) -> Vec<u8> {
    let names = &router.settings.names;
    let request = call.request;
    let fields = &request.head.fields;
    let mut head = HeadWriter::request(&request.head.method, &request.head.target);
    let resumed = progress.stream.last_event;
    for (name, value) in fields.iter() {
        let replaced = is_own_field(router, name)
            || is_hop_by_hop(fields, name)
            || (resumed.is_some() && name.eq_ignore_ascii_case(names.last_event));
        if !replaced {
            head.field(name, value);
        }
    }
    let left = router.clock.left(call.deadline).as_millis();
    head.field_of(names.time_left, left);
    head.field(names.expected_server, server.id.as_str().as_bytes());
    if let Some((organisation, _)) = &call.organisation {
        head.field(names.organisation, organisation.as_str().as_bytes());
    }
    if call.engine.is_some() {
        head.field_of(names.priority, priority(call));
    }
    if let Some(event) = resumed {
        head.field_of(names.last_event, event);
    }
    let has_body = request.head.framing != BodyFraming::Empty;
    if has_body {
        head.field_of("Content-Length", request.body.len());
    }
    let mut bytes = head.finish();
    bytes.extend_from_slice(&request.body);
    bytes
}

/// The organisation's priority, or the route's if the organisation has none.
fn priority(call: &ForwardCall<'_>) -> u8 {
    let own = call
        .organisation
        .as_ref()
        .and_then(|(_, priority)| *priority);
    own.unwrap_or(call.route.priority).min(LAST_PRIORITY)
}

/// Whether the router sets or removes this field, whatever the caller sent.
fn is_own_field(router: &ForwardRouter, name: &str) -> bool {
    let names = &router.settings.names;
    let own = [
        names.time_left,
        names.organisation,
        names.expected_server,
        names.priority,
        "authorization",
        "content-length",
        "expect",
    ];
    let same = |other: &&str| name.eq_ignore_ascii_case(other);
    own.iter().any(same) || names.reserved.iter().any(same)
}
