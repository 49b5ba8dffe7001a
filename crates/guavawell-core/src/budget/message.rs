//! Messages between routers about money: asks of a slot's holder and its
//! answers.
//!
//! Every ask may be sent again: the holder knows an attempt by its id.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::slot::InstanceIncarnation;
use super::slot::SlotId;
use crate::clock::ClockSpan;
use crate::id::AttemptId;
use crate::id::BackendId;
use crate::id::BudgetId;
use crate::id::IncarnationId;
use crate::id::SlotEpoch;
use crate::id::TokenCount;
use crate::request::RequestDigest;
use crate::request::RequestIdentity;

/// Which part of a grant a reservation draws on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TokenPool {
    /// The part that the witness acknowledges use by use.
    Witnessed,
    /// The solo float: spent without the witness, frozen by a takeover.
    Float,
}

impl fmt::Display for TokenPool {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Witnessed => "witnessed",
            Self::Float => "float",
        })
    }
}

/// Asks the holder to reserve an attempt's worst case.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// The request.
    pub identity: RequestIdentity,
    /// This try of it.
    pub attempt: AttemptId,
    /// The budget to draw on.
    pub budget: BudgetId,
    /// Prompt tokens plus output limit.
    pub amount: TokenCount,
    /// The life of the router that will run the attempt.
    pub router: InstanceIncarnation,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// What is asked: another ask under the same id is refused.
    pub digest: RequestDigest,
}

/// The holder's answer to a [`ReserveRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReserveAnswer {
    /// The attempt may run and may charge up to the amount.
    Granted(ReserveGrant),
    /// Another attempt of the request is running.
    Joined {
        /// The running attempt.
        attempt: AttemptId,
        /// The router that runs it.
        router: InstanceIncarnation,
        /// The backend server, where it is known.
        backend: Option<BackendId>,
    },
    /// The request was charged already; a further charge is never made.
    AlreadyBilled {
        /// The attempt that was charged.
        attempt: AttemptId,
        /// Its charge.
        charged: TokenCount,
        /// The backend server, where it is known.
        backend: Option<BackendId>,
    },
    /// The request was refused for good; it never runs.
    Sealed,
    /// The identity was used with another budget, or for another request.
    Mismatch,
    /// The budget's rest does not cover the amount.
    Exhausted {
        /// When a later try may work, if reservations that are open now end.
        retry_after: Option<ClockSpan>,
        /// Unspent tokens granted to other zones, as last read.
        elsewhere: TokenCount,
    },
    /// Neither the witness nor the solo float can serve now, or the table
    /// that grants more is away.
    Unreachable {
        /// When a later try may work.
        retry_after: ClockSpan,
    },
    /// The asked router does not hold the slot.
    NotHolder {
        /// The holder, as last read.
        holder: Option<InstanceIncarnation>,
    },
}

/// The right to run one attempt; sent back when it is settled or released.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReserveGrant {
    /// The holder that granted; a float attempt is settled with it alone.
    pub holder: InstanceIncarnation,
    /// The holder's tenure.
    pub tenure: SlotEpoch,
    /// The pool that was drawn on.
    pub pool: TokenPool,
    /// The reserved amount: the most that may be charged.
    pub amount: TokenCount,
}

/// Asks the holder to charge an attempt; answered before the end marker
/// goes to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SettleRequest {
    /// The request.
    pub identity: RequestIdentity,
    /// The attempt that ran.
    pub attempt: AttemptId,
    /// The grant it ran under.
    pub grant: ReserveGrant,
    /// Tokens used; charged up to the reserved amount.
    pub actual: TokenCount,
    /// The backend server that served it.
    pub backend: Option<BackendId>,
}

/// The holder's answer to a [`SettleRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SettleAnswer {
    /// The charge is with the witness, or in the float's account.
    Settled {
        /// The charge.
        charged: TokenCount,
    },
    /// The request was charged before; this ask charged nothing.
    AlreadySettled {
        /// The attempt that was charged.
        attempt: AttemptId,
        /// Its charge.
        charged: TokenCount,
    },
    /// The holder has the charge, but its witness does not acknowledge now.
    ///
    /// The worst case stays reserved at the witness, so the charge can't be
    /// lost to the budget; the router asks again until it is settled.
    Pending {
        /// The charge.
        charged: TokenCount,
        /// When to ask again.
        retry_after: ClockSpan,
    },
    /// The holder knows no such attempt.
    Unknown,
    /// The asked router does not hold the slot.
    NotHolder {
        /// The holder, as last read.
        holder: Option<InstanceIncarnation>,
    },
}

