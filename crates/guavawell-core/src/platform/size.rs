//! Estimates the number of routers that share the platform.

use super::rate::PlatformRate;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

const MILLI: u64 = 1_000;

/// How the estimate follows the observed numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SizePolicy {
    /// Minimum estimate after a start.
    pub initial_estimate: u32,
    /// Time after a start within which gossip makes the other routers known.
    pub estimate_time: ClockSpan,
    /// Time in which the estimate falls to about a third if the platform's list
    /// shows fewer routers.
    pub shrink_time: ClockSpan,
    /// The same time while the platform's list cannot be read.
    pub shrink_time_unlisted: ClockSpan,
}

impl Default for SizePolicy {
    fn default() -> Self {
        Self {
            initial_estimate: 16,
            estimate_time: ClockSpan::from_millis(10_000),
            shrink_time: ClockSpan::from_millis(300_000),
            shrink_time_unlisted: ClockSpan::from_millis(3_600_000),
        }
    }
}

/// Observed numbers of routers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SizeInputs {
    /// Live routers according to gossip, including this one.
    pub live: u32,
    /// Routers in the platform's list, if it was read recently.
    pub listed: Option<u32>,
}

/// The estimated number of routers, from which shares are computed.
///
/// It grows at once and falls slowly, so a zone that is partitioned from the others
/// does not take over their shares. A router that can write to the platform can
/// also read its list, which still includes the routers behind the partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    policy: SizePolicy,
    milli_routers: u64,
    started_at: ClockTime,
    is_estimate: bool,
    updated_at: ClockTime,
}

impl FleetSize {
    /// Starts with the initial estimate.
    #[must_use]
    pub const fn new(policy: SizePolicy, now: ClockTime) -> Self {
        Self {
            policy,
            milli_routers: policy.initial_estimate as u64 * MILLI,
            started_at: now,
            is_estimate: true,
            updated_at: now,
        }
    }

    /// Updates the estimate from observed numbers.
    pub fn observe(&mut self, inputs: SizeInputs, now: ClockTime) {
        let observed = inputs.live.max(inputs.listed.unwrap_or(0)).max(1);
        let observed = u64::from(observed) * MILLI;
        let elapsed = now.since(self.updated_at).as_millis();
        self.updated_at = self.updated_at.max(now);
        if self.is_estimate {
            self.replace_estimate(inputs, observed, now);
            return;
        }
        let span = match inputs.listed {
            Some(_) => self.policy.shrink_time,
            None => self.policy.shrink_time_unlisted,
        };
        let decrease = self.milli_routers.saturating_mul(elapsed) / span.as_millis().max(1);
        self.milli_routers = self.milli_routers.saturating_sub(decrease).max(observed);
    }

    /// Replaces the initial estimate by the observed number at the first list
    /// after `estimate_time`.
    fn replace_estimate(&mut self, inputs: SizeInputs, observed: u64, now: ClockTime) {
        let is_due = now.since(self.started_at) >= self.policy.estimate_time;
        if is_due && inputs.listed.is_some() {
            self.is_estimate = false;
            self.milli_routers = observed;
        } else {
            self.milli_routers = self.milli_routers.max(observed);
        }
    }

    /// The part of `rate` that belongs to `routers` routers of the fleet.
    #[must_use]
    pub fn share_of(&self, rate: PlatformRate, routers: u32) -> PlatformRate {
        let routers = (u64::from(routers) * MILLI).min(self.milli_routers);
        rate.fraction(routers, self.milli_routers)
    }

    /// The estimated number of routers, rounded up.
    #[must_use]
    pub const fn routers(&self) -> u64 {
        self.milli_routers.div_ceil(MILLI)
    }
}
