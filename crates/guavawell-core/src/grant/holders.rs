//! Selects the instances that hold an organisation's tokens.
//!
//! Load pattern: a hundred instances start at the same moment, each with
//! requests of all organisations. If all of them held tokens of each
//! organisation, a row would have a hundred writers, and each write that is
//! applied causes those of all others to be rejected. The tokens that callers
//! need would be split into a hundred small amounts.
//!
//! So in a large fleet a few instances in each availability zone hold an
//! organisation's tokens. Instances that know the same fleet select the same
//! holders. The others ask a holder for a loan for each request. An
//! availability zone that is cut off has holders of its own. Being selected
//! gives no right to spend: an instance that is asked in place of a holder
//! becomes a stand-in, which holds tokens for a while, and only the rows in the
//! store decide what may be spent.

use super::spread::split_by_zone;
use crate::clock::ClockSpan;
use crate::id::InstanceId;
use crate::id::OrganisationId;
use crate::id::ZoneId;
use crate::instance::owners;

/// How many instances hold an organisation's tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderSettings {
    /// Largest fleet in which every instance holds tokens of every
    /// organisation. Its rows are short, and no request depends on a second
    /// instance.
    pub all_hold_up_to: usize,
    /// Holders in each availability zone of a larger fleet.
    pub holders_per_zone: usize,
    /// How long an instance remains a stand-in after it was last asked.
    pub stand_in_time: ClockSpan,
}

impl Default for HolderSettings {
    fn default() -> Self {
        Self {
            all_hold_up_to: 16,
            holders_per_zone: 1,
            stand_in_time: ClockSpan::from_millis(6_000),
        }
    }
}

/// An instance of the fleet and its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetMember {
    /// The instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
}

/// Ranks the instances that one instance knows, for each organisation.
#[derive(Clone, Debug, Default)]
pub struct HolderRanking {
    settings: HolderSettings,
    /// Sorted by instance.
    members: Vec<FleetMember>,
}

impl HolderRanking {
    /// Creates a ranking without instances.
    #[must_use]
    pub const fn new(settings: HolderSettings) -> Self {
        Self {
            settings,
            members: Vec::new(),
        }
    }

    /// Sets the instances of the fleet, including this one.
    pub fn set_members(&mut self, mut members: Vec<FleetMember>) {
        members.sort_by(|one, other| one.instance.cmp(&other.instance));
        self.members = members;
    }

    /// Whether every instance holds tokens of every organisation.
    #[must_use]
    pub fn all_hold(&self) -> bool {
        self.members.len() <= self.settings.all_hold_up_to
    }

    /// Approximate number of holders of an organisation's tokens in the whole
    /// fleet.
    #[must_use]
    pub fn expected_holders(&self) -> usize {
        let mut zones: Vec<&ZoneId> = self.members.iter().map(|member| &member.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.len() * self.settings.holders_per_zone
    }

    /// Whether an instance is selected to hold tokens of an organisation.
    #[must_use]
    pub fn is_holder(&self, instance: &InstanceId, organisation: &OrganisationId) -> bool {
        if self.all_hold() {
            return true;
        }
        let Some(zone) = self.zone(instance) else {
            return false;
        };
        let first = self.ranked_in_zone(zone, organisation);
        let mut holders = first.into_iter().take(self.settings.holders_per_zone);
        holders.any(|holder| holder == instance)
    }

    /// The instances that `borrower` asks for loans, in this order: those of its
    /// own availability zone, then the first-ranked one of every other zone.
    #[must_use]
    pub fn order(&self, borrower: &InstanceId, organisation: &OrganisationId) -> Vec<InstanceId> {
        let own = self.zone(borrower);
        let key = organisation.as_str().as_bytes();
        let all = owners(self.members.iter().map(|member| &member.instance), key);
        let (same_zone, other_zones): (Vec<_>, Vec<_>) = all
            .into_iter()
            .filter(|instance| *instance != borrower)
            .partition(|instance| self.zone(instance) == own);
        let (first_of_zone, _) = split_by_zone(other_zones, |instance| self.zone(instance));
        same_zone
            .into_iter()
            .chain(first_of_zone)
            .cloned()
            .collect()
    }

    fn ranked_in_zone(&self, zone: &ZoneId, organisation: &OrganisationId) -> Vec<&InstanceId> {
        let members = self.members.iter().filter(|member| member.zone == *zone);
        let key = organisation.as_str().as_bytes();
        owners(members.map(|member| &member.instance), key)
    }

    fn zone(&self, instance: &InstanceId) -> Option<&ZoneId> {
        let found = self
            .members
            .binary_search_by(|member| member.instance.cmp(instance));
        Some(&self.members[found.ok()?].zone)
    }
}
