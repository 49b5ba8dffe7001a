//! Why a forwarded request got an answer of the router's own.

use std::fmt;

/// The reason, as logs and metrics name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ForwardRefusal {
    /// No configuration is known yet.
    NoConfig,
    /// No route matches host and path.
    NoRoute,
    /// The key is missing or belongs to nobody.
    UnknownKey,
    /// The request's head or body is malformed.
    Malformed,
    /// The head is larger than allowed.
    HeadTooLarge,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// Request bodies held at this instance take all the memory set aside.
    NoMemory,
    /// What is left of the budget does not cover the request at its most.
    BudgetExhausted,
    /// Tokens that may still be left are held elsewhere, or cannot be
    /// confirmed now.
    BudgetUnavailable,
    /// No backend server of the service is known or reachable.
    NoServer,
    /// All backend servers of the service are full.
    ServersFull,
    /// All backend servers of the service asked for a pause.
    ServersPaused,
    /// Servers crashed under this request each time that it was sent.
    CrashesServers,
    /// The process is about to end and could not finish the request.
    Leaving,
    /// The time ran out before the request was sent.
    TooLate,
    /// The request may have run; its answer was lost or spoiled.
    AnswerLost,
    /// The request was sent and its time ran out.
    TimedOut,
}

impl ForwardRefusal {
    /// The name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoConfig => "no_config",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::Malformed => "malformed",
            Self::HeadTooLarge => "head_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::NoMemory => "no_memory",
            Self::BudgetExhausted => "budget_exhausted",
            Self::BudgetUnavailable => "budget_unavailable",
            Self::NoServer => "no_server",
            Self::ServersFull => "servers_full",
            Self::ServersPaused => "servers_paused",
            Self::CrashesServers => "crashes_servers",
            Self::Leaving => "leaving",
            Self::TooLate => "too_late",
            Self::AnswerLost => "answer_lost",
            Self::TimedOut => "timed_out",
        }
    }

    /// The HTTP status that says it. 503 promises that the request has not run
    /// and never will, so one that may have run gets 502 instead, which
    /// promises nothing.
    #[must_use]
    pub const fn status(self, may_have_run: bool) -> u16 {
        match (self.plain_status(), may_have_run) {
            (503, true) => 502,
            (status, _) => status,
        }
    }

    const fn plain_status(self) -> u16 {
        match self {
            Self::NoConfig
            | Self::NoMemory
            | Self::BudgetUnavailable
            | Self::NoServer
            | Self::ServersFull
            | Self::ServersPaused
            | Self::CrashesServers
            | Self::Leaving
            | Self::TooLate => 503,
            Self::NoRoute => 404,
            Self::UnknownKey => 401,
            Self::Malformed => 400,
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge => 413,
            Self::BudgetExhausted => 402,
            Self::AnswerLost => 502,
            Self::TimedOut => 504,
        }
    }
}

impl fmt::Display for ForwardRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
