//! Reasons for refusing a request, with their HTTP statuses.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The headers or the body are invalid.
    BadRequest,
    /// The bearer key belongs to no organisation.
    Unauthorised,
    /// The manifest in force has no such model.
    UnknownModel,
    /// The organisation has no such budget.
    UnknownBudget,
    /// The manifest in force has no such service.
    UnknownService,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The caller took too long to send the request.
    Timeout,
    /// The rest of the budget does not cover the largest possible cost of the
    /// request.
    BudgetExhausted,
    /// No router that may spend the budget can be reached.
    BudgetUnreachable,
    /// The request queues are full.
    Overloaded,
    /// The request cannot meet its deadline.
    Deadline,
    /// No backend server can serve the request.
    NoBackend,
    /// The request needs the platform, which cannot be reached.
    PlatformUnreachable,
    /// The id is sealed: an earlier try was refused permanently.
    Sealed,
    /// A request with this id ran or is running, and its answer cannot be sent
    /// again.
    AlreadyRan,
    /// The id is older than the retention of claims.
    IdExpired,
    /// The id was used for another request.
    IdentityMismatch,
    /// The router is shutting down.
    Leaving,
    /// The router has not loaded a manifest yet.
    NotReady,
    /// The backend server failed.
    BackendFailed,
    /// The answer ended before it was complete.
    Interrupted,
}

impl RefusalReason {
    /// Every reason.
    pub const ALL: [Self; 21] = [
        Self::BadRequest,
        Self::Unauthorised,
        Self::UnknownModel,
        Self::UnknownBudget,
        Self::UnknownService,
        Self::BodyTooLarge,
        Self::Timeout,
        Self::BudgetExhausted,
        Self::BudgetUnreachable,
        Self::Overloaded,
        Self::Deadline,
        Self::NoBackend,
        Self::PlatformUnreachable,
        Self::Sealed,
        Self::AlreadyRan,
        Self::IdExpired,
        Self::IdentityMismatch,
        Self::Leaving,
        Self::NotReady,
        Self::BackendFailed,
        Self::Interrupted,
    ];

    /// The name of the reason in problem documents and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::Unauthorised => "unauthorised",
            Self::UnknownModel => "unknown_model",
            Self::UnknownBudget => "unknown_budget",
            Self::UnknownService => "unknown_service",
            Self::BodyTooLarge => "body_too_large",
            Self::Timeout => "timeout",
            Self::BudgetExhausted => "budget_exhausted",
            Self::BudgetUnreachable => "budget_unreachable",
            Self::Overloaded => "overloaded",
            Self::Deadline => "deadline",
            Self::NoBackend => "no_backend",
            Self::PlatformUnreachable => "platform_unreachable",
            Self::Sealed => "sealed",
            Self::AlreadyRan => "already_ran",
            Self::IdExpired => "id_expired",
            Self::IdentityMismatch => "identity_mismatch",
            Self::Leaving => "leaving",
            Self::NotReady => "not_ready",
            Self::BackendFailed => "backend_failed",
            Self::Interrupted => "interrupted",
        }
    }

    /// A short title for the problem document.
    #[must_use]
    pub const fn title(self) -> &'static str {
        match self {
            Self::BadRequest => "Bad request",
            Self::Unauthorised => "Unknown bearer key",
            Self::UnknownModel => "Unknown model",
            Self::UnknownBudget => "Unknown budget",
            Self::UnknownService => "Unknown service",
            Self::BodyTooLarge => "Body too large",
            Self::Timeout => "Request sent too slowly",
            Self::BudgetExhausted => "Budget exhausted",
            Self::BudgetUnreachable => "Budget unreachable",
            Self::Overloaded => "Overloaded",
            Self::Deadline => "Deadline cannot be met",
            Self::NoBackend => "No backend server",
            Self::PlatformUnreachable => "Platform unreachable",
            Self::Sealed => "Request id refused before",
            Self::AlreadyRan => "Request ran already",
            Self::IdExpired => "Request id too old",
            Self::IdentityMismatch => "Request id used for another request",
            Self::Leaving => "Router leaving",
            Self::NotReady => "Router not ready",
            Self::BackendFailed => "Backend server failed",
            Self::Interrupted => "Answer interrupted",
        }
    }

    /// The HTTP status of a refusal for this reason.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorised => 401,
            Self::BudgetExhausted => 402,
            Self::UnknownModel | Self::UnknownBudget | Self::UnknownService => 404,
            Self::Timeout => 408,
            Self::Sealed | Self::AlreadyRan | Self::IdExpired => 409,
            Self::BodyTooLarge => 413,
            Self::IdentityMismatch => 422,
            Self::BackendFailed | Self::Interrupted => 502,
            Self::BudgetUnreachable
            | Self::Overloaded
            | Self::NoBackend
            | Self::PlatformUnreachable
            | Self::Leaving
            | Self::NotReady => 503,
            Self::Deadline => 504,
        }
    }

    /// Whether to seal the request id, so that the caller gets a final
    /// `not_run`.
    ///
    /// A seal costs a table write and refuses the id permanently. Temporary
    /// conditions, such as overload or a router that is shutting down, are not
    /// sealed, because clients retry them with the same id.
    #[must_use]
    pub const fn should_seal(self) -> bool {
        matches!(self, Self::BudgetExhausted | Self::Deadline)
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
