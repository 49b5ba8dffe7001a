//! Claims in the table for requests that may run at most once.

use std::sync::Arc;

use guavawell_core::clock::ClockSpan;
use guavawell_core::id::AttemptId;
use guavawell_core::platform::WriteClass;
use guavawell_core::request::Refusal;
use guavawell_core::request::RequestIdentity;
use guavawell_core::request::UnsentAttempt;
use guavawell_core::request::claim::ClaimEffect;
use guavawell_core::request::claim::ClaimEnd;
use guavawell_core::request::claim::ClaimEvent;
use guavawell_core::request::claim::ClaimGoal;
use guavawell_core::request::claim::ClaimRow;
use guavawell_core::request::claim::ClaimStep;
use guavawell_core::request::claim::claim_key;
use guavawell_core::request::claim::needs_claim;
use guavawell_core::request::claim::run_or_refuse;

use super::attempt::OutgoingCall;
use super::core::RouterCore;
use super::entry::CallerEntry;
use crate::clock;
use crate::platform::PlatformError;
use crate::platform::Table;
use crate::platform::TableCompare;
use crate::platform::TableOp;
use crate::platform::TableRow;
use crate::platform::TableTxn;

/// When a caller may come back after the platform could not be asked.
const RETRY_AFTER: ClockSpan = ClockSpan::from_millis(2_000);

impl RouterCore {
    /// Claims the attempt before its first byte is sent, if it needs that.
    ///
    /// # Errors
    ///
    /// The refusal, if another attempt holds the id, the id is sealed, or the
    /// table cannot confirm.
    pub async fn claim(
        &self,
        entry: &CallerEntry,
        call: &OutgoingCall,
        unsent: UnsentAttempt,
    ) -> Result<UnsentAttempt, Refusal> {
        let identity = &entry.head.identity;
        if !needs_claim(identity, call.idempotent) {
            return Ok(unsent);
        }
        let step = self.step(identity, ClaimGoal::Run, unsent.id());
        let (step, end) = drive(&self.table, step).await;
        if matches!(end, ClaimEnd::Undecided) {
            // The claim may stand although nothing will be sent under it.
            self.free_claim(identity, unsent.id());
        }
        run_or_refuse(&step, unsent, RETRY_AFTER)
    }

    /// Frees the id of an attempt that was claimed and not sent, so that the
    /// caller may send the request again.
    pub fn unclaim(self: &Arc<Self>, entry: &CallerEntry, call: &OutgoingCall, id: AttemptId) {
        if needs_claim(&entry.head.identity, call.idempotent) {
            self.free_claim(&entry.head.identity, id);
        }
    }

    fn free_claim(&self, identity: &RequestIdentity, id: AttemptId) {
        let step = self.step(identity, ClaimGoal::Release, id);
        let table = self.table.clone();
        let task = async move {
            let (_, end) = drive(&table, step).await;
            if !matches!(end, ClaimEnd::Released | ClaimEnd::Sealed) {
                metrics::counter!("guavawell_claims_not_freed_total").increment(1);
            }
        };
        self.tasks.spawn(task);
    }

    fn step(&self, identity: &RequestIdentity, goal: ClaimGoal, id: AttemptId) -> ClaimStep {
        ClaimStep::new(identity.clone(), goal, id, self.life.clone(), clock::now())
    }
}

/// Carries a step out against the table until it ends.
async fn drive(table: &Table, mut step: ClaimStep) -> (ClaimStep, ClaimEnd) {
    let key = claim_key(step.identity());
    let mut effect = step.start(0);
    loop {
        let event = match effect {
            ClaimEffect::Done(end) => return (step, end),
            ClaimEffect::Write { expected, row } => write(table, &key, expected, &row).await,
            ClaimEffect::ReadBack => match table.get(&key).await {
                Ok(read) => found(read.row.as_ref()),
                Err(_) => ClaimEvent::Failed,
            },
        };
        effect = step.on(event);
    }
}

async fn write(table: &Table, key: &str, expected: u64, row: &ClaimRow) -> ClaimEvent {
    let value = serde_json::to_vec(row).expect("a claim row serialises");
    let txn = TableTxn {
        compares: vec![TableCompare::unchanged(key, expected)],
        success: vec![TableOp::put(key, value)],
        failure: vec![TableOp::get(key)],
    };
    match table.txn(&txn, WriteClass::Claim).await {
        Ok(answer) if answer.succeeded => ClaimEvent::Written {
            revision: answer.revision,
        },
        Ok(answer) => found(answer.row(0)),
        Err(PlatformError::Lost(_)) => ClaimEvent::Lost,
        Err(_) => ClaimEvent::Failed,
    }
}

fn found(row: Option<&TableRow>) -> ClaimEvent {
    let Some(stored) = row else {
        return ClaimEvent::Absent;
    };
    match serde_json::from_slice(&stored.value) {
        Ok(row) => ClaimEvent::Found {
            row,
            revision: stored.mod_revision,
        },
        Err(_) => ClaimEvent::Failed,
    }
}
