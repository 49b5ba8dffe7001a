//! Logs what becomes of attempts.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::RetryDenial;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::ServerPick;
use guavawell_fleet::event::EventDraft;

use crate::attempt::AttemptFailure;
use crate::attempt::AttemptInfo;
use crate::router::ForwardRouter;
use crate::serve::ForwardCall;

/// Parts of a prompt that the event of a failed attempt names.
const MAX_LOGGED_PARTS: usize = 4;

/// Logs an attempt that ended without a complete response, and why the request is not
/// sent again.
pub fn note_attempt(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    failure: &AttemptFailure,
    retry: Result<(), RetryDenial>,
) {
    let info = &failure.info;
    let end = failure.end.as_str();
    metrics::counter!("guavawell_forward_attempts_failed_total", "end" => end).increment(1);
    let mut draft = EventDraft::new("attempt.ended")
        .field("end", end)
        .field("fingerprint", call.fingerprint)
        .field("server", &info.server)
        .field("parts", shared_parts(call));
    draft.request = call.id.parse().ok();
    if let Err(denial) = retry {
        let reason = denial.as_str();
        metrics::counter!("guavawell_forward_retries_denied_total", "reason" => reason)
            .increment(1);
        draft = draft.field("no_retry", reason);
    }
    let now = router.clock.now();
    if let Some(heard_at) = info.heard_at.get() {
        draft = draft.field("quiet_ms", now.since(heard_at).as_millis());
    }
    if let Some(span) = info.idle_for {
        draft = draft.field("idle_ms", span.as_millis());
    }
    if let Some(server) = router.servers.borrow().get(&info.server) {
        let silence_ms = now.since(server.health.last_received_at).as_millis();
        draft = draft
            .field("heard_ms_ago", silence_ms)
            .field("in_flight", server.load.in_flight);
    }
    router.log.emit(draft);
}

/// The first shared parts of a request's prompt, as text.
fn shared_parts(call: &ForwardCall<'_>) -> String {
    let parts = call.shape.shared_parts().iter().take(MAX_LOGGED_PARTS);
    let ids: Vec<_> = parts.map(|part| format!("{:x}", part.id)).collect();
    ids.join(",")
}

/// Logs what is done about a late attempt.
pub struct LateAttempt<'a> {
    router: &'a ForwardRouter,
    request: &'a str,
    server: &'a ServerIncarnation,
    late_at: ClockTime,
    quiet: ClockSpan,
}

impl<'a> LateAttempt<'a> {
    /// An attempt that is late now.
    #[must_use]
    pub fn new(router: &'a ForwardRouter, call: &ForwardCall<'a>, info: &'a AttemptInfo) -> Self {
        let now = router.clock.now();
        let heard_at = info.heard_at.get().unwrap_or(now);
        Self {
            router,
            request: call.id,
            server: &info.server,
            late_at: now,
            quiet: now.since(heard_at),
        }
    }

    fn emit(&self, step: &'static str, draft: EventDraft) {
        metrics::counter!("guavawell_forward_late_attempts_total", "step" => step).increment(1);
        let mut draft = draft
            .field("step", step)
            .field("server", self.server)
            .field("quiet_ms", self.quiet.as_millis());
        draft.request = self.request.parse().ok();
        self.router.log.emit(draft);
    }

    /// No second attempt is sent.
    pub fn note_kept(&self, denial: RetryDenial) {
        let draft = EventDraft::new("attempt.late").field("reason", denial.as_str());
        self.emit("kept", draft);
    }

    /// A second attempt is sent.
    pub fn note_sent(&self, pick: &ServerPick) {
        let draft = EventDraft::new("attempt.late").field("other", &pick.server);
        self.emit("sent", draft);
    }

    /// An attempt brought what the caller needs next.
    pub fn note_end(&self, winner: &'static str, info: &AttemptInfo) {
        let took = self.router.clock.now().since(self.late_at);
        let draft = EventDraft::new("attempt.late")
            .field("winner", &info.server)
            .field("after_ms", took.as_millis());
        self.emit(winner, draft);
    }
}
