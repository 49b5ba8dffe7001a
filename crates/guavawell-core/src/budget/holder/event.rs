//! What a slot's holder is told, and what it wants done.

use std::fmt;

use crate::budget::intent::ChangeKey;
use crate::budget::intent::GrantView;
use crate::budget::intent::ReportKey;
use crate::budget::intent::TableFailure;
use crate::budget::intent::TableIntent;
use crate::budget::ledger::ChargedAttempt;
use crate::budget::message::BackendAssignment;
use crate::budget::message::HandBackAnswer;
use crate::budget::message::HandBackRequest;
use crate::budget::message::ReleaseAnswer;
use crate::budget::message::ReleaseRequest;
use crate::budget::message::ReserveAnswer;
use crate::budget::message::ReserveRequest;
use crate::budget::message::SealAnswer;
use crate::budget::message::SealRequest;
use crate::budget::message::SettleAnswer;
use crate::budget::message::SettleRequest;
use crate::budget::record::HandoverAck;
use crate::budget::record::TakeoverRequest;
use crate::budget::record::WitnessAck;
use crate::budget::record::WitnessMessage;
use crate::budget::record::WitnessRefusal;
use crate::budget::slot::InstanceIncarnation;
use crate::budget::slot::SlotId;
use crate::budget::slot::SlotRow;
use crate::id::BudgetId;
use crate::id::SlotEpoch;
use crate::id::TokenCount;
use crate::request::RequestIdentity;

/// The driver's own number of an ask, given back with its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AskId(u64);

impl AskId {
    /// Wraps a plain number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The plain number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// What a slot's holder is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum HolderEvent {
    /// A router asks to reserve.
    Reserve(AskId, ReserveRequest),
    /// A router asks to settle.
    Settle(AskId, SettleRequest),
    /// The present holder has no record of an attempt that this former one granted
    /// and that was charged; not answered.
    Unheld(SettleRequest),
    /// A router gives a reservation back.
    Release(AskId, ReleaseRequest),
    /// A router names the backend server of an attempt; not answered.
    Serve(BackendAssignment),
    /// A router asks to seal a request.
    Seal(AskId, SealRequest),
    /// The holder of another zone asks for tokens.
    HandBack(AskId, HandBackRequest),
    /// The witness acknowledges.
    Ack(WitnessAck),
    /// The witness refuses.
    Refusal(WitnessRefusal),
    /// A new witness holds the ledger.
    HandoverAck(HandoverAck),
    /// The slot row as it is after [`TableIntent::WriteSlot`] or
    /// [`TableIntent::ReadSlot`].
    SlotRead(Result<SlotRow, TableFailure>),
    /// The outcome of [`TableIntent::ChangeGrant`].
    GrantChanged(ChangeKey, Result<GrantView, TableFailure>),
    /// The outcome of [`TableIntent::ReportFrozen`].
    FrozenReported(ReportKey, Result<(), TableFailure>),
    /// Every slot named by [`HolderEffect::AskHandBack`] answered, or won't;
    /// with the key that it names.
    HandBackDone(ChangeKey),
    /// The driver names a new witness, or the present one anew; `None` ends
    /// witnessing while nobody else is there.
    ChangeWitness(Option<InstanceIncarnation>),
    /// The billing records of these charges are durable, sorted by identity.
    Durable(Vec<RequestIdentity>),
    /// The instance leaves: hand the slot to the witness.
    Leave,
    /// Time passes; call it at least every `resend_every`.
    Tick,
}

impl HolderEvent {
    /// The tenure of the holder whose operation this is the outcome of; `None`
    /// for events that name no operation of one tenure.
    #[must_use]
    pub const fn outcome_tenure(&self) -> Option<SlotEpoch> {
        match self {
            Self::GrantChanged(key, _) | Self::HandBackDone(key) => Some(key.tenure),
            Self::FrozenReported(key, _) => Some(key.tenure),
            Self::Unheld(settle) => Some(settle.grant.tenure),
            _ => None,
        }
    }
}

