//! Finds out what became of attempts whose routers are gone, and of this
//! router's own that are in doubt.

use std::sync::Arc;
use std::time::Duration;

use guavawell_core::budget::BackendAssignment;
use guavawell_core::budget::ReservedAttempt;
use guavawell_core::id::TokenCount;
use guavawell_core::manifest::BackendEntry;
use guavawell_core::manifest::BackendKind;
use guavawell_core::request::StreamUsage;
use guavawell_core::request::billing::DoubtCase;
use guavawell_core::request::billing::DoubtResolution;
use guavawell_core::request::billing::EngineReport;
use guavawell_core::request::billing::resolve_doubt;
use smol::Timer;

use super::core::RouterCore;
use crate::engine::AttemptRecord;
use crate::engine::AttemptState;
use crate::engine::EngineError;
use crate::event::EventDraft;
use crate::operator::DoubtLine;
use crate::slot::OrphanedAttempt;
use crate::slot::ResolvedAttempt;

/// Time between two looks.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// Resolves orphaned attempts of the slots held here, and own doubts, as long
/// as it runs.
pub async fn run_orphans(core: Arc<RouterCore>) {
    loop {
        Timer::after(LOOK_EVERY).await;
        let mut orphans = core.slots.orphans();
        orphans.extend(core.doubts.list());
        #[expect(clippy::cast_precision_loss, reason = "a gauge of a few attempts")]
        metrics::gauge!("guavawell_attempts_in_doubt").set(orphans.len() as f64);
        for orphan in orphans {
            resolve(&core, &orphan).await;
        }
    }
}

async fn resolve(core: &Arc<RouterCore>, orphan: &OrphanedAttempt) {
    let mut orphan = orphan.clone();
    let found = find(core, &mut orphan).await;
    if found == ResolvedAttempt::InDoubt {
        return;
    }
    core.events.emit(
        EventDraft::new("attempt.resolved")
            .organisation(&orphan.identity.organisation)
            .budget(&orphan.held.budget)
            .request(&orphan.identity.request)
            .attempt(orphan.held.attempt)
            .field("as", format!("{found:?}")),
    );
    core.slots.resolve(&orphan, found).await;
    core.doubts.remove(orphan.held.attempt);
}

async fn find(core: &RouterCore, orphan: &mut OrphanedAttempt) -> ResolvedAttempt {
    let attempt = orphan.held.attempt;
    let noted = orphan.held.backend.clone();
    let view = core.view.load_full();
    if let Some(backend) = noted.and_then(|backend| view.backend(&backend).cloned()) {
        match core.engines.record(backend.address, attempt).await {
            Ok(record) => return outcome(&backend, orphan, &record),
            Err(EngineError::UnknownAttempt) => {}
            Err(_) => return ResolvedAttempt::InDoubt,
        }
    }
    find_anywhere(core, orphan).await
}

/// Asks every backend server: the router may have died before its note of the
/// server arrived, or gone on to another server.
///
/// A server that does not know the attempt is told to refuse it, so that a
/// router that was only paused cannot send it late. Where one cannot be asked,
/// the attempt stays in doubt.
async fn find_anywhere(core: &RouterCore, orphan: &mut OrphanedAttempt) -> ResolvedAttempt {
    let attempt = orphan.held.attempt;
    let view = core.view.load_full();
    let mut found = ResolvedAttempt::NotRun;
    for backend in view.backends() {
        let seen = match core.engines.record(backend.address, attempt).await {
            Err(EngineError::UnknownAttempt) => core.engines.cancel(backend.address, attempt).await,
            other => other,
        };
        match seen.map(|record| outcome(backend, orphan, &record)) {
            Ok(ResolvedAttempt::NotRun) => {}
            Ok(other) => {
                orphan.held.backend = Some(backend.id.clone());
                let note = BackendAssignment {
                    identity: orphan.identity.clone(),
                    attempt,
                    backend: backend.id.clone(),
                };
                core.slots.note_backend_at(orphan.slot.clone(), note);
                return other;
            }
            Err(_) => found = ResolvedAttempt::InDoubt,
        }
    }
    found
}

/// What the record means, by the one rule for attempts in doubt.
fn outcome(
    backend: &BackendEntry,
    orphan: &OrphanedAttempt,
    record: &AttemptRecord,
) -> ResolvedAttempt {
    let held = &orphan.held;
    let case = DoubtCase {
        identity: orphan.identity.clone(),
        attempt: held.attempt,
        budget: held.budget.clone(),
        reserved: held.amount,
        router: held.router.clone(),
        backend: Some(backend.id.clone()),
        // Its caller may ask again and read the rest of the answer.
        abandoned: false,
    };
    match resolve_doubt(&case, Some(word_of(backend, held, record))) {
        DoubtResolution::Charge(tokens) => ResolvedAttempt::Done(tokens),
        // Nobody got a whole answer of it.
        DoubtResolution::Release { .. } => ResolvedAttempt::NotRun,
        DoubtResolution::Cancel | DoubtResolution::Wait | DoubtResolution::Hold => {
            ResolvedAttempt::InDoubt
        }
    }
}

fn word_of(backend: &BackendEntry, held: &ReservedAttempt, record: &AttemptRecord) -> EngineReport {
    let counted = StreamUsage {
        prompt_tokens: record.prompt_tokens,
        completion_tokens: record.completion_tokens,
    };
    match record.state {
        // A service's calls cost what was reserved, not what it counts.
        AttemptState::Done if backend.kind == BackendKind::Service => {
            EngineReport::Done(StreamUsage {
                prompt_tokens: held.amount,
                completion_tokens: TokenCount::ZERO,
            })
        }
        AttemptState::Done => EngineReport::Done(counted),
        AttemptState::Cancelled => EngineReport::Cancelled(counted),
        AttemptState::Queued | AttemptState::Running => EngineReport::Running,
    }
}

/// What is in doubt at this router, for operators.
#[must_use]
pub fn doubt_lines(core: &RouterCore) -> Vec<DoubtLine> {
    let mut orphans = core.slots.orphans();
    orphans.extend(core.doubts.list());
    let lines = orphans.into_iter().map(|orphan| DoubtLine {
        organisation: orphan.identity.organisation,
        request: orphan.identity.request,
        attempt: orphan.held.attempt,
        budget: orphan.held.budget,
        reserved: orphan.held.amount,
        router: orphan.held.router.instance,
        backend: orphan.held.backend,
    });
    lines.collect()
}
