//! A token bucket in which some tokens are reserved for urgent operations.

use super::class::ShareUrgency;
use super::rate::PlatformRate;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Micro-tokens per operation. A rate of one thousandth of an operation per second
/// adds one micro-token per millisecond.
const MICRO: u64 = 1_000_000;
const PERCENT: u64 = 100;

/// Rate limit for one router's writes or reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharePolicy {
    /// Operations per second.
    pub rate: PlatformRate,
    /// Maximum number of operations sent at once after a pause.
    pub burst: u32,
}

/// Result of taking a token for an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeResult {
    /// A token was taken, so the operation may be sent.
    Granted,
    /// No token is available; it may be tried again after this time.
    Wait(ClockSpan),
}

/// A token bucket, counted in micro-tokens.
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

    /// Changes the policy; tokens beyond the new burst are discarded.
    pub fn set_policy(&mut self, policy: SharePolicy, now: ClockTime) {
        self.refill(now);
        self.policy = policy;
        self.micro_tokens = self.micro_tokens.min(self.capacity());
    }

    /// Discards all tokens.
    pub fn clear(&mut self, now: ClockTime) {
        self.refill(now);
        self.micro_tokens = 0;
    }

    /// Takes a token if one is left after those reserved for more urgent
    /// operations.
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

    /// Micro-tokens that are reserved for more urgent operations. A full bucket
    /// has at least one token for any urgency, however small the burst.
    fn reserved_above(&self, urgency: ShareUrgency) -> u64 {
        let reserved = self.capacity() * u64::from(urgency.reserved_percent) / PERCENT;
        reserved.min(self.capacity().saturating_sub(MICRO))
    }
}
