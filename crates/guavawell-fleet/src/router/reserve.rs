//! Reserves a request's worst case and says what its answer means.

use std::sync::Arc;
use std::time::Duration;

use guavawell_core::budget::ReleaseRequest;
use guavawell_core::budget::ReserveAnswer;
use guavawell_core::budget::ReserveGrant;
use guavawell_core::budget::ReserveRequest;
use guavawell_core::budget::ReservedAttempt;
use guavawell_core::clock::ClockSpan;
use guavawell_core::id::AttemptId;
use guavawell_core::id::BackendId;
use guavawell_core::id::BudgetId;
use guavawell_core::id::TokenCount;
use guavawell_core::request::Refusal;
use guavawell_core::request::RefusalReason;
use guavawell_core::request::RequestDigest;
use guavawell_core::request::RequestIdentity;
use guavawell_core::request::UnsentAttempt;
use smol::Timer;

use super::core::RouterCore;
use super::entry::CallerEntry;
use crate::event::EventDraft;
use crate::slot::OrphanedAttempt;

/// Looks for the backend server of a running attempt before it is given up.
const MAX_JOIN_LOOKS: usize = 20;

/// Wait between two such looks.
pub const JOIN_PAUSE: Duration = Duration::from_millis(50);

/// What a request may do after its reservation.
pub enum ReservedRequest {
    /// Run an attempt under the grant.
    Run(HeldReservation),
    /// Read along with an attempt that runs or ran at this backend server.
    Follow {
        /// The attempt.
        attempt: AttemptId,
        /// Its backend server.
        backend: BackendId,
    },
}

/// A reservation that is given back unless it is settled or kept in doubt.
pub struct HeldReservation {
    core: Option<Arc<RouterCore>>,
    /// The request.
    pub identity: RequestIdentity,
    /// The attempt.
    pub attempt: AttemptId,
    /// The grant.
    pub grant: ReserveGrant,
    budget: BudgetId,
    digest: RequestDigest,
}

impl HeldReservation {
    /// The budget that pays.
    pub const fn budget(&self) -> &BudgetId {
        &self.budget
    }

    /// Keeps the reservation: it will be settled.
    pub fn keep(&mut self) {
        self.core = None;
    }

    /// Keeps the reservation until the record of the backend server that may
    /// have run the attempt tells what became of it.
    pub fn doubt(&mut self, backend: &BackendId) {
        let Some(core) = self.core.take() else {
            return;
        };
        core.events.emit(
            EventDraft::new("attempt.in_doubt")
                .organisation(&self.identity.organisation)
                .request(&self.identity.request)
                .attempt(self.attempt)
                .field("backend", backend),
        );
        core.doubts.add(OrphanedAttempt {
            identity: self.identity.clone(),
            slot: core.slots.slot_of(&self.identity.organisation),
            held: ReservedAttempt {
                attempt: self.attempt,
                budget: self.budget.clone(),
                pool: self.grant.pool,
                tenure: self.grant.tenure,
                amount: self.grant.amount,
                router: core.life.clone(),
                backend: Some(backend.clone()),
                digest: self.digest,
            },
            holder: self.grant.holder.clone(),
        });
    }
}

impl Drop for HeldReservation {
    fn drop(&mut self) {
        if let Some(core) = self.core.take() {
            core.events.emit(
                EventDraft::new("reservation.released")
                    .organisation(&self.identity.organisation)
                    .request(&self.identity.request)
                    .attempt(self.attempt),
            );
            let ask = ReleaseRequest {
                identity: self.identity.clone(),
                attempt: self.attempt,
                before: None,
            };
            let slot = core.slots.slot_of(&self.identity.organisation);
            core.slots.release_granted(slot, ask, &self.grant);
        }
    }
}

/// What is reserved, and for which request.
#[derive(Clone, Copy, Debug)]
pub struct ReservationAsk {
    /// The worst case.
    pub amount: TokenCount,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// What the request asks.
    pub digest: RequestDigest,
}

