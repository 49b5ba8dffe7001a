//! Computes one router's share of the operations that the platform allows the whole
//! fleet.
//!
//! By default, half of this budget is divided equally: each router's floor. The
//! other half is divided among the zones by their number of routers. Within a zone
//! it goes to the routers that announced a demand above their floor.

use super::bucket::SharePolicy;
use super::fair_share::fair_share;
use super::rate::PlatformRate;
use super::size::FleetSize;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

const PERCENT: u64 = 100;

/// How the budget is divided among routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharingPolicy {
    /// Percentage of the budget that is divided equally.
    pub floor_percent: u8,
    /// Time in which an announced demand reaches all routers of the zone and
    /// changes their shares. A router does not use a higher demand before that,
    /// since the shares could then exceed the budget.
    pub propagation_time: ClockSpan,
    /// The smallest demand that is announced. Demands are rounded up to this
    /// times a power of two, so that few changes have to be announced.
    pub min_demand: PlatformRate,
    /// Time for which a higher demand stays announced after it has fallen.
    pub hold_time: ClockSpan,
    /// Time after which an unchanged demand is announced again.
    pub renew_interval: ClockSpan,
    /// Length of the share's burst, in seconds of its rate.
    pub burst_seconds: u32,
    /// Minimum burst in operations, however small the share.
    pub min_burst: u32,
}

impl Default for SharingPolicy {
    fn default() -> Self {
        Self {
            floor_percent: 50,
            propagation_time: ClockSpan::from_millis(3_000),
            min_demand: PlatformRate::from_milli(500),
            hold_time: ClockSpan::from_millis(40_000),
            renew_interval: ClockSpan::from_millis(25_000),
            burst_seconds: 2,
            min_burst: 4,
        }
    }
}

/// What a share is computed from.
#[derive(Clone, Copy, Debug)]
pub struct ShareInputs<'s> {
    /// The number of routers that share the platform.
    pub size: FleetSize,
    /// Number of live routers in this router's zone, including itself.
    pub zone_live: u32,
    /// Demands announced by the other live routers of the zone.
    pub others: &'s [PlatformRate],
    /// This router's demand.
    pub demand: PlatformRate,
}

/// A demand that was announced at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Announcement {
    at: ClockTime,
    demand: PlatformRate,
}

/// A computed share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareDecision {
    /// The share.
    pub policy: SharePolicy,
    /// Demand above the floor that is to be announced to the zone now.
    pub announce: Option<PlatformRate>,
}

/// Computes one router's share of the writes or of the reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetShare {
    policy: SharingPolicy,
    budget: PlatformRate,
    /// The last announcement older than the propagation time, and those since.
    announcements: Vec<Announcement>,
    announced_at: ClockTime,
}

impl FleetShare {
    /// Starts without an announced demand.
    #[must_use]
    pub fn new(policy: SharingPolicy, budget: PlatformRate, now: ClockTime) -> Self {
        let none = Announcement {
            at: now,
            demand: PlatformRate::ZERO,
        };
        Self {
            policy,
            budget,
            announcements: vec![none],
            announced_at: now,
        }
    }

    /// Computes the share again.
    pub fn update(&mut self, inputs: &ShareInputs<'_>, now: ClockTime) -> ShareDecision {
        let floors = self
            .budget
            .fraction(u64::from(self.policy.floor_percent), PERCENT);
        let floor = inputs.size.share_of(floors, 1);
        let pool = inputs
            .size
            .share_of(self.budget.saturating_sub(floors), inputs.zone_live.max(1));
        let announce = self.announce(inputs.demand.saturating_sub(floor), now);
        let own = self.min_known_demand(now);
        let rate = floor.saturating_add(fair_share(pool, own, inputs.others));
        ShareDecision {
            policy: self.with_burst(rate),
            announce,
        }
    }

    /// The policy for a share of `rate`, with its burst.
    #[must_use]
    pub fn with_burst(&self, rate: PlatformRate) -> SharePolicy {
        let saved = rate.fraction(u64::from(self.policy.burst_seconds), 1_000);
        let saved = u32::try_from(saved.as_milli()).unwrap_or(u32::MAX);
        SharePolicy {
            rate,
            burst: saved.max(self.policy.min_burst),
        }
    }

    /// Returns a demand to announce if it has changed or is due for renewal. A
    /// lower demand is announced only below half of the last one.
    fn announce(&mut self, demand: PlatformRate, now: ClockTime) -> Option<PlatformRate> {
        let demand = self.round_up(demand);
        let (last, changed) = self.last();
        let is_higher = demand > last;
        let is_on_hold = now.since(changed) < self.policy.hold_time;
        let is_lower = demand < last.fraction(1, 2) && !is_on_hold;
        if is_higher || is_lower {
            self.announcements.push(Announcement { at: now, demand });
        } else if now.since(self.announced_at) < self.policy.renew_interval
            || last == PlatformRate::ZERO
        {
            return None;
        }
        self.announced_at = now;
        Some(self.last().0)
    }

    fn round_up(&self, demand: PlatformRate) -> PlatformRate {
        let min_demand = self.policy.min_demand.as_milli().max(1);
        if demand.as_milli() < min_demand {
            return PlatformRate::ZERO;
        }
        let multiple = demand.as_milli().div_ceil(min_demand).next_power_of_two();
        PlatformRate::from_milli(min_demand.saturating_mul(multiple))
    }

    /// The last announced demand, and when it changed.
    fn last(&self) -> (PlatformRate, ClockTime) {
        let last = self.announcements.last();
        last.map_or_else(Default::default, |last| (last.demand, last.at))
    }

    /// The smallest demand of this router that any router of the zone may know.
    fn min_known_demand(&mut self, now: ClockTime) -> PlatformRate {
        let propagation_time = self.policy.propagation_time;
        let is_known = |announcement: &Announcement| now.since(announcement.at) >= propagation_time;
        let old = self
            .announcements
            .iter()
            .filter(|one| is_known(one))
            .count();
        self.announcements.drain(..old.saturating_sub(1));
        let demands = self.announcements.iter().map(|one| one.demand);
        demands.min().unwrap_or(PlatformRate::ZERO)
    }
}
