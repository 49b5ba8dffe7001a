//! What is left of a share after the platform pushed back.

use super::rate::PlatformRate;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

const WHOLE: u64 = 1_000;

/// How a share gives way to an overloaded platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PushBackPolicy {
    /// Overload answers within this span count as one.
    pub halve_every: ClockSpan,
    /// Time in which a share recovers from nothing to its whole.
    pub recovery: ClockSpan,
    /// The part never given up, in thousandths: somebody has to find out that
    /// the platform is back.
    pub least: u64,
    /// The part that a share begins with after an outage, in thousandths.
    pub after_outage: u64,
}

impl Default for PushBackPolicy {
    fn default() -> Self {
        Self {
            halve_every: ClockSpan::from_millis(1_000),
            recovery: ClockSpan::from_millis(20_000),
            least: 50,
            after_outage: 250,
        }
    }
}

/// The part of a share in use: halved on overload, given back evenly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PushBack {
    policy: PushBackPolicy,
    part: u64,
    changed: ClockTime,
    halved: Option<ClockTime>,
}

impl PushBack {
    /// The whole share.
    #[must_use]
    pub const fn new(policy: PushBackPolicy, now: ClockTime) -> Self {
        Self {
            policy,
            part: WHOLE,
            changed: now,
            halved: None,
        }
    }

    /// The platform said that it has too much to do.
    pub fn overloaded(&mut self, now: ClockTime) {
        let every = self.policy.halve_every;
        if self.halved.is_some_and(|halved| now.since(halved) < every) {
            return;
        }
        let part = self.part(now) / 2;
        self.halved = Some(now);
        self.set(part.max(self.policy.least), now);
    }

    /// The platform answers again after an outage: everybody has work for it.
    pub fn resumed(&mut self, now: ClockTime) {
        let part = self.part(now).min(self.policy.after_outage);
        self.set(part, now);
    }

    /// The part in use, in thousandths.
    #[must_use]
    pub fn part(&self, now: ClockTime) -> u64 {
        let passed = now.since(self.changed).as_millis();
        let recovery = self.policy.recovery.as_millis().max(1);
        let gained = passed.saturating_mul(WHOLE) / recovery;
        self.part.saturating_add(gained).min(WHOLE)
    }

    /// What is left of `rate`.
    #[must_use]
    pub fn apply(&self, rate: PlatformRate, now: ClockTime) -> PlatformRate {
        rate.part(self.part(now), WHOLE)
    }

    fn set(&mut self, part: u64, now: ClockTime) {
        self.part = part;
        self.changed = now;
    }
}