/// Reserves a request's worst case.
///
/// # Errors
///
/// A refusal; nothing was sent to a backend server by this try.
pub async fn reserve(
    core: &Arc<RouterCore>,
    entry: &CallerEntry,
    asked: ReservationAsk,
) -> Result<ReservedRequest, Refusal> {
    for _ in 0..MAX_JOIN_LOOKS {
        let attempt = RouterCore::draw_attempt();
        let ask = ReserveRequest {
            identity: entry.head.identity.clone(),
            attempt,
            budget: entry.budget.clone(),
            amount: asked.amount,
            router: core.life.clone(),
            idempotent: asked.idempotent,
            digest: asked.digest,
        };
        match core.slots.reserve(ask).await {
            ReserveAnswer::Granted(grant) => {
                return Ok(granted(core, entry, asked.digest, attempt, grant));
            }
            ReserveAnswer::Joined {
                attempt,
                backend: Some(backend),
                ..
            }
            | ReserveAnswer::AlreadyBilled {
                attempt,
                backend: Some(backend),
                ..
            } => return Ok(ReservedRequest::Follow { attempt, backend }),
            // The other try has not chosen its backend server yet, or gives up.
            ReserveAnswer::Joined { backend: None, .. } => Timer::after(JOIN_PAUSE).await,
            other => return Err(refusal(entry, UnsentAttempt::new(attempt), &other)),
        };
    }
    let detail = "another try of this id is running and its answer cannot be joined yet";
    let refusal = Refusal::unknown(RefusalReason::AlreadyRan, detail);
    Err(refusal.after(ClockSpan::from_millis(1_000)))
}

fn granted(
    core: &Arc<RouterCore>,
    entry: &CallerEntry,
    digest: RequestDigest,
    attempt: AttemptId,
    grant: ReserveGrant,
) -> ReservedRequest {
    let identity = entry.head.identity.clone();
    core.events.emit(
        EventDraft::new("reservation.granted")
            .organisation(&identity.organisation)
            .budget(&entry.budget)
            .request(&identity.request)
            .attempt(attempt)
            .field("tokens", grant.amount),
    );
    ReservedRequest::Run(HeldReservation {
        core: Some(Arc::clone(core)),
        identity,
        attempt,
        grant,
        budget: entry.budget.clone(),
        digest,
    })
}

fn refusal(entry: &CallerEntry, unsent: UnsentAttempt, answer: &ReserveAnswer) -> Refusal {
    let identity = &entry.head.identity;
    match answer {
        ReserveAnswer::Exhausted {
            retry_after,
            elsewhere,
        } => {
            let detail = if *elsewhere > TokenCount::ZERO {
                format!("the rest of `{}` is held in other zones", entry.budget)
            } else {
                format!("the rest of `{}` does not cover the request", entry.budget)
            };
            let reason = RefusalReason::BudgetExhausted;
            let refusal = Refusal::unsealed(identity, unsent, reason, detail);
            match retry_after {
                Some(span) => refusal.after(*span),
                None => refusal,
            }
        }
        ReserveAnswer::Sealed => {
            let detail = "this id was refused for good before; use a new one";
            Refusal::unsealed(identity, unsent, RefusalReason::Sealed, detail)
        }
        ReserveAnswer::Mismatch => {
            let detail =
                "this id was used for another request or with another budget; use a new one";
            Refusal::unsealed(identity, unsent, RefusalReason::IdentityMismatch, detail)
        }
        ReserveAnswer::AlreadyBilled { .. } | ReserveAnswer::Joined { .. } => {
            let detail = "this id ran and was billed; its answer cannot be given again";
            Refusal::unknown(RefusalReason::AlreadyRan, detail)
        }
        ReserveAnswer::Unreachable { retry_after } => {
            let detail = format!(
                "nobody can spend `{}` now: its holder, its witness or the platform is out of reach",
                entry.budget
            );
            let reason = RefusalReason::BudgetUnreachable;
            Refusal::unsealed(identity, unsent, reason, detail).after(*retry_after)
        }
        ReserveAnswer::NotHolder { .. } | ReserveAnswer::Granted(_) => {
            let detail = format!("the holder of `{}` is changing", entry.budget);
            let reason = RefusalReason::BudgetUnreachable;
            let refusal = Refusal::unsealed(identity, unsent, reason, detail);
            refusal.after(ClockSpan::from_millis(500))
        }
    }
}
