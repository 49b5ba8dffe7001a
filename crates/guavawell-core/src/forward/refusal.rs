//! Why the router itself responds to a forwarded request.

use std::fmt;

/// The reason, as logs and metrics name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ForwardRefusal {
    /// No configuration is known yet.
    NoConfig,
    /// No route matches host and path.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The head or body of the request is malformed.
    Malformed,
    /// The head exceeds its size limit.
    HeadTooLarge,
    /// The body exceeds its size limit.
    BodyTooLarge,
    /// The body arrived so slowly that others needed its memory.
    BodyTooSlow,
    /// The instance holds the maximum number of requests, or of bytes of
    /// request bodies.
    NoMemory,
    /// The network link of the instance cannot carry the request in time.
    LinkFull,
    /// The rest of the budget does not cover the request's worst case.
    BudgetExhausted,
    /// Tokens may be left, but other instances hold them, or they cannot be
    /// confirmed now.
    BudgetUnavailable,
    /// No backend server of the service is known or reachable.
    NoServer,
    /// All backend servers of the service are full.
    ServersFull,
    /// All backend servers of the service asked for a pause.
    ServersPaused,
    /// It is not known at which version of the software the stream began that the
    /// caller continues. The caller has to begin it anew.
    StreamUnknown,
    /// No server has the version of the software that began the stream.
    VersionGone,
    /// The operator evacuates the zones of all servers that could run the
    /// request.
    Evacuated,
    /// All backend servers that could run the request are cold, and take no more
    /// requests for now.
    ServersCold,
    /// All backend servers that could run the request state rate limits, and take no
    /// more requests for now.
    ServersLimited,
    /// Each server that the request was sent to crashed while running it.
    CrashesServers,
    /// The process is shutting down and could not finish the request.
    Leaving,
    /// The time ran out before the request was sent.
    TooLate,
    /// The request may have run; its response was lost or malformed.
    AnswerLost,
    /// The request was sent and timed out.
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
            Self::BodyTooSlow => "body_too_slow",
            Self::NoMemory => "no_memory",
            Self::LinkFull => "link_full",
            Self::BudgetExhausted => "budget_exhausted",
            Self::BudgetUnavailable => "budget_unavailable",
            Self::NoServer => "no_server",
            Self::ServersFull => "servers_full",
            Self::ServersPaused => "servers_paused",
            Self::StreamUnknown => "stream_unknown",
            Self::VersionGone => "version_gone",
            Self::Evacuated => "evacuated",
            Self::ServersCold => "servers_cold",
            Self::ServersLimited => "servers_limited",
            Self::CrashesServers => "crashes_servers",
            Self::Leaving => "leaving",
            Self::TooLate => "too_late",
            Self::AnswerLost => "answer_lost",
            Self::TimedOut => "timed_out",
        }
    }

    /// The HTTP status of the refusal. 503 promises that the request has not
    /// run and never will. A request that may have run gets 502 instead, which
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
            | Self::LinkFull
            | Self::BudgetUnavailable
            | Self::NoServer
            | Self::ServersFull
            | Self::ServersPaused
            | Self::StreamUnknown
            | Self::VersionGone
            | Self::Evacuated
            | Self::ServersCold
            | Self::ServersLimited
            | Self::CrashesServers
            | Self::Leaving
            | Self::TooLate => 503,
            Self::NoRoute => 404,
            Self::UnknownKey => 401,
            Self::Malformed => 400,
            Self::BodyTooSlow => 408,
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
