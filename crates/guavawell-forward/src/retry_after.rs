//! Tells callers of refused requests when to come back.

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::ForwardRefusal;
use guavawell_core::forward::ServerPhase;

use crate::eligible::with_constraints;
use crate::router::ForwardRouter;
use crate::serve::ForwardCall;

/// Retry-After if requests and responses fill the memory that is meant for them.
pub const RETRY_NO_MEMORY: ClockSpan = ClockSpan::from_millis(500);
/// Retry-After if no server is available: about the time until a restarted
/// server is listed again.
const RETRY_NO_SERVER: ClockSpan = ClockSpan::from_millis(1_000);
/// Retry-After if all servers are full: the time of a few responses.
const RETRY_FULL: ClockSpan = ClockSpan::from_millis(600);
/// Retry-After if the zones of all servers are evacuated. When that ends is
/// unknown; an evacuation takes seconds.
const RETRY_EVACUATED: ClockSpan = ClockSpan::from_millis(3_000);
/// Random addition to Retry-After, so that callers do not all retry at the same
/// time.
const RETRY_JITTER_MS: u64 = 400;

/// When the caller of a refused request should come back: when a server takes
/// requests again, as far as that is known, plus jitter; `None` if no server will.
#[must_use]
pub fn retry_after(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    refusal: ForwardRefusal,
) -> Option<ClockSpan> {
    if refusal == ForwardRefusal::VersionGone && !may_version_return(router, call) {
        return None;
    }
    let now = router.clock.now();
    let servers = router.servers.borrow();
    let resumes_in = servers.resumes_in(&call.service, now);
    let base = match refusal {
        ForwardRefusal::CrashesServers => router
            .poison
            .refused_with_parts(call.fingerprint, call.parts.iter().copied()),
        ForwardRefusal::ServersPaused | ForwardRefusal::NoServer => resumes_in,
        ForwardRefusal::ServersFull => resumes_in.or(Some(RETRY_FULL)),
        ForwardRefusal::Evacuated => Some(RETRY_EVACUATED),
        ForwardRefusal::ServersCold => router
            .cold_span(&call.service)
            .and_then(|span| servers.warm_in(&call.service, span, now)),
        ForwardRefusal::ServersLimited => with_constraints(router, call, |constraints| {
            servers.limit_wait(&constraints, now)
        }),
        _ => None,
    };
    let jitter = ClockSpan::from_millis(fastrand::u64(..RETRY_JITTER_MS));
    let base = base.unwrap_or(RETRY_NO_SERVER);
    Some(base + jitter)
}

/// Whether a server of the version that began the stream is known and does not leave.
fn may_version_return(router: &ForwardRouter, call: &ForwardCall<'_>) -> bool {
    let servers = router.servers.borrow();
    let mut remaining = servers
        .servers()
        .iter()
        .filter(|entry| entry.phase != ServerPhase::Leaving);
    let origin = call.origin.as_ref();
    origin.is_some_and(|origin| remaining.any(|entry| entry.may_continue(origin)))
}
