//! The record of one charge.

use serde::Deserialize;
use serde::Serialize;

use crate::budget::ChargeNotice;
use crate::budget::SlotId;
use crate::budget::SlotLedger;
use crate::budget::TokenPool;
use crate::clock::ClockTime;
use crate::id::AttemptId;
use crate::id::BackendId;
use crate::id::BudgetId;
use crate::id::SlotEpoch;
use crate::id::TokenCount;
use crate::request::identity::RequestIdentity;

/// A charge for one attempt, made by the holder of a slot.
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
    /// The tenure of that holder.
    pub tenure: SlotEpoch,
    /// The tokens charged.
    pub charged: TokenCount,
    /// The backend server that ran the attempt, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backend: Option<BackendId>,
    /// Running total of the charges to this pool in this tenure, this charge
    /// included. The budget's row includes the charge once it reports at least
    /// this total for the tenure.
    ///
    /// The total is 0 if a successor of the holder recorded the charge again,
    /// and `u64::MAX` if the charge was paid from frozen tokens.
    #[serde(default)]
    pub counted: TokenCount,
    /// The pool that paid.
    #[serde(default = "witnessed")]
    pub pool: TokenPool,
    /// When the charge was made, by the holder's clock.
    pub at: ClockTime,
}

const fn witnessed() -> TokenPool {
    TokenPool::Witnessed
}

impl BillingRecord {
    /// The record of a charge that the holder of a slot has just made.
    #[must_use]
    pub fn of_notice(slot: &SlotId, notice: ChargeNotice, at: ClockTime) -> Self {
        Self {
            identity: notice.identity,
            attempt: notice.charge.attempt,
            budget: notice.charge.budget,
            slot: slot.clone(),
            tenure: notice.tenure,
            charged: notice.charge.charged,
            backend: notice.charge.backend,
            counted: notice.counted,
            pool: notice.charge.pool,
            at,
        }
    }

    /// The records of all charges in the ledger of a previous holder. Its
    /// successor records them again when its own tenure starts.
    ///
    /// These records have no running total. The budget's row includes them as
    /// soon as it has a grant of the new tenure, because opening that grant
    /// closes the previous one.
    pub fn of_ledger<'a>(
        slot: &'a SlotId,
        ledger: &'a SlotLedger,
        at: ClockTime,
    ) -> impl Iterator<Item = Self> + 'a {
        ledger.charges().map(move |(identity, charge)| {
            let notice = ChargeNotice {
                identity: identity.clone(),
                charge: charge.clone(),
                tenure: ledger.tenure,
                counted: TokenCount::ZERO,
            };
            Self::of_notice(slot, notice, at)
        })
    }

    /// Whether both records describe the same charge.
    ///
    /// The tenure is not compared. A slot charges an attempt at most once, but
    /// after a takeover the new holder records the charges of its predecessor
    /// again.
    #[must_use]
    pub fn is_same_charge(&self, other: &Self) -> bool {
        self.identity == other.identity && self.attempt == other.attempt && self.slot == other.slot
    }
}
