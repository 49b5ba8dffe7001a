//! Reduces a share when the platform is overloaded.

use super::rate::PlatformRate;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

const FULL_PERMILLE: u64 = 1_000;

/// How a share is reduced on overload and restored afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ThrottlePolicy {
    /// Overload responses within this time count as one.
    pub min_halving_interval: ClockSpan,
    /// Time in which a share recovers from zero to its full size.
    pub recovery_time: ClockSpan,
    /// Lower bound in thousandths of the share. Some requests must still be sent
    /// to detect that the platform has recovered.
    pub min_permille: u64,
    /// Thousandths of the share that are usable right after an outage.
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

/// The usable part of a share, which is halved on overload and then restored
/// linearly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareThrottle {
    policy: ThrottlePolicy,
    permille: u64,
    updated_at: ClockTime,
    last_halved: Option<ClockTime>,
}

impl ShareThrottle {
    /// Starts with the full share.
    #[must_use]
    pub const fn new(policy: ThrottlePolicy, now: ClockTime) -> Self {
        Self {
            policy,
            permille: FULL_PERMILLE,
            updated_at: now,
            last_halved: None,
        }
    }

    /// Records an overload response of the platform.
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

    /// Records the end of an outage. All routers have requests waiting then, so
    /// the share starts reduced.
    pub fn resumed(&mut self, now: ClockTime) {
        let permille = self.permille(now).min(self.policy.permille_after_outage);
        self.set_permille(permille, now);
    }

    /// The usable part of the share, in thousandths.
    #[must_use]
    pub fn permille(&self, now: ClockTime) -> u64 {
        let elapsed = now.since(self.updated_at).as_millis();
        let recovery = self.policy.recovery_time.as_millis().max(1);
        let gained = elapsed.saturating_mul(FULL_PERMILLE) / recovery;
        self.permille.saturating_add(gained).min(FULL_PERMILLE)
    }

    /// The usable part of `rate`.
    #[must_use]
    pub fn apply(&self, rate: PlatformRate, now: ClockTime) -> PlatformRate {
        rate.fraction(self.permille(now), FULL_PERMILLE)
    }

    fn set_permille(&mut self, permille: u64, now: ClockTime) {
        self.permille = permille;
        self.updated_at = now;
    }
}
