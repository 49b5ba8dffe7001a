//! The paid sum of a budget: the manifest's base plus operators' top-ups.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use super::BudgetRow;
use super::RowChange;
use super::RowError;
use crate::id::IdError;
use crate::id::ManifestVersion;
use crate::id::RequestId;
use crate::id::TokenCount;

/// The maximum number of top-ups of one budget. The row keeps the id of each
/// forever, so that a repeated top-up is never added twice.
pub const MAX_TOP_UPS: usize = 256;

/// The id that an operator gives to a top-up; a second top-up with the same id
/// is ignored.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TopUpId(RequestId);

impl fmt::Display for TopUpId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for TopUpId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        text.parse().map(Self)
    }
}

impl BudgetRow {
    /// Adds a top-up, unless one with this id was added before.
    ///
    /// # Errors
    ///
    /// [`RowError::TooManyTopUps`] if the row already has [`MAX_TOP_UPS`],
    /// [`RowError::Overflow`] if the sum exceeds the largest token count.
    pub fn top_up(&self, id: &TopUpId, tokens: TokenCount) -> Result<RowChange, RowError> {
        let Err(index) = self.top_ups.binary_search(id) else {
            return Ok(RowChange::Applied);
        };
        if self.top_ups.len() >= MAX_TOP_UPS {
            return Err(RowError::TooManyTopUps);
        }
        let mut row = self.clone();
        row.top_ups.insert(index, id.clone());
        row.topped_up = row
            .topped_up
            .checked_add(tokens)
            .ok_or(RowError::Overflow)?;
        row.update_paid();
        Ok(RowChange::Write(row))
    }

    /// Sets the base sum that a manifest states; top-ups are added to it.
    ///
    /// The paid sum never falls below the settled, granted and frozen tokens. A
    /// lower base takes full effect once enough granted or frozen tokens have
    /// been returned.
    ///
    /// # Errors
    ///
    /// [`RowError::OlderVersion`] if the base comes from a newer manifest.
    pub fn set_base(
        &self,
        version: ManifestVersion,
        base: TokenCount,
    ) -> Result<RowChange, RowError> {
        if version == self.version {
            return Ok(RowChange::Applied);
        }
        if version < self.version {
            return Err(RowError::OlderVersion);
        }
        let mut row = self.clone();
        row.version = version;
        row.base = base;
        row.update_paid();
        Ok(RowChange::Write(row))
    }

    /// Recomputes the paid sum: the target, or the committed tokens while they
    /// exceed it.
    pub(super) fn update_paid(&mut self) {
        self.paid = self.target().max(self.committed());
    }
}
