//! Which instances hold an organisation's tokens.
//!
//! Load pattern: a hundred instances start at one moment, each with requests of
//! all organisations. Were all of them to hold tokens of each, a row would have
//! a hundred writers, and each write that stands turns those of all others down;
//! what callers need would lie in a hundred small pieces.
//!
//! So in a large fleet a few instances of each availability zone hold tokens of
//! an organisation, ranked alike by all that know the same fleet. The others
//! ask them for each request. A zone that is cut off has holders of its own.
//! The ranking gives no right: whoever is asked in a holder's place becomes
//! one, and the rows of the store alone decide what may be spent.

use crate::clock::ClockSpan;
use crate::id::InstanceId;
use crate::id::OrganisationId;
use crate::id::ZoneId;
use crate::instance::owners;

/// How many instances hold tokens of an organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderSettings {
    /// Fleets of up to so many instances hold tokens everywhere: their rows are
    /// short, and no request depends on a second instance.
    pub everywhere: usize,
    /// Holders in each availability zone of a larger fleet.
    pub each_zone: usize,
    /// How long an instance that was asked in a holder's place stays one.
    pub stand_in: ClockSpan,
}

impl Default for HolderSettings {
    fn default() -> Self {
        Self {
            everywhere: 16,
            each_zone: 1,
            stand_in: ClockSpan::from_millis(6_000),
        }
    }
}

/// An instance of the fleet and where it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetMember {
    /// The instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
}

/// The fleet as one instance knows it.
#[derive(Clone, Debug, Default)]
pub struct HolderRanking {
    settings: HolderSettings,
    /// Sorted by instance.
    members: Vec<FleetMember>,
}

impl HolderRanking {
    /// A ranking that knows nobody yet.
    #[must_use]
    pub const fn new(settings: HolderSettings) -> Self {
        Self {
            settings,
            members: Vec::new(),
        }
    }

    /// The fleet's instances, this one included.
    pub fn set_members(&mut self, mut members: Vec<FleetMember>) {
        members.sort_by(|one, other| one.instance.cmp(&other.instance));
        self.members = members;
    }

    /// Whether every instance holds tokens of every organisation.
    #[must_use]
    pub fn is_everywhere(&self) -> bool {
        self.members.len() <= self.settings.everywhere
    }

    /// Holders of an organisation's tokens in the whole fleet, about.
    #[must_use]
    pub fn expected(&self) -> usize {
        let mut zones: Vec<&ZoneId> = self.members.iter().map(|member| &member.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.len() * self.settings.each_zone
    }

    /// Whether an instance holds tokens of an organisation.
    #[must_use]
    pub fn is_holder(&self, instance: &InstanceId, organisation: &OrganisationId) -> bool {
        if self.is_everywhere() {
            return true;
        }
        let Some(zone) = self.zone(instance) else {
            return false;
        };
        let first = self.ranked(zone, organisation);
        let mut holders = first.into_iter().take(self.settings.each_zone);
        holders.any(|holder| holder == instance)
    }

    /// The instances that `asker` asks for tokens, in this order: those of its
    /// own zone, then the best of each other zone.
    #[must_use]
    pub fn order(&self, asker: &InstanceId, organisation: &OrganisationId) -> Vec<InstanceId> {
        let own = self.zone(asker);
        let key = organisation.as_str().as_bytes();
        let all = owners(self.members.iter().map(|member| &member.instance), key);
        let (near, far): (Vec<_>, Vec<_>) = all
            .into_iter()
            .filter(|instance| *instance != asker)
            .partition(|instance| self.zone(instance) == own);
        let mut seen: Vec<&ZoneId> = Vec::new();
        let best = far.into_iter().filter(|instance| {
            let zone = self.zone(instance);
            let fresh = zone.is_some_and(|zone| !seen.contains(&zone));
            seen.extend(zone);
            fresh
        });
        near.into_iter().chain(best).cloned().collect()
    }

    fn ranked(&self, zone: &ZoneId, organisation: &OrganisationId) -> Vec<&InstanceId> {
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
