//! The structured event record of the fleet's time line, one JSON object per line.
//!
//! This module defines only the format of a record, not which events are recorded.

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
/// `order` is a Lamport clock: a process increments it with each event, and
/// advances it past the order in each message that it receives. So a cause sorts
/// before its effect even if wall clocks differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRecord {
    /// The wall clock of the process, in milliseconds.
    pub at: ClockTime,
    /// The Lamport clock.
    pub order: u64,
    /// The instance that recorded the event.
    pub instance: InstanceId,
    /// The run of that instance's process.
    pub incarnation: IncarnationId,
    /// What happened, as `subject.verb`, for example `slot.taken_over`.
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
    /// Additional fields of this kind of event, sorted by name.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub detail: Vec<EventField>,
}

/// An additional field of an event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventField {
    /// The field's name.
    pub name: Box<str>,
    /// The field's value as text.
    pub value: Box<str>,
}
