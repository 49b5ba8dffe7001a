//! The part of an event that a rule looks at.

use guavawell_core::clock::ClockTime;
use guavawell_core::event::EventRecord;
use guavawell_core::id::AttemptId;
use guavawell_core::id::InstanceId;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::RequestId;
use guavawell_core::id::TokenCount;
use serde::Serialize;

use crate::source::EventPlace;
use crate::source::PlacedEvent;

/// What a fact says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FactKind {
    /// Tokens were reserved.
    Reserved,
    /// A charge was settled.
    Settled,
    /// The request was billed.
    Billed,
    /// An attempt started.
    Started,
    /// An attempt ended after it ran, whole or cut.
    Ran,
    /// The request was sealed.
    Sealed,
    /// The request was refused as not run, now or later.
    RefusedFinally,
}

impl FactKind {
    /// The event kind that the fact comes from.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Reserved => "reservation.granted",
            Self::Settled => "reservation.settled",
            Self::Billed => "billing.recorded",
            Self::Started => "attempt.started",
            Self::Ran => "attempt.ended",
            Self::Sealed => "request.sealed",
            Self::RefusedFinally => "request.refused",
        }
    }

    fn of(record: &EventRecord) -> Option<Self> {
        let kind = match &*record.kind {
            "reservation.granted" => Self::Reserved,
            "reservation.settled" => Self::Settled,
            "billing.recorded" => Self::Billed,
            "attempt.started" => Self::Started,
            "attempt.ended" if matches!(detail(record, "end"), Some("done" | "cut")) => Self::Ran,
            "request.sealed" => Self::Sealed,
            "request.refused" if detail(record, "outcome") == Some("not_run") => {
                Self::RefusedFinally
            }
            _ => return None,
        };
        Some(kind)
    }
}

/// One fact.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct HistoryFact {
    /// Place among the facts, in the time line's order.
    #[serde(skip)]
    pub position: u64,
    /// What it says.
    pub kind: FactKind,
    /// The organisation.
    #[serde(skip)]
    pub organisation: OrganisationId,
    /// The request.
    #[serde(skip)]
    pub request: RequestId,
    /// The attempt, if the event names one.
    pub attempt: Option<AttemptId>,
    /// The tokens, if the event names them.
    pub tokens: Option<TokenCount>,
    /// Whether the attempt may be repeated; `true` unless the event denies it.
    pub idempotent: bool,
    /// The instance.
    pub instance: InstanceId,
    /// Its wall clock.
    pub at: ClockTime,
    /// Its Lamport clock.
    pub order: u64,
    /// Place of the log in the list given.
    pub source: u32,
    /// The line in it.
    pub line: u64,
}

impl HistoryFact {
    /// The fact in an event, if a rule looks at it.
    pub(super) fn of(event: &PlacedEvent, position: u64) -> Option<Self> {
        let record = &event.record;
        let kind = FactKind::of(record)?;
        Some(Self {
            position,
            kind,
            organisation: record.organisation.clone()?,
            request: record.request.clone()?,
            attempt: record.attempt,
            tokens: detail(record, "tokens").and_then(|text| text.parse().ok()),
            idempotent: detail(record, "idempotent") != Some("false"),
            instance: record.instance.clone(),
            at: record.at,
            order: record.order,
            source: event.place.source,
            line: event.place.line,
        })
    }

    /// Where the event was read.
    #[must_use]
    pub const fn place(&self) -> EventPlace {
        EventPlace {
            source: self.source,
            line: self.line,
        }
    }
}

/// A further field of an event.
fn detail<'a>(record: &'a EventRecord, name: &str) -> Option<&'a str> {
    let found = record.detail.iter().find(|field| &*field.name == name);
    found.map(|field| &*field.value)
}
