//! Messages between a slot's holder and its witness.

use serde::Deserialize;
use serde::Serialize;

use super::ledger::SlotLedger;
use super::message::TokenPool;
use super::slot::InstanceIncarnation;
use super::slot::SlotId;
use super::slot::SlotRow;
use crate::id::AttemptId;
use crate::id::BackendId;
use crate::id::BudgetId;
use crate::id::SlotEpoch;
use crate::id::TokenCount;
use crate::request::RequestDigest;
use crate::request::RequestIdentity;

/// What every record and acknowledgement carries; any difference is refused.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecordStamp {
    /// The slot.
    pub slot: SlotId,
    /// The slot's epoch, which rises with every change of holder or witness.
    pub epoch: SlotEpoch,
    /// The holder's life.
    pub holder: InstanceIncarnation,
    /// The witness's life.
    pub witness: InstanceIncarnation,
}

/// A batch of ledger entries from the holder to its witness.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WitnessRecord {
    /// Between which lives, under which epoch.
    pub stamp: RecordStamp,
    /// The batch's number under this epoch, from one without gaps.
    pub sequence: u64,
    /// The entries, in the order in which they happened.
    pub entries: Vec<LedgerEntry>,
}

/// One change of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerEntry {
    /// An attempt holds its worst case.
    Reserve {
        /// The request.
        identity: RequestIdentity,
        /// The attempt.
        attempt: AttemptId,
        /// The budget drawn on.
        budget: BudgetId,
        /// The pool drawn on.
        pool: TokenPool,
        /// The reserved tokens.
        amount: TokenCount,
        /// The router that runs the attempt.
        router: InstanceIncarnation,
        /// What is asked.
        digest: RequestDigest,
    },
    /// An attempt is served by a backend server.
    Serve {
        /// The request.
        identity: RequestIdentity,
        /// The attempt.
        attempt: AttemptId,
        /// The backend server.
        backend: BackendId,
    },
    /// An attempt was charged.
    Settle {
        /// The request.
        identity: RequestIdentity,
        /// The attempt.
        attempt: AttemptId,
        /// The charge.
        charged: TokenCount,
        /// The backend server, where it is known.
        backend: Option<BackendId>,
    },
    /// An attempt did not run.
    Release {
        /// The request.
        identity: RequestIdentity,
        /// The attempt.
        attempt: AttemptId,
    },
    /// The request is to run no more.
    Seal {
        /// The request.
        identity: RequestIdentity,
    },
    /// The retention of a charged or sealed request has passed.
    Forget {
        /// The request.
        identity: RequestIdentity,
    },
    /// Tokens move into the solo float; usable once acknowledged.
    RaiseFloat {
        /// The budget.
        budget: BudgetId,
        /// The tokens moved.
        tokens: TokenCount,
    },
    /// Tokens move out of the solo float; usable once acknowledged.
    LowerFloat {
        /// The budget.
        budget: BudgetId,
        /// The tokens moved.
        tokens: TokenCount,
    },
    /// The table holds what tenures before this one did with the budget.
    Rebase {
        /// The budget.
        budget: BudgetId,
        /// The first tenure that the table may not hold yet.
        tenure: SlotEpoch,
    },
}

/// The witness's acknowledgement of every batch up to `sequence`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WitnessAck {
    /// The stamp of the acknowledged batch.
    pub stamp: RecordStamp,
    /// The last batch that the ledger holds.
    pub sequence: u64,
}

/// Why a witness does not acknowledge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// It has no ledger for the stamp: restarted, or never asked.
    UnknownStamp,
    /// It has stopped in order to take the slot over.
    Stopped,
    /// A batch before this one is missing.
    Gap,
}

/// The witness's refusal; the holder has to change its witness, unless the
/// reason is [`RefusalReason::Gap`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WitnessRefusal {
    /// The stamp of the refused record.
    pub stamp: RecordStamp,
    /// Why.
    pub reason: RefusalReason,
}

/// The whole ledger, sent to a new witness before the table names it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LedgerHandover {
    /// The stamp as it will be once the table names the new witness.
    pub stamp: RecordStamp,
    /// Rises with every handover of this holder; tells two ledgers apart
    /// that were handed over under one stamp.
    pub handover: u64,
    /// The ledger.
    pub ledger: SlotLedger,
}

/// The new witness's word that it holds the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HandoverAck {
    /// The stamp of the handover.
    pub stamp: RecordStamp,
    /// The number of the handover.
    pub handover: u64,
}

/// Asks a witness to take the slot over: its holder is believed dead, or
/// leaves.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TakeoverRequest {
    /// The slot.
    pub slot: SlotId,
    /// The row that the asker read.
    pub row: SlotRow,
}

/// Everything that a holder and its witness send each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WitnessMessage {
    /// Holder to witness.
    Record(WitnessRecord),
    /// Witness to holder.
    Ack(WitnessAck),
    /// Witness to holder.
    Refusal(WitnessRefusal),
    /// Holder to a new witness.
    Handover(LedgerHandover),
    /// New witness to holder.
    HandoverAck(HandoverAck),
}
