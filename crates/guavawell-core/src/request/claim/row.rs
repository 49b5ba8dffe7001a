//! The table row of a claim.

use serde::Deserialize;
use serde::Serialize;

use crate::budget::InstanceIncarnation;
use crate::clock::ClockTime;
use crate::id::AttemptId;
use crate::request::identity::RequestIdentity;

/// State of a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// Only the attempt of the row may run.
    Claimed,
    /// No attempt will ever run.
    Sealed,
    /// The attempt of the row will never run. Another attempt may claim the id.
    Released,
}

/// The table row of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The state of the request id.
    pub state: ClaimState,
    /// The attempt that wrote the row. After an unanswered write, the read-back
    /// compares it to find out whether that write was applied.
    pub attempt: AttemptId,
    /// The router that wrote the row.
    pub router: InstanceIncarnation,
    /// Time of the write by the clock of that router, for operators only.
    pub at: ClockTime,
}

/// The table key of a request's claim.
#[must_use]
pub fn claim_key(identity: &RequestIdentity) -> Box<str> {
    format!("claim/{}/{}", identity.organisation, identity.request).into()
}
