//! The paid sum: the manifest's base and the operators' top-ups.

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

/// Top-ups that a row remembers; each counts once, so none is forgotten.
pub const MAX_TOP_UPS: usize = 256;

/// An operator's id of one top-up; the same id counts once.
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
    /// Adds a top-up once.
    ///
    /// # Errors
    ///
    /// [`RowError::Overflow`] or [`RowError::TooManyTopUps`].
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

    /// Sets the base sum that a manifest names; top-ups stay on top of it.
    ///
    /// What is settled, granted or frozen stays paid; a lowered sum comes
    /// into force as tokens come back.
    ///
    /// # Errors
    ///
    /// [`RowError::OlderVersion`] if the row has a newer manifest's sum.
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

    /// Raises the sum at once, and lowers it as far as tokens came back.
    pub(super) fn update_paid(&mut self) {
        self.paid = self.target().max(self.committed());
    }
}
