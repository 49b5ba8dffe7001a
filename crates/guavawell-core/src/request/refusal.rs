//! Refusals, whose constructors require proof of the outcome that they state.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::attempt::UnsentAttempt;
use super::identity::RequestIdentity;
use super::proof::MintedProof;
use super::proof::NotRunProof;
use super::reason::RefusalReason;
use crate::clock::ClockSpan;

const MILLIS_PER_SECOND: u64 = 1_000;

/// Whether a refused request was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalOutcome {
    /// The request was not run and never will be under this id.
    NotRun,
    /// This try was not run; the same id may be sent again.
    Retry,
    /// The request may have run.
    Unknown,
}

/// A refusal of a request.
///
/// [`Refusal::not_run`] takes a proof of its outcome, and [`Refusal::retry`]
/// consumes the unsent attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    outcome: RefusalOutcome,
    reason: RefusalReason,
    retry_after: Option<ClockSpan>,
    detail: Box<str>,
    inexact: bool,
}

impl Refusal {
    /// Refuses a request that was not run and never will be under its id.
    #[must_use]
    pub fn not_run(
        _proof: &NotRunProof,
        reason: RefusalReason,
        detail: impl Into<Box<str>>,
    ) -> Self {
        Self::new(RefusalOutcome::NotRun, reason, detail)
    }

    /// Refuses a try that was not run. Consumes the attempt, which can then no
    /// longer be sent.
    #[must_use]
    pub fn retry(
        _unsent: UnsentAttempt,
        reason: RefusalReason,
        detail: impl Into<Box<str>>,
    ) -> Self {
        Self::new(RefusalOutcome::Retry, reason, detail)
    }

    /// Refuses a request before an attempt was created, because of its headers,
    /// its body or the state of the router.
    #[must_use]
    pub fn unattempted(reason: RefusalReason, detail: impl Into<Box<str>>) -> Self {
        Self::new(RefusalOutcome::Retry, reason, detail)
    }

    /// Refuses a request that may have run. Such a refusal is always inexact.
    #[must_use]
    pub fn unknown(reason: RefusalReason, detail: impl Into<Box<str>>) -> Self {
        let mut refusal = Self::new(RefusalOutcome::Unknown, reason, detail);
        refusal.inexact = true;
        refusal
    }

    /// The strongest refusal that is possible without a seal: `not_run` for an
    /// id that a router minted, `retry` for an id that the caller chose.
    #[must_use]
    pub fn unsealed(
        identity: &RequestIdentity,
        unsent: UnsentAttempt,
        reason: RefusalReason,
        detail: impl Into<Box<str>>,
    ) -> Self {
        match MintedProof::new(identity, unsent) {
            Ok(proof) => Self::not_run(&proof.into(), reason, detail),
            Err(unsent) => Self::retry(unsent, reason, detail),
        }
    }

    /// Adds the time after which a retry may succeed.
    #[must_use]
    pub const fn after(mut self, span: ClockSpan) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Marks the refusal as inexact: its outcome is weaker than the one that
    /// the router could have proved under better conditions.
    #[must_use]
    pub const fn inexact(mut self) -> Self {
        self.inexact = true;
        self
    }

    fn new(outcome: RefusalOutcome, reason: RefusalReason, detail: impl Into<Box<str>>) -> Self {
        Self {
            outcome,
            reason,
            retry_after: None,
            detail: detail.into(),
            inexact: false,
        }
    }

    /// Whether the request was run.
    #[must_use]
    pub const fn outcome(&self) -> RefusalOutcome {
        self.outcome
    }

    /// Why the request is refused.
    #[must_use]
    pub const fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// The HTTP status.
    #[must_use]
    pub const fn status(&self) -> u16 {
        self.reason.status()
    }

    /// The time after which a retry may succeed, if known.
    #[must_use]
    pub const fn retry_after(&self) -> Option<ClockSpan> {
        self.retry_after
    }

    /// The value of `Retry-After`: whole seconds, rounded up.
    #[must_use]
    pub fn retry_after_seconds(&self) -> Option<u64> {
        let span = self.retry_after?;
        Some(span.as_millis().div_ceil(MILLIS_PER_SECOND))
    }

    /// Whether the outcome is weaker than the one that the router could have
    /// proved under better conditions.
    #[must_use]
    pub const fn is_inexact(&self) -> bool {
        self.inexact
    }

    /// The problem document for the caller.
    #[must_use]
    pub fn problem(&self, identity: Option<&RequestIdentity>) -> ProblemDocument {
        ProblemDocument {
            kind: "about:blank".into(),
            title: self.reason.title().into(),
            status: self.status(),
            detail: self.detail.clone(),
            outcome: self.outcome,
            reason: self.reason,
            retry_after_ms: self.retry_after.map(ClockSpan::as_millis),
            request: identity.map(|identity| identity.request.as_str().into()),
            organisation: identity.map(|identity| identity.organisation.as_str().into()),
        }
    }
}

impl RefusalOutcome {
    /// The name of the outcome in problem documents and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Retry => "retry",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for RefusalOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// The body of a refusal, `application/problem+json` (RFC 9457).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemDocument {
    /// The problem type; always `about:blank`.
    #[serde(rename = "type")]
    pub kind: Box<str>,
    /// A short title.
    pub title: Box<str>,
    /// The HTTP status.
    pub status: u16,
    /// What happened, for people.
    pub detail: Box<str>,
    /// Whether the request was run.
    pub outcome: RefusalOutcome,
    /// The reason for the refusal.
    pub reason: RefusalReason,
    /// The time after which a retry may succeed, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The request id, if known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<Box<str>>,
    /// The organisation, if known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub organisation: Option<Box<str>>,
}

impl ProblemDocument {
    /// The document as JSON.
    ///
    /// # Panics
    ///
    /// Never: the document contains only strings and numbers.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("strings and numbers can be serialised")
    }
}
