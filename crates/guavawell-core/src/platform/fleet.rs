//! A router's share of what the platform carries for the whole fleet.
//!
//! Half of the budget is divided alike: everybody's floor. The other half is
//! lent within each zone, which has as much of it as it has of the routers, to
//! those that announced demand beyond their floor.

use super::bucket::SharePolicy;
use super::loan::borrowed;
use super::rate::PlatformRate;
use super::size::FleetSize;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

const PERCENT: u64 = 100;

/// How the budget is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharingPolicy {
    /// The part of the budget that is divided alike, in percent.
    pub floor_percent: u8,
    /// Time in which an announcement reaches the zone and is reckoned with
    /// there: nothing is borrowed on a demand that others may not know yet.
    pub spread: ClockSpan,
    /// The least demand announced. Demands are rounded up to this, doubled any
    /// number of times, so that few changes have to be told.
    pub least: PlatformRate,
    /// Time for which a demand that fell is announced as it was.
    pub hold: ClockSpan,
    /// Time after which an unchanged demand is announced again.
    pub renew: ClockSpan,
    /// Seconds of the share that may be saved up.
    pub burst_seconds: u32,
    /// Operations that may be saved up at least, however small the share.
    pub least_burst: u32,
}

impl Default for SharingPolicy {
    fn default() -> Self {
        Self {
            floor_percent: 50,
            spread: ClockSpan::from_millis(3_000),
            least: PlatformRate::from_milli(500),
            hold: ClockSpan::from_millis(40_000),
            renew: ClockSpan::from_millis(25_000),
            burst_seconds: 2,
            least_burst: 4,
        }
    }
}

/// What is known when a share is reckoned.
#[derive(Clone, Copy, Debug)]
pub struct ShareSigns<'s> {
    /// How many routers share the platform.
    pub size: FleetSize,
    /// Live routers of the own zone, with this one.
    pub zone_live: u32,
    /// What live routers of the zone announced, without this one.
    pub others: &'s [PlatformRate],
    /// What this router could use.
    pub demand: PlatformRate,
}

/// One demand that was announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Announcement {
    at: ClockTime,
    demand: PlatformRate,
}

/// A share as it was reckoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareDecision {
    /// The share.
    pub policy: SharePolicy,
    /// Demand beyond the floor that the zone should hear of now.
    pub announce: Option<PlatformRate>,
}

/// Reckons one router's share of the writes or of the reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetShare {
    policy: SharingPolicy,
    budget: PlatformRate,
    /// The last announcement older than the spread, and those since.
    announced: Vec<Announcement>,
    renewed: ClockTime,
}

impl FleetShare {
    /// Nothing announced yet.
    #[must_use]
    pub fn new(policy: SharingPolicy, budget: PlatformRate, now: ClockTime) -> Self {
        let none = Announcement {
            at: now,
            demand: PlatformRate::ZERO,
        };
        Self {
            policy,
            budget,
            announced: vec![none],
            renewed: now,
        }
    }

    /// Reckons the share anew.
    pub fn review(&mut self, signs: &ShareSigns<'_>, now: ClockTime) -> ShareDecision {
        let floors = self
            .budget
            .part(u64::from(self.policy.floor_percent), PERCENT);
        let floor = signs.size.part(floors, 1);
        let pool = signs
            .size
            .part(self.budget.beyond(floors), signs.zone_live.max(1));
        let announce = self.announce(signs.demand.beyond(floor), now);
        let own = self.heard(now);
        let rate = floor.plus(borrowed(pool, own, signs.others));
        ShareDecision {
            policy: self.paced(rate),
            announce,
        }
    }

    /// A share of `rate`, with what may be saved up of it.
    #[must_use]
    pub fn paced(&self, rate: PlatformRate) -> SharePolicy {
        let saved = rate.part(u64::from(self.policy.burst_seconds), 1_000);
        let saved = u32::try_from(saved.as_milli()).unwrap_or(u32::MAX);
        SharePolicy {
            rate,
            burst: saved.max(self.policy.least_burst),
        }
    }

    /// Announces a demand that changed much, or that has to be renewed.
    fn announce(&mut self, demand: PlatformRate, now: ClockTime) -> Option<PlatformRate> {
        let demand = self.rounded(demand);
        let (last, changed) = self.last();
        let rises = demand > last;
        let is_held = now.since(changed) < self.policy.hold;
        let falls = demand < last.part(1, 2) && !is_held;
        if rises || falls {
            self.announced.push(Announcement { at: now, demand });
        } else if now.since(self.renewed) < self.policy.renew || last == PlatformRate::ZERO {
            return None;
        }
        self.renewed = now;
        Some(self.last().0)
    }

    fn rounded(&self, demand: PlatformRate) -> PlatformRate {
        let least = self.policy.least.as_milli().max(1);
        if demand.as_milli() < least {
            return PlatformRate::ZERO;
        }
        let times = demand.as_milli().div_ceil(least).next_power_of_two();
        PlatformRate::from_milli(least.saturating_mul(times))
    }

    /// The demand announced last, and when it changed.
    fn last(&self) -> (PlatformRate, ClockTime) {
        let last = self.announced.last();
        last.map_or_else(Default::default, |last| (last.demand, last.at))
    }

    /// The least demand that any router of the zone may reckon with.
    fn heard(&mut self, now: ClockTime) -> PlatformRate {
        let spread = self.policy.spread;
        let is_old = |announcement: &Announcement| now.since(announcement.at) >= spread;
        let old = self.announced.iter().filter(|one| is_old(one)).count();
        self.announced.drain(..old.saturating_sub(1));
        let demands = self.announced.iter().map(|one| one.demand);
        demands.min().unwrap_or(PlatformRate::ZERO)
    }
}
