//! Choosing a backend server, and what its failures mean.

use std::sync::Arc;

use guavawell_core::backend::BackendLease;
use guavawell_core::backend::ChoiceRequest;
use guavawell_core::backend::LeaseOutcome;
use guavawell_core::backend::NoBackend;
use guavawell_core::budget::BackendAssignment;
use guavawell_core::clock::ClockSpan;
use guavawell_core::id::AttemptId;
use guavawell_core::id::BackendId;
use guavawell_core::limits::RequestPriority;
use guavawell_core::request::RefusalReason;

use super::attempt::OutgoingCall;
use super::core::RouterCore;
use super::entry::CallerEntry;
use super::reserve::HeldReservation;
use crate::claim::RefusalCause;
use crate::clock;
use crate::engine::EngineError;
use crate::engine::EngineRequest;
use crate::event::EventDraft;

/// When a caller may come back where nothing better is known.
const RETRY_HINT: ClockSpan = ClockSpan::from_millis(1_000);

/// How a failed exchange counts for its backend server.
#[must_use]
pub fn lease_outcome(failure: &EngineError) -> LeaseOutcome {
    match failure {
        EngineError::NotSent(_) => LeaseOutcome::Unreachable,
        EngineError::Rejected { .. } => LeaseOutcome::Overloaded,
        EngineError::Silent => LeaseOutcome::Silent,
        _ => LeaseOutcome::Failed,
    }
}

/// Chooses a backend server and counts the request in flight there.
pub fn choose(
    core: &RouterCore,
    call: &OutgoingCall,
    tried: &[BackendId],
) -> Result<BackendLease, NoBackend> {
    let table = core.backends.load_full();
    loop {
        let ask = ChoiceRequest {
            target: &call.target,
            version: None,
            adapter: None,
            zone: &core.settings.instance.zone,
            prefix: call.prefix,
            exclude: tried,
            draw: fastrand::u64(..),
            now: clock::now(),
        };
        match table.choose(&ask)?.begin(clock::now()) {
            Ok(lease) => return Ok(lease),
            Err(NoBackend::Leaving) => {}
            Err(other) => return Err(other),
        }
    }
}

/// Notes where the attempt runs, for its events and for a retry elsewhere.
pub fn note(
    core: &Arc<RouterCore>,
    reservation: &HeldReservation,
    backend: &BackendId,
    idempotent: bool,
) {
    let identity = &reservation.identity;
    core.events.emit(
        EventDraft::new("attempt.started")
            .organisation(&identity.organisation)
            .request(&identity.request)
            .attempt(reservation.attempt)
            .field("backend", backend)
            .field("idempotent", idempotent),
    );
    core.slots.note_backend(BackendAssignment {
        identity: identity.clone(),
        attempt: reservation.attempt,
        backend: backend.clone(),
    });
}

/// The message for a backend server.
#[must_use]
pub fn engine_request(
    entry: &CallerEntry,
    call: &OutgoingCall,
    attempt: AttemptId,
    priority: RequestPriority,
) -> EngineRequest {
    EngineRequest {
        attempt,
        request: entry.head.identity.request.clone(),
        organisation: entry.head.identity.organisation.clone(),
        path: call.path.clone(),
        body: Arc::clone(&call.body),
        priority: priority.get(),
        fence: None,
        reuse: call.idempotent,
    }
}

/// Why a request is refused where no backend server can be chosen.
#[must_use]
pub fn no_backend(cause: NoBackend) -> RefusalCause {
    let (reason, hint) = match cause {
        NoBackend::Saturated { retry_after } => (RefusalReason::Overloaded, retry_after),
        _ => (RefusalReason::NoBackend, RETRY_HINT),
    };
    RefusalCause {
        reason,
        detail: cause.to_string().into(),
        retry_after: Some(hint),
    }
}

/// Why a request is refused whose attempt did not run and may not be retried.
#[must_use]
pub fn failed(failure: &EngineError) -> RefusalCause {
    let (reason, hint) = match failure {
        EngineError::Rejected { retry_after, .. } => (RefusalReason::Overloaded, *retry_after),
        _ => (RefusalReason::BackendFailed, None),
    };
    RefusalCause {
        reason,
        detail: failure.to_string().into(),
        retry_after: Some(hint.unwrap_or(RETRY_HINT)),
    }
}
