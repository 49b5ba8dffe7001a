//! The budget row, stored in the table under `budget/{budget}`, and the changes
//! that can be made to it.
//!
//! Every change preserves `settled + open grants + frozen tokens <= paid`. A
//! change can be retried safely, because the row records which changes were
//! applied. [`BudgetRow::refund`] is the exception: its caller prevents repeats.

mod change;
mod frozen;
mod paid;
mod refund;

pub use change::FormerUse;
pub use change::GrantChange;
pub use frozen::FrozenReclaim;
pub use frozen::FrozenReport;
pub use paid::MAX_TOP_UPS;
pub use paid::TopUpId;
pub use refund::RefundCharge;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use super::intent::GrantView;
use super::intent::OtherGrant;
use super::slot::SlotId;
use crate::id::ManifestVersion;
use crate::id::OrganisationId;
use crate::id::SlotEpoch;
use crate::id::TokenCount;

/// The part of a budget that one slot may spend.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BudgetGrant {
    /// The slot.
    pub slot: SlotId,
    /// The tenure of the holder that may spend the grant.
    pub tenure: SlotEpoch,
    /// Tokens granted and not yet charged or returned in the row.
    pub open: TokenCount,
    /// Charges to the witnessed part in this tenure that are included in the
    /// row's `settled`.
    pub reported: TokenCount,
    /// Charges to the float in this tenure that are included in the row's
    /// `settled`.
    pub float_reported: TokenCount,
    /// The sequence number of the holder's last change that was applied.
    pub sequence: u64,
    /// The slot's recent use in tokens per minute, as reported by its holder.
    pub demand: TokenCount,
}

/// Tokens that may have been spent in an ended tenure. They can't be granted
/// until the former holder reports its use or an operator reclaims them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FrozenTokens {
    /// The slot.
    pub slot: SlotId,
    /// The ended tenure.
    pub tenure: SlotEpoch,
    /// The number of frozen tokens, an upper bound of what the former holder
    /// spent without a record in the table.
    pub tokens: TokenCount,
    /// Whether all open tokens of the grant were frozen because no witness was
    /// left, rather than just the float.
    pub whole: bool,
    /// Charges to the witnessed part that the row included when the tokens were
    /// frozen.
    pub reported: TokenCount,
    /// Charges to the float that the row included when the tokens were frozen.
    pub float_reported: TokenCount,
}

/// The budget row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BudgetRow {
    /// The organisation that paid.
    pub organisation: OrganisationId,
    /// The number of tokens that the manifest states.
    pub base: TokenCount,
    /// The sum of all top-ups.
    pub topped_up: TokenCount,
    /// The sum in force: `base + topped_up`, or the committed tokens if a manifest
    /// lowered the base below them.
    pub paid: TokenCount,
    /// Tokens charged, without those refunded.
    pub settled: TokenCount,
    /// Tokens refunded because a request was charged twice; `settled` no longer
    /// includes them.
    #[serde(default)]
    pub refunded: TokenCount,
    /// Open grants, sorted by slot.
    pub grants: Vec<BudgetGrant>,
    /// Frozen tokens, sorted by slot and tenure.
    pub frozen: Vec<FrozenTokens>,
    /// Ids of the top-ups applied so far, sorted.
    pub top_ups: Vec<TopUpId>,
    /// The manifest version that set the base.
    pub version: ManifestVersion,
}

/// Why a row rejects a change. An immediate retry never helps;
/// [`Self::NotClosed`], [`Self::StillRunning`] and [`Self::NotReported`] can
/// succeed later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum RowError {
    /// The slot's grant already belongs to a later tenure.
    #[error("the slot's grant belongs to a later tenure")]
    LaterTenure,
    /// The change deducts more tokens than the grant has open, or than are settled.
    #[error("the change deducts more tokens than the grant has left")]
    GrantOverdrawn,
    /// The former holder's grant is still open; the new holder has to close it
    /// first.
    #[error("the former grant is not closed yet; retry after the new holder has closed it")]
    NotClosed,
    /// The whole grant is frozen and attempts that draw on it still run.
    #[error("attempts of the former holder are still running; report again once they end")]
    StillRunning,
    /// The sum exceeds the largest representable token count.
    #[error("the sum exceeds the largest token count")]
    Overflow,
    /// The row already stores the maximum number of top-ups.
    #[error(
        "the budget already has the maximum of {MAX_TOP_UPS} top-ups; raise the sum in the manifest"
    )]
    TooManyTopUps,
    /// The charge may not be in the row's settled tokens yet.
    #[error("the charge is not reported to the budget row yet; refund it later")]
    NotReported,
    /// The manifest's version is older than the row's.
    #[error("the manifest version is older than the one in the budget row")]
    OlderVersion,
}

/// The outcome of a change to a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowChange {
    /// Write this row.
    Write(BudgetRow),
    /// The change was applied before or changes nothing; no write is needed.
    Applied,
}

impl BudgetRow {
    /// Creates the row of a new budget that a manifest declares.
    #[must_use]
    pub const fn new(
        organisation: OrganisationId,
        paid: TokenCount,
        version: ManifestVersion,
    ) -> Self {
        Self {
            organisation,
            base: paid,
            topped_up: TokenCount::ZERO,
            paid,
            settled: TokenCount::ZERO,
            refunded: TokenCount::ZERO,
            grants: Vec::new(),
            frozen: Vec::new(),
            top_ups: Vec::new(),
            version,
        }
    }

    /// Tokens that are settled, granted or frozen, and so not available.
    #[must_use]
    pub fn committed(&self) -> TokenCount {
        let open: TokenCount = self.grants.iter().map(|grant| grant.open).sum();
        let frozen: TokenCount = self.frozen.iter().map(|frozen| frozen.tokens).sum();
        self.settled.saturating_add(open).saturating_add(frozen)
    }

    /// The sum that operators set: the manifest's base plus top-ups.
    #[must_use]
    pub const fn target(&self) -> TokenCount {
        self.base.saturating_add(self.topped_up)
    }

    /// Tokens that may still be granted.
    #[must_use]
    pub fn unspent(&self) -> TokenCount {
        self.target().saturating_sub(self.committed())
    }

    /// The grant of a slot, if it has one.
    #[must_use]
    pub fn grant(&self, slot: &SlotId) -> Option<&BudgetGrant> {
        let index = self.grant_index(slot).ok()?;
        Some(&self.grants[index])
    }

    /// The part of the row that the holder of `slot` works with.
    #[must_use]
    pub fn view(&self, slot: &SlotId) -> GrantView {
        let grant = self.grant(slot);
        let elsewhere = self
            .grants
            .iter()
            .filter(|other| other.slot != *slot && other.open > TokenCount::ZERO)
            .map(|other| OtherGrant {
                slot: other.slot.clone(),
                open: other.open,
            });
        GrantView {
            sequence: grant.map_or(0, |grant| grant.sequence),
            open: grant.map_or(TokenCount::ZERO, |grant| grant.open),
            reported: grant.map_or(TokenCount::ZERO, |grant| grant.reported),
            float_reported: grant.map_or(TokenCount::ZERO, |grant| grant.float_reported),
            unspent: self.unspent(),
            elsewhere: elsewhere.collect(),
        }
    }

    /// Whether `settled + open grants + frozen tokens <= paid` holds.
    #[must_use]
    pub fn is_balanced(&self) -> bool {
        self.committed() <= self.paid
    }

    fn grant_index(&self, slot: &SlotId) -> Result<usize, usize> {
        self.grants.binary_search_by(|grant| grant.slot.cmp(slot))
    }
}
