//! The table's row of a budget, under `budget/{budget}`, and every change
//! that may be made to it.
//!
//! In every transaction `settled + open grants + frozen tokens <= paid`.
//! Each change may be applied twice: the row knows what it holds already.

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
    /// The tenure of the holder that the grant is for.
    pub tenure: SlotEpoch,
    /// Tokens granted and not yet settled in the row.
    pub open: TokenCount,
    /// Witnessed charges of this tenure that the row's `settled` holds.
    pub reported: TokenCount,
    /// Float charges of this tenure that the row's `settled` holds.
    pub float_reported: TokenCount,
    /// The holder's last change that was applied.
    pub sequence: u64,
    /// The slot's recent use in tokens a minute, as its holder told.
    pub demand: TokenCount,
}

/// Tokens that nobody may grant until their former holder reports or an
/// operator's audited word ends them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FrozenTokens {
    /// The slot.
    pub slot: SlotId,
    /// The tenure that held them.
    pub tenure: SlotEpoch,
    /// The tokens: the most that the former holder may have spent of them.
    pub tokens: TokenCount,
    /// Whether a whole grant froze (no witness was left), not just a float.
    pub whole: bool,
    /// Witnessed charges that the row held when the tokens froze.
    pub reported: TokenCount,
    /// Float charges that the row held when the tokens froze.
    pub float_reported: TokenCount,
}

/// The table's row of a budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BudgetRow {
    /// The organisation that paid.
    pub organisation: OrganisationId,
    /// The sum that the manifest names.
    pub base: TokenCount,
    /// The sum of all top-ups.
    pub topped_up: TokenCount,
    /// The sum in force: base and top-ups, or what is committed where a
    /// manifest lowered the base below it.
    pub paid: TokenCount,
    /// Tokens charged for good.
    pub settled: TokenCount,
    /// Tokens of second charges that were given back; `settled` is without them.
    #[serde(default)]
    pub refunded: TokenCount,
    /// Open grants, sorted by slot.
    pub grants: Vec<BudgetGrant>,
    /// Frozen tokens, sorted by slot and tenure.
    pub frozen: Vec<FrozenTokens>,
    /// Top-ups applied so far, sorted.
    pub top_ups: Vec<TopUpId>,
    /// The manifest version that set the base.
    pub version: ManifestVersion,
}

/// Why a change does not fit a row. None of these is mended by a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum RowError {
    /// Another holder has the slot's grant.
    #[error("the slot's grant belongs to a later tenure")]
    LaterTenure,
    /// The change takes more from the grant than it holds.
    #[error("the change takes more from the grant than the grant holds")]
    GrantOverdrawn,
    /// The former holder's grant is still open; the new one has to close it.
    #[error("the former grant is not closed yet; report again after the new holder closed it")]
    NotClosed,
    /// A whole grant froze, and attempts that draw on it still run.
    #[error("attempts of the former holder still run; report again when they ended")]
    StillRunning,
    /// A sum passes the largest count.
    #[error("the sum passes the largest token count")]
    Overflow,
    /// The row remembers no more top-ups.
    #[error(
        "the row remembers {MAX_TOP_UPS} top-ups and takes no more; raise the sum in the manifest"
    )]
    TooManyTopUps,
    /// The charge may not be in the row's settled tokens yet.
    #[error("the charge is not reported to the row yet; give it back later")]
    NotReported,
    /// The manifest's version is older than the row's.
    #[error("an older manifest version than the row's")]
    OlderVersion,
}

/// A row after a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowChange {
    /// Write this row.
    Write(BudgetRow),
    /// The row holds the change already, or there is nothing to change: no
    /// write is needed.
    Applied,
}

impl BudgetRow {
    /// A new budget as a manifest names it.
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

    /// Tokens that are settled, granted or frozen.
    #[must_use]
    pub fn committed(&self) -> TokenCount {
        let open: TokenCount = self.grants.iter().map(|grant| grant.open).sum();
        let frozen: TokenCount = self.frozen.iter().map(|frozen| frozen.tokens).sum();
        self.settled.saturating_add(open).saturating_add(frozen)
    }

    /// The sum that operators want: the manifest's plus top-ups.
    #[must_use]
    pub const fn target(&self) -> TokenCount {
        self.base.saturating_add(self.topped_up)
    }

    /// Tokens that may still be granted.
    #[must_use]
    pub fn unspent(&self) -> TokenCount {
        self.target().saturating_sub(self.committed())
    }

    /// The grant of a slot.
    #[must_use]
    pub fn grant(&self, slot: &SlotId) -> Option<&BudgetGrant> {
        let index = self.grant_index(slot).ok()?;
        Some(&self.grants[index])
    }

    /// The row as the holder of one slot needs it.
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
