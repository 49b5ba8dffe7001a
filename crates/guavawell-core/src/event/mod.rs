//! The structured event that feeds the time line, one JSON object a line.
//!
//! Owns the record's form. When something is worth an event is not decided here.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::ClockTime;
use crate::id::AttemptId;
use crate::id::BudgetId;
use crate::id::IncarnationId;
use crate::id::InstanceId;
use crate::id::OrganisationId;
use crate::id::RequestId;

/// One event of one process.
///
/// `order` is a Lamport clock: a process raises it with each event and moves
/// it past the order carried by each message that it receives, so that a
/// cause sorts before its effect even where wall clocks differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRecord {
    /// The process's own wall clock, in milliseconds.
    pub at: ClockTime,
    /// The Lamport clock.
    pub order: u64,
    /// The process that saw the event.
    pub instance: InstanceId,
    /// That process's life.
    pub incarnation: IncarnationId,
    /// What happened, as `subject.verb`, for instance `slot.taken_over`.
    pub kind: Box<str>,
    /// The organisation concerned, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<OrganisationId>,
    /// The budget concerned, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub budget: Option<BudgetId>,
    /// The request concerned, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// The attempt concerned, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempt: Option<AttemptId>,
    /// Further fields of this kind of event, sorted by name.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub detail: Vec<EventField>,
}

/// One further field of an event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventField {
    /// The field's name.
    pub name: Box<str>,
    /// The field's value as text.
    pub value: Box<str>,
}