impl fmt::Display for SettleAnswer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settled { charged } => write!(formatter, "settled {charged}"),
            Self::AlreadySettled { charged, .. } => write!(formatter, "already settled {charged}"),
            Self::Pending { charged, .. } => write!(formatter, "pending {charged}"),
            Self::Unknown => formatter.write_str("unknown"),
            Self::NotHolder { .. } => formatter.write_str("not the holder"),
        }
    }
}

/// Gives a reservation back: the attempt did not run and will not.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// The request.
    pub identity: RequestIdentity,
    /// The attempt that did not run.
    pub attempt: AttemptId,
    /// Gives back only what was reserved in a tenure before this one; `None`
    /// is the word of the router that would have run the attempt.
    ///
    /// A former holder knows only of its own tenure: its successor may have
    /// granted the attempt anew, and it may run.
    pub before: Option<SlotEpoch>,
}

impl ReleaseRequest {
    /// Whether a reservation of `tenure` is meant.
    #[must_use]
    pub fn applies_to(&self, tenure: SlotEpoch) -> bool {
        self.before.is_none_or(|before| tenure < before)
    }
}

/// The holder's answer to a [`ReleaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReleaseAnswer {
    /// The reservation is gone, or was never there, and the witness has it so.
    Released,
    /// The reservation is gone here, but the witness does not acknowledge now.
    ///
    /// A takeover would find it again; the router asks again until it is
    /// released.
    Pending {
        /// When to ask again.
        retry_after: ClockSpan,
    },
    /// The attempt was charged already.
    AlreadySettled {
        /// Its charge.
        charged: TokenCount,
    },
    /// The asked router does not hold the slot.
    NotHolder {
        /// The holder, as last read.
        holder: Option<InstanceIncarnation>,
    },
}

/// Tells the holder which backend server runs an attempt, so that another
/// router may resume its stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BackendAssignment {
    /// The request.
    pub identity: RequestIdentity,
    /// The attempt.
    pub attempt: AttemptId,
    /// The backend server.
    pub backend: BackendId,
}

/// Asks the holder to let no attempt of the request run from now on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SealRequest {
    /// The request.
    pub identity: RequestIdentity,
}

/// The holder's answer to a [`SealRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SealAnswer {
    /// The witness holds the seal: this slot grants the request nothing.
    Sealed,
    /// An attempt is running; the request can't be sealed now.
    Running {
        /// The running attempt.
        attempt: AttemptId,
    },
    /// The request ran and was charged.
    AlreadyBilled {
        /// The attempt that was charged.
        attempt: AttemptId,
        /// Its charge.
        charged: TokenCount,
    },
    /// The witness can't be reached; the request is not sealed.
    Unreachable {
        /// When to ask again.
        retry_after: ClockSpan,
    },
    /// The asked router does not hold the slot.
    NotHolder {
        /// The holder, as last read.
        holder: Option<InstanceIncarnation>,
    },
}

/// Asks the holder in another zone to give unspent tokens back to a budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HandBackRequest {
    /// The slot that should give.
    pub slot: SlotId,
    /// The budget.
    pub budget: BudgetId,
    /// The tokens that the asking zone is short of.
    pub wanted: TokenCount,
}

/// The holder's answer to a [`HandBackRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandBackAnswer {
    /// This much was given back and stands in the table.
    Given {
        /// The tokens given back; zero if there was no surplus.
        tokens: TokenCount,
    },
    /// The asked router does not hold the slot.
    NotHolder {
        /// The holder, as last read.
        holder: Option<InstanceIncarnation>,
    },
}

/// Asks any router for the incarnation it lives under.
///
/// A holder learns the life of a candidate witness by it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationAnswer {
    /// The answering router's incarnation.
    pub incarnation: IncarnationId,
}
