//! Messages between the holder of a slot and its witness.

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

/// Identifies the holder, witness and epoch that a message belongs to.
///
/// Every record and acknowledgement carries it; a message with another stamp than
/// the expected one is refused or ignored.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecordStamp {
    /// The slot.
    pub slot: SlotId,
    /// The slot's epoch, which increases with every change of holder or witness.
    pub epoch: SlotEpoch,
    /// The incarnation of the holder.
    pub holder: InstanceIncarnation,
    /// The incarnation of the witness.
    pub witness: InstanceIncarnation,
}

/// A batch of ledger entries from the holder to its witness.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WitnessRecord {
    /// The holder, witness and epoch.
    pub stamp: RecordStamp,
    /// The number of the batch within this epoch, starting at one, without gaps.
    pub sequence: u64,
    /// The entries, in the order in which the holder recorded them.
    pub entries: Vec<LedgerEntry>,
}

/// One change to the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerEntry {
    /// An attempt reserved the most that it may cost.
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
        /// Digest of the request's content.
        digest: RequestDigest,
    },
    /// A backend server runs an attempt.
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
        /// The backend server, if known.
        backend: Option<BackendId>,
    },
    /// The reservation of an attempt that did not run was cancelled.
    Release {
        /// The request.
        identity: RequestIdentity,
        /// The attempt.
        attempt: AttemptId,
    },
    /// A request was sealed: no attempt of it may start.
    Seal {
        /// The request.
        identity: RequestIdentity,
    },
    /// A charged or sealed request is no longer retained.
    Forget {
        /// The request.
        identity: RequestIdentity,
    },
    /// Tokens move into the float; usable there once the witness acknowledges.
    RaiseFloat {
        /// The budget.
        budget: BudgetId,
        /// The tokens moved.
        tokens: TokenCount,
    },
    /// Tokens move from the float to the witnessed part; usable there once the
    /// witness acknowledges.
    LowerFloat {
        /// The budget.
        budget: BudgetId,
        /// The tokens moved.
        tokens: TokenCount,
    },
    /// The table now includes the use of the budget in earlier tenures.
    Rebase {
        /// The budget.
        budget: BudgetId,
        /// The first tenure whose use the table may not include yet.
        tenure: SlotEpoch,
    },
}

/// The witness's acknowledgement of all batches up to `sequence`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WitnessAck {
    /// The stamp of the acknowledged batch.
    pub stamp: RecordStamp,
    /// The last batch that the witness has applied.
    pub sequence: u64,
}

/// Why a witness refuses a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// It has no ledger for the stamp: it restarted, dropped the ledger or never
    /// received one.
    UnknownStamp,
    /// It stopped acknowledging in order to take the slot over.
    Stopped,
    /// It has not received an earlier batch.
    Gap,
}

/// The witness's refusal of a record. The holder has to change its witness unless
/// the reason is [`RefusalReason::Gap`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WitnessRefusal {
    /// The stamp of the refused record.
    pub stamp: RecordStamp,
    /// Why it was refused.
    pub reason: RefusalReason,
}

/// The whole ledger, sent to a new witness before the slot row names it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LedgerHandover {
    /// The stamp that is valid once the slot row names the new witness.
    pub stamp: RecordStamp,
    /// The number of the handover. It increases with every handover of this holder
    /// and distinguishes ledgers that were sent with the same stamp.
    pub handover: u64,
    /// The ledger.
    pub ledger: SlotLedger,
}

/// The new witness's acknowledgement of a handover.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HandoverAck {
    /// The stamp of the handover.
    pub stamp: RecordStamp,
    /// The number of the handover.
    pub handover: u64,
}

/// Asks a witness to take the slot over, because the holder is leaving or appears
/// to have failed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TakeoverRequest {
    /// The slot.
    pub slot: SlotId,
    /// The slot row as the sender read it.
    pub row: SlotRow,
}

/// Any message between a holder and its witness.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WitnessMessage {
    /// A batch of entries, from the holder to its witness.
    Record(WitnessRecord),
    /// An acknowledgement, from the witness to the holder.
    Ack(WitnessAck),
    /// A refusal, from the witness to the holder.
    Refusal(WitnessRefusal),
    /// The whole ledger, from the holder to a new witness.
    Handover(LedgerHandover),
    /// An acknowledgement of the ledger, from the new witness to the holder.
    HandoverAck(HandoverAck),
}
