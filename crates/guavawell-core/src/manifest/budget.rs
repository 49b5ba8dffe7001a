//! The budgets of one organisation, laid out for lookups.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use super::BudgetEntry;
use crate::id::BudgetId;
use crate::id::TokenCount;

/// The budgets of one organisation, sorted by id.
///
/// All ids lie in one text, because a binary search that follows a pointer at
/// each probe misses the processor's caches at each probe (measured by the
/// example `manifest_cost`).
#[derive(Clone, Default, PartialEq, Eq)]
pub struct BudgetList {
    /// All ids, one after the other.
    ids: Box<str>,
    /// Where each id ends in `ids`.
    ends: Box<[u32]>,
    /// The paid tokens of each budget.
    paid: Box<[TokenCount]>,
}

/// One budget of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct StatedBudget<'l> {
    /// The budget's id.
    pub id: &'l str,
    /// The tokens paid for, top-ups by `guavawell-ctl` not counted.
    pub paid: TokenCount,
}

impl BudgetList {
    /// The number of budgets.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.ends.len()
    }

    /// Whether there is no budget.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// The budget of this id.
    #[must_use]
    pub fn get(&self, id: &BudgetId) -> Option<StatedBudget<'_>> {
        let (mut low, mut high) = (0, self.len());
        while low < high {
            let middle = low.midpoint(high);
            if self.id(middle) < id.as_str() {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        let found = low < self.len() && self.id(low) == id.as_str();
        found.then(|| self.at(low))
    }

    /// All budgets, sorted by id.
    pub fn iter(&self) -> impl Iterator<Item = StatedBudget<'_>> {
        (0..self.len()).map(|index| self.at(index))
    }

    fn at(&self, index: usize) -> StatedBudget<'_> {
        StatedBudget {
            id: self.id(index),
            paid: self.paid[index],
        }
    }

    fn id(&self, index: usize) -> &str {
        let start = index.checked_sub(1).map_or(0, |before| self.ends[before]);
        &self.ids[start as usize..self.ends[index] as usize]
    }
}

impl FromIterator<BudgetEntry> for BudgetList {
    fn from_iter<I: IntoIterator<Item = BudgetEntry>>(entries: I) -> Self {
        let mut entries: Vec<BudgetEntry> = entries.into_iter().collect();
        entries.sort_by(|a, b| a.id.cmp(&b.id));
        let mut ids = String::new();
        let mut ends = Vec::with_capacity(entries.len());
        for entry in &entries {
            ids.push_str(entry.id.as_str());
            // A page of 4 GiB would not be fetched.
            ends.push(u32::try_from(ids.len()).unwrap_or(u32::MAX));
        }
        Self {
            ids: ids.into(),
            ends: ends.into(),
            paid: entries.iter().map(|entry| entry.paid).collect(),
        }
    }
}

impl fmt::Debug for BudgetList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_list().entries(self.iter()).finish()
    }
}

impl Serialize for BudgetList {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.iter())
    }
}

impl<'de> Deserialize<'de> for BudgetList {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let entries = Vec::<BudgetEntry>::deserialize(deserializer)?;
        Ok(entries.into_iter().collect())
    }
}
