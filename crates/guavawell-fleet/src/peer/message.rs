//! What routers ask of each other and answer.

use guavawell_core::budget::BackendAssignment;
use guavawell_core::budget::HandBackAnswer;
use guavawell_core::budget::HandBackRequest;
use guavawell_core::budget::HandoverAck;
use guavawell_core::budget::IncarnationAnswer;
use guavawell_core::budget::LedgerHandover;
use guavawell_core::budget::ReleaseAnswer;
use guavawell_core::budget::ReleaseRequest;
use guavawell_core::budget::ReserveAnswer;
use guavawell_core::budget::ReserveRequest;
use guavawell_core::budget::SealAnswer;
use guavawell_core::budget::SealRequest;
use guavawell_core::budget::SettleAnswer;
use guavawell_core::budget::SettleRequest;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::TakeoverRequest;
use guavawell_core::budget::WitnessAck;
use guavawell_core::budget::WitnessMessage;
use guavawell_core::budget::WitnessRefusal;
use guavawell_core::manifest::ContentDigest;
use guavawell_core::manifest::VersionRow;
use thiserror::Error;

use crate::platform::CarriedAnswer;
use crate::platform::CarriedAsk;

/// An ask of whoever holds a slot.
///
/// The asker names the slot, so that a holder answers it without knowing where
/// the asker stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotAsk<A> {
    /// The slot.
    pub slot: SlotId,
    /// The ask.
    pub ask: A,
}

impl<A> SlotAsk<A> {
    /// The ask `ask` about `slot`.
    #[must_use]
    pub const fn new(slot: SlotId, ask: A) -> Self {
        Self { slot, ask }
    }
}

/// What one router asks of another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerRequest {
    /// To a slot's holder: reserve an attempt's worst case.
    Reserve(SlotAsk<ReserveRequest>),
    /// To a slot's holder: charge an attempt.
    Settle(SlotAsk<SettleRequest>),
    /// To a slot's holder: give a reservation back.
    Release(SlotAsk<ReleaseRequest>),
    /// To a slot's holder: this backend server runs the attempt.
    Note(SlotAsk<BackendAssignment>),
    /// To a slot's holder: let the request run no more.
    Seal(SlotAsk<SealRequest>),
    /// To a slot's holder: give unspent tokens back.
    HandBack(HandBackRequest),
    /// Between a slot's holder and its witness.
    Witness(WitnessMessage),
    /// To a slot's witness: take the slot over.
    Takeover(TakeoverRequest),
    /// To any router: tell your incarnation.
    Life,
    /// To any router: tell the manifest version that you have in force.
    Version,
    /// To any router: send these pages of manifests, those that you have.
    Pages(Vec<ContentDigest>),
    /// To any router: carry this exchange out on your link to the platform.
    Relay(CarriedAsk),
}

/// What a router answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerReply {
    /// To [`PeerRequest::Reserve`].
    Reserve(ReserveAnswer),
    /// To [`PeerRequest::Settle`].
    Settle(SettleAnswer),
    /// To [`PeerRequest::Release`].
    Release(ReleaseAnswer),
    /// To [`PeerRequest::Seal`].
    Seal(SealAnswer),
    /// To [`PeerRequest::HandBack`].
    HandBack(HandBackAnswer),
    /// To a record: the witness holds it.
    Ack(WitnessAck),
    /// To a record or a handover: the witness refuses it.
    Refusal(WitnessRefusal),
    /// To a handover: the witness holds the ledger.
    HandoverAck(HandoverAck),
    /// To [`PeerRequest::Life`].
    Life(IncarnationAnswer),
    /// To [`PeerRequest::Version`]: the version's row, if one is in force.
    Version(Option<VersionRow>),
    /// To [`PeerRequest::Pages`]: the bytes of pages, in any order.
    Pages(Vec<Vec<u8>>),
    /// To [`PeerRequest::Relay`].
    Relay(CarriedAnswer),
    /// The request was taken; there is nothing to tell.
    Accepted,
    /// The request was not taken.
    Refused(PeerRefusal),
}

/// Why a router did not take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PeerRefusal {
    /// The request is of a later version.
    #[error("the peer does not know this request; it runs an earlier version")]
    Unsupported,
    /// A value in the request is wrong.
    #[error("the peer found a wrong value in the request")]
    Malformed,
    /// Too many requests are running there.
    #[error("the peer runs as many requests as it may; try again later")]
    Overloaded,
}

impl PeerRequest {
    /// The slot whose holder is asked, where the ask itself does not name it.
    #[must_use]
    pub const fn slot(&self) -> Option<&SlotId> {
        match self {
            Self::Reserve(ask) => Some(&ask.slot),
            Self::Settle(ask) => Some(&ask.slot),
            Self::Release(ask) => Some(&ask.slot),
            Self::Note(ask) => Some(&ask.slot),
            Self::Seal(ask) => Some(&ask.slot),
            _ => None,
        }
    }

    /// The request that carries a ledger handover.
    #[must_use]
    pub const fn handover(handover: LedgerHandover) -> Self {
        Self::Witness(WitnessMessage::Handover(handover))
    }
}

impl PeerReply {
    /// The reply that carries a witness's message; a record and a handover
    /// are requests and never replies.
    #[must_use]
    pub fn from_witness(message: WitnessMessage) -> Option<Self> {
        match message {
            WitnessMessage::Ack(ack) => Some(Self::Ack(ack)),
            WitnessMessage::Refusal(refusal) => Some(Self::Refusal(refusal)),
            WitnessMessage::HandoverAck(ack) => Some(Self::HandoverAck(ack)),
            WitnessMessage::Record(_) | WitnessMessage::Handover(_) => None,
        }
    }

    /// The witness's message that the reply carries, if any.
    #[must_use]
    pub fn into_witness(self) -> Option<WitnessMessage> {
        match self {
            Self::Ack(ack) => Some(WitnessMessage::Ack(ack)),
            Self::Refusal(refusal) => Some(WitnessMessage::Refusal(refusal)),
            Self::HandoverAck(ack) => Some(WitnessMessage::HandoverAck(ack)),
            _ => None,
        }
    }
}
