//! What happened to each request, one JSON object a line.

use std::fmt;

use guavawell_core::id::BudgetId;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::RequestId;
use serde::Deserialize;
use serde::Serialize;

use crate::hooks::AnswerUsage;

/// How far a router committed itself by a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalOutcome {
    /// Final: not run and never will be.
    NotRun,
    /// This try was not run.
    Retry,
    /// It may have run.
    Unknown,
}

impl RefusalOutcome {
    /// Whether the router says that this try was not run.
    #[must_use]
    pub const fn denies_run(self) -> bool {
        matches!(self, Self::NotRun | Self::Retry)
    }
}

impl fmt::Display for RefusalOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NotRun => "not_run",
            Self::Retry => "retry",
            Self::Unknown => "unknown",
        })
    }
}

/// How one try, or a request as a whole, ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(tag = "end", rename_all = "snake_case")]
pub enum TryEnd {
    /// A whole answer that passed the check.
    Whole,
    /// A whole answer that failed the check.
    Wrong {
        /// What the check said.
        why: Box<str>,
    },
    /// A refusal.
    Refused {
        /// How far the router committed itself.
        outcome: RefusalOutcome,
        /// The reason it gave.
        reason: Box<str>,
    },
    /// An answer that stopped before its end.
    Incomplete {
        /// What stopped it.
        why: IncompleteCause,
    },
    /// No target accepted a connection.
    Unreachable,
    /// Never sent: too many requests were under way already.
    Shed,
}

/// What stopped an answer before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IncompleteCause {
    /// The connection closed or failed.
    Closed,
    /// The connection went silent.
    Silent,
    /// The stream ended without its end marker.
    NoEndMarker,
    /// The answer is no HTTP, JSON or event stream that the protocol knows.
    Malformed,
}

impl fmt::Display for IncompleteCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Closed => "connection closed",
            Self::Silent => "connection silent",
            Self::NoEndMarker => "no end marker",
            Self::Malformed => "malformed",
        })
    }
}

/// One try.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TryRecord {
    /// The target's address.
    pub target: Box<str>,
    /// Milliseconds from the start of the run to the start of the try.
    pub started_ms: u64,
    /// Milliseconds from the start of the run to the end of the try.
    pub ended_ms: u64,
    /// The attempt that the router named, if it did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempt: Option<Box<str>>,
    /// The usage that the answer stated, if it came that far.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<AnswerUsage>,
    /// Content events received.
    pub parts: u64,
    /// How the try ended.
    #[serde(flatten)]
    pub end: TryEnd,
}

/// One request with all its tries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestHistory {
    /// The request id that the caller sent, else the one the router minted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// The organisation, if the profile names it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<OrganisationId>,
    /// The kind of request.
    pub profile: Box<str>,
    /// The budget named by the caller, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub budget: Option<BudgetId>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The tries in their order.
    pub tries: Vec<TryRecord>,
    /// How the request ended: the end of its last try.
    pub end: TryEnd,
}

impl RequestHistory {
    /// The usage that the last try's answer stated.
    #[must_use]
    pub fn usage(&self) -> Option<AnswerUsage> {
        self.tries.last().and_then(|last| last.usage)
    }
}
