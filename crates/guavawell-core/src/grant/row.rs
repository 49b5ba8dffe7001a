//! The row of one organisation's budget.

use serde::Deserialize;
use serde::Serialize;

use crate::id::InstanceId;

/// What one boot of an instance holds of a budget. Counts are tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderEntry {
    /// The instance.
    pub instance: InstanceId,
    /// The number of its boot.
    pub boot: u64,
    /// Granted to this boot since it began, spent ones included.
    pub grant: u64,
    /// Of these, reserved or spent when the entry was written.
    pub used: u64,
    /// Of these, spent for good when the entry was written.
    pub settled: u64,
    /// Tokens a second that callers asked this instance for.
    pub rate: u64,
    /// Tokens that requests wait for beyond the grant.
    pub wanted: u64,
}

/// A budget: `closed` plus all grants never exceeds what was paid, unless the
/// operator lowers that.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetRow {
    /// Tokens paid for in all.
    pub paid: u64,
    /// The configuration version that said so.
    pub paid_version: u64,
    /// Spent at most by boots that have ended.
    pub closed: u64,
    /// Of these, surely spent.
    pub settled: u64,
    /// What living boots hold, sorted by instance and boot.
    pub holders: Vec<HolderEntry>,
}

impl BudgetRow {
    /// The entry of a boot.
    #[must_use]
    pub fn holder(&self, instance: &InstanceId, boot: u64) -> Option<&HolderEntry> {
        let place = self.place(instance, boot);
        self.holders.get(place.ok()?)
    }

    /// Inserts or replaces the entry of a boot.
    pub fn put(&mut self, entry: HolderEntry) {
        match self.place(&entry.instance, entry.boot) {
            Ok(place) => self.holders[place] = entry,
            Err(place) => self.holders.insert(place, entry),
        }
    }

    /// Ends a boot that spent at most `most` and at least `least`; the rest of
    /// its grant is free.
    pub fn close(&mut self, instance: &InstanceId, boot: u64, most: u64, least: u64) {
        if let Ok(place) = self.place(instance, boot) {
            let entry = self.holders.remove(place);
            self.closed += most.min(entry.grant);
            self.settled += least.max(entry.settled);
        }
    }

    /// Tokens spent by ended boots or granted to living ones.
    #[must_use]
    pub fn committed(&self) -> u64 {
        let granted: u64 = self.holders.iter().map(|entry| entry.grant).sum();
        self.closed + granted
    }

    /// Tokens granted to others than this boot.
    #[must_use]
    pub fn held_elsewhere(&self, instance: &InstanceId, boot: u64) -> u64 {
        let own = self.holder(instance, boot).map_or(0, |entry| entry.grant);
        self.committed() - self.closed - own
    }

    fn place(&self, instance: &InstanceId, boot: u64) -> Result<usize, usize> {
        self.holders
            .binary_search_by(|entry| (&entry.instance, entry.boot).cmp(&(instance, boot)))
    }
}
