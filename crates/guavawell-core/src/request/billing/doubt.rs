//! Resolves requests in doubt. Their tokens are reserved and they may have been
//! sent, but their router is gone and did not settle them.

use crate::budget::InstanceIncarnation;
use crate::id::AttemptId;
use crate::id::BackendId;
use crate::id::BudgetId;
use crate::id::TokenCount;
use crate::request::frame::StreamUsage;
use crate::request::identity::RequestIdentity;

/// A request in doubt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DoubtCase {
    /// The request.
    pub identity: RequestIdentity,
    /// The attempt.
    pub attempt: AttemptId,
    /// The budget.
    pub budget: BudgetId,
    /// The reserved tokens: the largest possible cost.
    pub reserved: TokenCount,
    /// The router that ran the attempt.
    pub router: InstanceIncarnation,
    /// The backend server, if the router reported it before it was gone.
    pub backend: Option<BackendId>,
    /// Whether nobody requests the answer any more.
    pub abandoned: bool,
}

/// What the backend server reports about an attempt, as returned by
/// `GET /v1/attempts/{attempt}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineReport {
    /// The attempt is complete.
    Done(StreamUsage),
    /// The attempt is queued or running.
    Running,
    /// The attempt was cancelled, and no more frames of it are sent.
    Cancelled(StreamUsage),
    /// The attempt has not arrived at the backend server, but may still do so.
    NeverSeen,
    /// The backend server does not answer.
    NoResponse,
}

/// What to do with a request in doubt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DoubtResolution {
    /// Charge these tokens and release the rest of the reservation.
    Charge(TokenCount),
    /// Release the whole reservation, because the attempt did not complete.
    Release {
        /// Tokens that the engine used and that nobody pays for.
        unbilled: TokenCount,
    },
    /// Cancel the attempt at the engine, then query it again. The engine
    /// rejects a cancelled attempt that arrives later, so that its report is
    /// final.
    Cancel,
    /// Query the engine again later. The caller may still resume the answer.
    Wait,
    /// Keep the whole reservation, because the result is unknown.
    Hold,
}

/// Resolves a request in doubt by the report of its engine. The report is
/// `None` if the backend server is not known.
#[must_use]
pub fn resolve_doubt(case: &DoubtCase, report: Option<EngineReport>) -> DoubtResolution {
    match report {
        None | Some(EngineReport::NoResponse) => DoubtResolution::Hold,
        Some(EngineReport::Done(usage)) => {
            DoubtResolution::Charge(usage.total().min(case.reserved))
        }
        Some(EngineReport::Cancelled(usage)) => DoubtResolution::Release {
            unbilled: usage.total(),
        },
        Some(EngineReport::NeverSeen) => DoubtResolution::Cancel,
        Some(EngineReport::Running) if case.abandoned => DoubtResolution::Cancel,
        Some(EngineReport::Running) => DoubtResolution::Wait,
    }
}
