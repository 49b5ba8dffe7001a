//! A token bucket from which urgent operations may draw deeper than others.

use super::class::ShareUrgency;
use super::rate::PlatformRate;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Parts of one operation: a thousandth a second gains one in a millisecond.
const MICRO: u64 = 1_000_000;
const PERCENT: u64 = 100;

/// A router's share of the platform's writes or reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharePolicy {
    /// The rate.
    pub rate: PlatformRate,
    /// Operations that may follow each other at once after a pause.
    pub burst: u32,
}

/// Whether an operation may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareAnswer {
    /// It may; it was taken from the share.
    Granted,
    /// Not before this span has passed.
    Wait(ClockSpan),
}

/// The bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PaceBucket {
    policy: SharePolicy,
    micro: u64,
    filled: ClockTime,
}

impl PaceBucket {
    /// A full bucket.
    pub const fn new(policy: SharePolicy, now: ClockTime) -> Self {
        Self {
            policy,
            micro: policy.burst as u64 * MICRO,
            filled: now,
        }
    }

    /// Another pace; what was saved up beyond the new burst is lost.
    pub fn set_policy(&mut self, policy: SharePolicy, now: ClockTime) {
        self.fill(now);
        self.policy = policy;
        self.micro = self.micro.min(self.capacity());
    }

    /// Loses all that was saved up.
    pub fn empty(&mut self, now: ClockTime) {
        self.fill(now);
        self.micro = 0;
    }

    /// Takes one operation, if the bucket still has it for this urgency.
    pub fn take(&mut self, urgency: ShareUrgency, now: ClockTime) -> ShareAnswer {
        self.fill(now);
        let wanted = self.kept_from(urgency) + MICRO;
        if self.micro >= wanted {
            self.micro -= MICRO;
            return ShareAnswer::Granted;
        }
        let missing = wanted - self.micro;
        let gain = self.policy.rate.as_milli().max(1);
        ShareAnswer::Wait(ClockSpan::from_millis(missing.div_ceil(gain)))
    }

    fn fill(&mut self, now: ClockTime) {
        let millis = now.since(self.filled).as_millis();
        let gained = millis.saturating_mul(self.policy.rate.as_milli());
        self.micro = self.micro.saturating_add(gained).min(self.capacity());
        self.filled = self.filled.max(now);
    }

    const fn capacity(&self) -> u64 {
        self.policy.burst as u64 * MICRO
    }

    /// What an urgency may not touch. At least one operation of any urgency
    /// fits, however small the burst.
    fn kept_from(&self, urgency: ShareUrgency) -> u64 {
        let kept = self.capacity() * u64::from(urgency.kept_percent) / PERCENT;
        kept.min(self.capacity().saturating_sub(MICRO))
    }
}
