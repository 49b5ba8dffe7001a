//! Requests in doubt: reserved, perhaps sent, and not settled by a router
//! that is gone.

use crate::budget::InstanceIncarnation;
use crate::id::AttemptId;
use crate::id::BackendId;
use crate::id::BudgetId;
use crate::id::TokenCount;
use crate::request::frame::StreamUsage;
use crate::request::identity::RequestIdentity;

/// What is known of a request in doubt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DoubtCase {
    /// The request.
    pub identity: RequestIdentity,
    /// The attempt.
    pub attempt: AttemptId,
    /// The budget.
    pub budget: BudgetId,
    /// The reserved worst case.
    pub reserved: TokenCount,
    /// The router that ran the attempt.
    pub router: InstanceIncarnation,
    /// The backend server, if the router told before it was gone.
    pub backend: Option<BackendId>,
    /// Whether nobody asks for the answer any more.
    pub abandoned: bool,
}

/// What the backend server's record says (`GET /v1/attempts/{attempt}`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineWord {
    /// It ran to its end.
    Done(StreamUsage),
    /// It waits or runs.
    Running,
    /// It was cancelled, and no frame of it follows.
    Cancelled(StreamUsage),
    /// It was never seen; it may still arrive.
    NeverSeen,
    /// The backend server does not answer.
    Silent,
}

/// What becomes of a request in doubt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DoubtAnswer {
    /// Charge this much and give the rest back.
    Charge(TokenCount),
    /// Give the whole reservation back: it did not run, or not to its end.
    /// The second count is work that nobody pays for.
    Release {
        /// Tokens that the engine spent in vain.
        unbilled: TokenCount,
    },
    /// Cancel it at the engine, then ask again. The engine refuses a late
    /// send of a cancelled attempt, so that its record is final.
    Cancel,
    /// Ask again later; the caller may still resume the answer.
    Wait,
    /// Keep the reservation at its worst case.
    Hold,
}

/// Decides a request in doubt by the engine's word; `None` where the backend
/// server is not known.
#[must_use]
pub fn resolve_doubt(case: &DoubtCase, word: Option<EngineWord>) -> DoubtAnswer {
    match word {
        None | Some(EngineWord::Silent) => DoubtAnswer::Hold,
        Some(EngineWord::Done(usage)) => DoubtAnswer::Charge(usage.total().min(case.reserved)),
        Some(EngineWord::Cancelled(usage)) => DoubtAnswer::Release {
            unbilled: usage.total(),
        },
        Some(EngineWord::NeverSeen) => DoubtAnswer::Cancel,
        Some(EngineWord::Running) if case.abandoned => DoubtAnswer::Cancel,
        Some(EngineWord::Running) => DoubtAnswer::Wait,
    }
}
