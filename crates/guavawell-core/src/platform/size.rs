//! How many routers share the platform.

use super::rate::PlatformRate;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

const MILLI: u64 = 1_000;

/// How the assumed number of routers follows what is heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SizePolicy {
    /// Routers assumed at least after a start.
    pub initial_estimate: u32,
    /// Time after a start in which the others are heard of.
    pub estimate_time: ClockSpan,
    /// Time in which the number falls to about a third, if the platform's
    /// list agrees with fewer.
    pub shrink_time: ClockSpan,
    /// The same while the platform's list cannot be read.
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

/// What a router knows of the number of routers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SizeInputs {
    /// Routers that gossip says are alive, with this one.
    pub live: u32,
    /// Routers that the platform lists, if it was read lately.
    pub listed: Option<u32>,
}

/// The number of routers that shares are reckoned by.
///
/// It grows at once and falls slowly: a zone that is parted from the others
/// still leaves them theirs. Whoever reaches the platform to write can read
/// its list as well, and sees the others there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    policy: SizePolicy,
    milli_routers: u64,
    started_at: ClockTime,
    is_estimate: bool,
    updated_at: ClockTime,
}

impl FleetSize {
    /// The first guess.
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

    /// Takes in what is heard now.
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

    /// The first list that comes once the others had time to be heard of
    /// replaces the guess.
    fn replace_estimate(&mut self, inputs: SizeInputs, observed: u64, now: ClockTime) {
        let is_due = now.since(self.started_at) >= self.policy.estimate_time;
        if is_due && inputs.listed.is_some() {
            self.is_estimate = false;
            self.milli_routers = observed;
        } else {
            self.milli_routers = self.milli_routers.max(observed);
        }
    }

    /// The part of `rate` that `routers` of the fleet have.
    #[must_use]
    pub fn share_of(&self, rate: PlatformRate, routers: u32) -> PlatformRate {
        let routers = (u64::from(routers) * MILLI).min(self.milli_routers);
        rate.fraction(routers, self.milli_routers)
    }

    /// Routers, rounded up.
    #[must_use]
    pub const fn routers(&self) -> u64 {
        self.milli_routers.div_ceil(MILLI)
    }
}
