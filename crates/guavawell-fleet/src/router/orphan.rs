//! Finds out what became of attempts whose routers are gone.

use std::sync::Arc;
use std::time::Duration;

use smol::Timer;

use super::core::RouterCore;
use crate::engine::AttemptRecord;
use crate::engine::AttemptState;
use crate::engine::EngineError;
use crate::event::EventDraft;
use crate::slot::OrphanedAttempt;
use crate::slot::ResolvedAttempt;

/// Time between two looks.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// Resolves orphaned attempts of the slots held here, as long as it runs.
pub async fn run_orphans(core: Arc<RouterCore>) {
    loop {
        Timer::after(LOOK_EVERY).await;
        let orphans = core.slots.orphans();
        #[expect(clippy::cast_precision_loss, reason = "a gauge of a few attempts")]
        metrics::gauge!("guavawell_attempts_in_doubt").set(orphans.len() as f64);
        for orphan in orphans {
            resolve(&core, &orphan).await;
        }
    }
}

async fn resolve(core: &Arc<RouterCore>, orphan: &OrphanedAttempt) {
    let found = find(core, orphan).await;
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
    core.slots.resolve(orphan, found).await;
}

async fn find(core: &RouterCore, orphan: &OrphanedAttempt) -> ResolvedAttempt {
    // Without a backend server on record it may have been sent anywhere.
    let address = orphan
        .held
        .backend
        .as_ref()
        .and_then(|backend| core.address_of(backend));
    let Some(address) = address else {
        return ResolvedAttempt::InDoubt;
    };
    match core.engines.record(address, orphan.held.attempt).await {
        Ok(record) => outcome(&record),
        Err(EngineError::UnknownAttempt) => unseen(core, address, orphan).await,
        Err(_) => ResolvedAttempt::InDoubt,
    }
}

fn outcome(record: &AttemptRecord) -> ResolvedAttempt {
    match record.state {
        AttemptState::Done => ResolvedAttempt::Done(record.total()),
        // Nobody got a whole answer of it.
        AttemptState::Cancelled => ResolvedAttempt::NotRun,
        AttemptState::Queued | AttemptState::Running => ResolvedAttempt::InDoubt,
    }
}

/// An attempt that the backend server does not know: it never arrived, or the
/// server was restarted. A mark keeps a late arrival out; a request that may
/// have run stays in doubt, for the operator.
async fn unseen(
    core: &RouterCore,
    address: std::net::SocketAddr,
    orphan: &OrphanedAttempt,
) -> ResolvedAttempt {
    match core.engines.cancel(address, orphan.held.attempt).await {
        Ok(record) => outcome(&record),
        Err(_) => ResolvedAttempt::InDoubt,
    }
}
