//! The budget row of one organisation.

use serde::Deserialize;
use serde::Serialize;

use crate::id::InstanceId;

/// What one boot of an instance holds of a budget. Counts are tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderEntry {
    /// The instance.
    pub instance: InstanceId,
    /// The number of the boot.
    pub boot: u64,
    /// Granted to this boot since it started, including what it has spent.
    pub grant: u64,
    /// Part of the grant that was reserved or spent when the entry was written.
    pub used: u64,
    /// Part of `used` that was spent; the rest is reserved.
    pub settled: u64,
    /// Tokens per second that callers request from this instance.
    pub rate: u64,
    /// Tokens that requests lack beyond the grant.
    pub wanted: u64,
}

/// The budget of one organisation.
///
/// `closed` plus all grants never exceeds `paid`, unless the operator lowers
/// `paid`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetRow {
    /// Tokens paid for in total.
    pub paid: u64,
    /// The configuration version that `paid` comes from.
    pub paid_version: u64,
    /// The most that ended boots can have spent.
    pub closed: u64,
    /// Part of `closed` that is known to be spent.
    pub settled: u64,
    /// Grants of boots that are not closed, sorted by instance and boot.
    pub holders: Vec<HolderEntry>,
}

impl BudgetRow {
    /// The entry of a boot.
    #[must_use]
    pub fn holder(&self, instance: &InstanceId, boot: u64) -> Option<&HolderEntry> {
        let index = self.position(instance, boot);
        self.holders.get(index.ok()?)
    }

    /// Inserts or replaces the entry of a boot.
    pub fn upsert(&mut self, entry: HolderEntry) {
        match self.position(&entry.instance, entry.boot) {
            Ok(index) => self.holders[index] = entry,
            Err(index) => self.holders.insert(index, entry),
        }
    }

    /// Removes the entry of an ended boot that spent between `min_spent` and
    /// `max_spent` tokens. The rest of its grant becomes available.
    pub fn close(&mut self, instance: &InstanceId, boot: u64, max_spent: u64, min_spent: u64) {
        if let Ok(index) = self.position(instance, boot) {
            let entry = self.holders.remove(index);
            self.closed += max_spent.min(entry.grant);
            self.settled += min_spent.max(entry.settled);
        }
    }

    /// Tokens charged for ended boots or granted to running ones.
    #[must_use]
    pub fn committed(&self) -> u64 {
        let granted: u64 = self.holders.iter().map(|entry| entry.grant).sum();
        self.closed + granted
    }

    /// Tokens granted to boots other than this one.
    #[must_use]
    pub fn granted_elsewhere(&self, instance: &InstanceId, boot: u64) -> u64 {
        let own = self.holder(instance, boot).map_or(0, |entry| entry.grant);
        self.committed() - self.closed - own
    }

    fn position(&self, instance: &InstanceId, boot: u64) -> Result<usize, usize> {
        self.holders
            .binary_search_by(|entry| (&entry.instance, entry.boot).cmp(&(instance, boot)))
    }
}
