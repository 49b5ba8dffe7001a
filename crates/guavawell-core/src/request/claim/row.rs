//! The table's row of a claim.

use serde::Deserialize;
use serde::Serialize;

use crate::budget::InstanceIncarnation;
use crate::clock::ClockTime;
use crate::id::AttemptId;
use crate::request::identity::RequestIdentity;

/// What a claim's row says about its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The row's attempt, and no other, may run.
    Claimed,
    /// No attempt runs, now or later.
    Sealed,
    /// The row's attempt never runs; another may claim the id.
    Released,
}

/// The table's row of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRow {
    /// What the row says.
    pub state: ClaimState,
    /// The attempt that wrote the row; tells a lost write's read-back whose it is.
    pub attempt: AttemptId,
    /// The router that wrote the row.
    pub router: InstanceIncarnation,
    /// When, by that router's clock; for people only.
    pub at: ClockTime,
}

/// The key of a request's claim.
#[must_use]
pub fn claim_key(identity: &RequestIdentity) -> Box<str> {
    format!("claim/{}/{}", identity.organisation, identity.request).into()
}
