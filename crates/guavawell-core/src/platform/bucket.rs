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
pub enum TakeResult {
    /// It may; it was taken from the share.
    Granted,
    /// Not before this span has passed.
    Wait(ClockSpan),
}

/// The bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TokenBucket {
    policy: SharePolicy,
    micro_tokens: u64,
    refilled_at: ClockTime,
}

impl TokenBucket {
    /// A full bucket.
    pub const fn new(policy: SharePolicy, now: ClockTime) -> Self {
        Self {
            policy,
            micro_tokens: policy.burst as u64 * MICRO,
            refilled_at: now,
        }
    }

    /// Another pace; what was saved up beyond the new burst is lost.
    pub fn set_policy(&mut self, policy: SharePolicy, now: ClockTime) {
        self.refill(now);
        self.policy = policy;
        self.micro_tokens = self.micro_tokens.min(self.capacity());
    }

    /// Loses all that was saved up.
    pub fn clear(&mut self, now: ClockTime) {
        self.refill(now);
        self.micro_tokens = 0;
    }

    /// Takes one operation, if the bucket still has it for this urgency.
    pub fn take(&mut self, urgency: ShareUrgency, now: ClockTime) -> TakeResult {
        self.refill(now);
        let needed = self.reserved_above(urgency) + MICRO;
        if self.micro_tokens >= needed {
            self.micro_tokens -= MICRO;
            return TakeResult::Granted;
        }
        let missing = needed - self.micro_tokens;
        let gain = self.policy.rate.as_milli().max(1);
        TakeResult::Wait(ClockSpan::from_millis(missing.div_ceil(gain)))
    }

    fn refill(&mut self, now: ClockTime) {
        let millis = now.since(self.refilled_at).as_millis();
        let gained = millis.saturating_mul(self.policy.rate.as_milli());
        self.micro_tokens = self
            .micro_tokens
            .saturating_add(gained)
            .min(self.capacity());
        self.refilled_at = self.refilled_at.max(now);
    }

    const fn capacity(&self) -> u64 {
        self.policy.burst as u64 * MICRO
    }

    /// What an urgency may not touch. At least one operation of any urgency
    /// fits, however small the burst.
    fn reserved_above(&self, urgency: ShareUrgency) -> u64 {
        let reserved = self.capacity() * u64::from(urgency.reserved_percent) / PERCENT;
        reserved.min(self.capacity().saturating_sub(MICRO))
    }
}