/// An answer to an ask.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum HolderAnswer {
    /// To [`HolderEvent::Reserve`].
    Reserve(ReserveAnswer),
    /// To [`HolderEvent::Settle`].
    Settle(SettleAnswer),
    /// To [`HolderEvent::Release`].
    Release(ReleaseAnswer),
    /// To [`HolderEvent::Seal`].
    Seal(SealAnswer),
    /// To [`HolderEvent::HandBack`].
    HandBack(HandBackAnswer),
}

/// What a slot's holder wants done, in this order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum HolderEffect {
    /// Answer an ask.
    Answer(AskId, HolderAnswer),
    /// Send to a witness; loss is allowed.
    Send(InstanceIncarnation, WitnessMessage),
    /// Carry out against the table, then tell the outcome.
    Table(TableIntent),
    /// Ask the holders of these slots to give tokens back, then tell
    /// [`HolderEvent::HandBackDone`].
    AskHandBack {
        /// The change whose outcome showed that tokens are short.
        key: ChangeKey,
        /// The tokens that are short.
        wanted: TokenCount,
        /// The slots that hold open tokens.
        slots: Vec<SlotId>,
    },
    /// Ask the witness to take the slot over: this instance leaves.
    HandSlot(InstanceIncarnation, TakeoverRequest),
    /// A reservation was answered as unreachable while the witness may have
    /// it: give it back to whoever holds the slot until that one has it.
    GiveBack(ReleaseRequest),
    /// A charge by the grant of an earlier tenure stands here: its holder gives
    /// its own reservation of the attempt back.
    GiveBackAt(InstanceIncarnation, ReleaseRequest),
    /// A charge by a grant of this former holder was told here. Ask the present
    /// holder; if it has no record of the attempt, tell [`HolderEvent::Unheld`].
    AskSuccessor(InstanceIncarnation, SettleRequest),
    /// A charge stands: keep its billing record.
    Charged(Box<ChargeNotice>),
    /// A change of state for the event log.
    Note(HolderNote),
}

/// A charge that stands: the witness has it, or the float paid it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ChargeNotice {
    /// The request.
    pub identity: RequestIdentity,
    /// The charge.
    pub charge: ChargedAttempt,
    /// The tenure that paid.
    pub tenure: SlotEpoch,
    /// All charges of that tenure's pool up to this one: once the table holds
    /// as many, it holds this one.
    pub counted: TokenCount,
}

/// A change of state for the event log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum HolderNote {
    /// The witness does not acknowledge; the float alone is spent.
    WitnessSilent,
    /// The witness acknowledges again.
    WitnessBack,
    /// The witness refused the holder's stamp; change the witness.
    WitnessRefused,
    /// The table names the new witness, or none.
    WitnessChanged(Option<InstanceIncarnation>),
    /// Another router holds the slot.
    Retired,
    /// The table holds what former tenures did with the budget.
    TenureClosed(BudgetId),
    /// The budget has nothing left for a request that asked.
    Exhausted(BudgetId),
    /// A former holder's use of the float stands in the table.
    FloatReported(BudgetId),
    /// A charge under a successor's grant came here and was sent on to it.
    ChargeElsewhere,
    /// The table row contradicts the holder's account: a defect.
    AccountMismatch(BudgetId),
}

impl fmt::Display for HolderNote {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self {
            Self::WitnessSilent => "slot.witness_silent",
            Self::WitnessBack => "slot.witness_back",
            Self::WitnessRefused => "slot.witness_refused",
            Self::WitnessChanged(_) => "slot.witness_changed",
            Self::Retired => "slot.retired",
            Self::TenureClosed(_) => "budget.tenure_closed",
            Self::Exhausted(_) => "budget.exhausted",
            Self::FloatReported(_) => "budget.float_reported",
            Self::ChargeElsewhere => "slot.charge_elsewhere",
            Self::AccountMismatch(_) => "budget.account_mismatch",
        };
        formatter.write_str(kind)
    }
}
