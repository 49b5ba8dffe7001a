//! What is left of a share after the platform pushed back.

use super::rate::PlatformRate;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

const FULL_PERMILLE: u64 = 1_000;

/// How a share gives way to an overloaded platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ThrottlePolicy {
    /// Overload answers within this span count as one.
    pub min_halving_interval: ClockSpan,
    /// Time in which a share recovers from nothing to its whole.
    pub recovery_time: ClockSpan,
    /// The part never given up, in thousandths: somebody has to find out that
    /// the platform is back.
    pub min_permille: u64,
    /// The part that a share begins with after an outage, in thousandths.
    pub permille_after_outage: u64,
}

impl Default for ThrottlePolicy {
    fn default() -> Self {
        Self {
            min_halving_interval: ClockSpan::from_millis(1_000),
            recovery_time: ClockSpan::from_millis(20_000),
            min_permille: 50,
            permille_after_outage: 250,
        }
    }
}

/// The part of a share in use: halved on overload, given back evenly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareThrottle {
    policy: ThrottlePolicy,
    permille: u64,
    updated_at: ClockTime,
    last_halved: Option<ClockTime>,
}

impl ShareThrottle {
    /// The whole share.
    #[must_use]
    pub const fn new(policy: ThrottlePolicy, now: ClockTime) -> Self {
        Self {
            policy,
            permille: FULL_PERMILLE,
            updated_at: now,
            last_halved: None,
        }
    }

    /// The platform said that it has too much to do.
    pub fn overloaded(&mut self, now: ClockTime) {
        let interval = self.policy.min_halving_interval;
        if self
            .last_halved
            .is_some_and(|last_halved| now.since(last_halved) < interval)
        {
            return;
        }
        let permille = self.permille(now) / 2;
        self.last_halved = Some(now);
        self.set_permille(permille.max(self.policy.min_permille), now);
    }

    /// The platform answers again after an outage: everybody has work for it.
    pub fn resumed(&mut self, now: ClockTime) {
        let permille = self.permille(now).min(self.policy.permille_after_outage);
        self.set_permille(permille, now);
    }

    /// The part in use, in thousandths.
    #[must_use]
    pub fn permille(&self, now: ClockTime) -> u64 {
        let elapsed = now.since(self.updated_at).as_millis();
        let recovery = self.policy.recovery_time.as_millis().max(1);
        let gained = elapsed.saturating_mul(FULL_PERMILLE) / recovery;
        self.permille.saturating_add(gained).min(FULL_PERMILLE)
    }

    /// What is left of `rate`.
    #[must_use]
    pub fn apply(&self, rate: PlatformRate, now: ClockTime) -> PlatformRate {
        rate.fraction(self.permille(now), FULL_PERMILLE)
    }

    fn set_permille(&mut self, permille: u64, now: ClockTime) {
        self.permille = permille;
        self.updated_at = now;
    }
}
