//! One charge, as it is kept.

use serde::Deserialize;
use serde::Serialize;

use crate::budget::SlotId;
use crate::clock::ClockTime;
use crate::id::AttemptId;
use crate::id::BackendId;
use crate::id::BudgetId;
use crate::id::SlotEpoch;
use crate::id::TokenCount;
use crate::request::identity::RequestIdentity;

/// One charge of one attempt by one holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillingRecord {
    /// The request.
    pub identity: RequestIdentity,
    /// The attempt that was charged.
    pub attempt: AttemptId,
    /// The budget charged.
    pub budget: BudgetId,
    /// The slot whose holder charged.
    pub slot: SlotId,
    /// That holder's tenure.
    pub tenure: SlotEpoch,
    /// The charge.
    pub charged: TokenCount,
    /// The backend server that ran the attempt, where it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backend: Option<BackendId>,
    /// When the charge was made, by the holder's clock.
    pub at: ClockTime,
}

impl BillingRecord {
    /// Whether both records tell of one and the same charge.
    #[must_use]
    pub fn is_same_charge(&self, other: &Self) -> bool {
        self.identity == other.identity
            && self.attempt == other.attempt
            && self.slot == other.slot
            && self.tenure == other.tenure
    }
}
