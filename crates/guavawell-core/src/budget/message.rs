//! Messages between routers about budgets: requests to a slot's holder and its
//! answers.
//!
//! Every message can be sent again; the holder recognises a repeat by the
//! attempt's id.

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
    /// The part in which the witness acknowledges each reservation before it is
    /// granted.
    Witnessed,
    /// The part that the holder may spend without the witness; a takeover freezes
    /// it.
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

/// Asks the holder to reserve the most that an attempt may cost.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// The request.
    pub identity: RequestIdentity,
    /// The attempt.
    pub attempt: AttemptId,
    /// The budget to draw on.
    pub budget: BudgetId,
    /// Tokens to reserve: the prompt's tokens plus the output limit.
    pub amount: TokenCount,
    /// The router that will run the attempt.
    pub router: InstanceIncarnation,
    /// Whether it is safe to run the request more than once.
    pub idempotent: bool,
    /// Digest of the request's content: a request with the same identity but
    /// another digest is refused.
    pub digest: RequestDigest,
}

/// The holder's answer to a [`ReserveRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReserveAnswer {
    /// The attempt may run and be charged up to the reserved amount.
    Granted(ReserveGrant),
    /// Another attempt of the request is already running.
    Joined {
        /// The running attempt.
        attempt: AttemptId,
        /// The router that runs it.
        router: InstanceIncarnation,
        /// The backend server, if known.
        backend: Option<BackendId>,
    },
    /// The request was already charged and is never charged again.
    AlreadyBilled {
        /// The attempt that was charged.
        attempt: AttemptId,
        /// Its charge.
        charged: TokenCount,
        /// The backend server, if known.
        backend: Option<BackendId>,
    },
    /// The request is sealed: no attempt of it may start.
    Sealed,
    /// The identity was used with another budget or another request content.
    Mismatch,
    /// The budget does not have enough tokens left for the amount.
    Exhausted {
        /// When to try again; `None` if no attempt is running and no other zone has
        /// open tokens, so that none can become available.
        retry_after: Option<ClockSpan>,
        /// Open tokens granted to other zones when the row was last read.
        elsewhere: TokenCount,
    },
    /// Nothing can be reserved at the moment: the witness does not acknowledge and
    /// the float does not cover the amount, or the table can't be reached.
    Unreachable {
        /// When to try again.
        retry_after: ClockSpan,
    },
    /// The receiving router does not hold the slot.
    NotHolder {
        /// The holder, as far as the receiving router knows.
        holder: Option<InstanceIncarnation>,
    },
}

/// Permission to run one attempt. A [`SettleRequest`] carries it back.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReserveGrant {
    /// The holder that granted it. An attempt in the float can only be settled with
    /// this holder.
    pub holder: InstanceIncarnation,
    /// The holder's tenure.
    pub tenure: SlotEpoch,
    /// The pool that was drawn on.
    pub pool: TokenPool,
    /// The reserved tokens, the most that may be charged.
    pub amount: TokenCount,
}

/// Asks the holder to charge an attempt. The router waits for the answer before it
/// sends the end marker of the stream to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SettleRequest {
    /// The request.
    pub identity: RequestIdentity,
    /// The attempt that ran.
    pub attempt: AttemptId,
    /// The grant that permitted the attempt.
    pub grant: ReserveGrant,
    /// Tokens used; the charge is limited to the reserved amount.
    pub actual: TokenCount,
    /// The backend server that served it.
    pub backend: Option<BackendId>,
}

/// The holder's answer to a [`SettleRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SettleAnswer {
    /// The witness has acknowledged the charge, or the float was charged.
    Settled {
        /// The charge.
        charged: TokenCount,
    },
    /// Another attempt of the request was charged before; nothing was charged now.
    AlreadySettled {
        /// The attempt that was charged.
        attempt: AttemptId,
        /// Its charge.
        charged: TokenCount,
    },
    /// The holder has recorded the charge, but its witness does not acknowledge.
    ///
    /// The witness keeps the full reservation, so the budget can't lose the charge.
    /// The router repeats the request until it is settled.
    Pending {
        /// The charge.
        charged: TokenCount,
        /// When to try again.
        retry_after: ClockSpan,
    },
    /// The holder has no record of the attempt.
    Unknown,
    /// The receiving router does not hold the slot.
    NotHolder {
        /// The holder, as far as the receiving router knows.
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

/// Asks the holder to cancel the reservation of an attempt that never ran and never
/// will.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// The request.
    pub identity: RequestIdentity,
    /// The attempt that did not run.
    pub attempt: AttemptId,
    /// Limits the release to reservations from tenures before this one. `None` sets
    /// no limit; it is for senders that know that the attempt never runs, such as the
    /// router that would have run it.
    ///
    /// A former holder must set the limit: its successor may have granted the
    /// attempt again in a later tenure, in which it may run.
    pub before: Option<SlotEpoch>,
}

impl ReleaseRequest {
    /// Whether the release covers reservations made in `tenure`.
    #[must_use]
    pub fn applies_to(&self, tenure: SlotEpoch) -> bool {
        self.before.is_none_or(|before| tenure < before)
    }
}

/// The holder's answer to a [`ReleaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReleaseAnswer {
    /// There is no reservation, and the witness has acknowledged that.
    Released,
    /// The holder has removed the reservation, but its witness does not acknowledge.
    ///
    /// After a takeover it would still be reserved, so the router repeats the
    /// request until it is released.
    Pending {
        /// When to try again.
        retry_after: ClockSpan,
    },
    /// The attempt was already charged.
    AlreadySettled {
        /// Its charge.
        charged: TokenCount,
    },
    /// The receiving router does not hold the slot.
    NotHolder {
        /// The holder, as far as the receiving router knows.
        holder: Option<InstanceIncarnation>,
    },
}

/// Tells the holder which backend server runs an attempt, so that another router
/// can resume its stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BackendAssignment {
    /// The request.
    pub identity: RequestIdentity,
    /// The attempt.
    pub attempt: AttemptId,
    /// The backend server.
    pub backend: BackendId,
}

/// Asks the holder to seal a request: to grant no attempt of it from now on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SealRequest {
    /// The request.
    pub identity: RequestIdentity,
}

/// The holder's answer to a [`SealRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SealAnswer {
    /// The request is sealed and the witness has acknowledged it: the slot grants no
    /// attempt of it.
    Sealed,
    /// The request can't be sealed because an attempt is running.
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
        /// When to try again.
        retry_after: ClockSpan,
    },
    /// The receiving router does not hold the slot.
    NotHolder {
        /// The holder, as far as the receiving router knows.
        holder: Option<InstanceIncarnation>,
    },
}

/// Asks the holder in another zone to return unused tokens to a budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HandBackRequest {
    /// The slot whose grant the tokens should come from.
    pub slot: SlotId,
    /// The budget.
    pub budget: BudgetId,
    /// The tokens that the requesting zone lacks.
    pub wanted: TokenCount,
}

/// The holder's answer to a [`HandBackRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandBackAnswer {
    /// Tokens were returned to the budget, and the table includes the change.
    Given {
        /// The returned tokens; zero if the slot had no surplus.
        tokens: TokenCount,
    },
    /// The receiving router does not hold the slot.
    NotHolder {
        /// The holder, as far as the receiving router knows.
        holder: Option<InstanceIncarnation>,
    },
}

/// A router's answer to a request for its current incarnation.
///
/// A holder learns the incarnation of a candidate witness from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationAnswer {
    /// The answering router's incarnation.
    pub incarnation: IncarnationId,
}
