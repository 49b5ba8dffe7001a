//! Enforces this router's share of the platform's writes or reads.

use super::background::background_rate;
use super::bucket::SharePolicy;
use super::bucket::TakeResult;
use super::bucket::TokenBucket;
use super::class::ShareUrgency;
use super::demand::ShareDemand;
use super::rate::PlatformRate;
use super::throttle::ShareThrottle;
use super::throttle::ThrottlePolicy;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Minimum time between two updates of the bucket's rate during recovery from an
/// overload.
const PACE_INTERVAL: ClockSpan = ClockSpan::from_millis(100);

/// Divides the background rate while other operations have to wait.
const SHORTAGE_DIVISOR: u64 = 4;

/// A share with its token bucket, its reduction on overload and its measured
/// demand. Each class leaves a part of the tokens to more urgent ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformShare {
    policy: SharePolicy,
    bucket: TokenBucket,
    throttle: ShareThrottle,
    demand: ShareDemand,
    paced_at: ClockTime,
}

impl PlatformShare {
    /// Starts with a full burst.
    #[must_use]
    pub fn new(policy: SharePolicy, now: ClockTime) -> Self {
        Self {
            policy,
            bucket: TokenBucket::new(policy, now),
            throttle: ShareThrottle::new(ThrottlePolicy::default(), now),
            demand: ShareDemand::new(now),
            paced_at: now,
        }
    }

    /// Changes the share, for instance when the number of routers changes. Tokens
    /// beyond the new burst are discarded.
    pub fn set_policy(&mut self, policy: SharePolicy, now: ClockTime) {
        self.policy = policy;
        self.pace(now);
    }

    /// Takes a token for one operation, if the share has one for its class.
    pub fn take(&mut self, urgency: impl Into<ShareUrgency>, now: ClockTime) -> TakeResult {
        if now.since(self.paced_at) >= PACE_INTERVAL {
            self.pace(now);
        }
        let urgency = urgency.into();
        let answer = self.bucket.take(urgency, now);
        match answer {
            TakeResult::Granted => self.demand.record_grant(),
            TakeResult::Wait(_) if urgency.raises_demand => self.demand.record_wait(),
            TakeResult::Wait(_) => {}
        }
        answer
    }

    /// Records an overload response: halves the share and discards all tokens.
    pub fn overloaded(&mut self, now: ClockTime) {
        self.throttle.overloaded(now);
        self.bucket.clear(now);
        self.pace(now);
    }

    /// Records the end of an outage. Without a limit, every router would send all
    /// waiting operations at once, so the share starts reduced and without tokens.
    pub fn resumed(&mut self, now: ClockTime) {
        self.throttle.resumed(now);
        self.bucket.clear(now);
        self.pace(now);
    }

    /// This router's demand at `now`.
    pub fn demand(&mut self, now: ClockTime) -> PlatformRate {
        let rate = self.rate(now);
        self.demand.update(rate, now)
    }

    /// The current rate of the share, reduced after an overload.
    #[must_use]
    pub fn rate(&self, now: ClockTime) -> PlatformRate {
        self.throttle.apply(self.policy.rate, now)
    }

    /// The rate for background work, which is lower while other operations wait.
    #[must_use]
    pub fn background_rate(&self, now: ClockTime) -> PlatformRate {
        let rate = background_rate(self.rate(now));
        if self.demand.is_short() {
            rate.fraction(1, SHORTAGE_DIVISOR)
        } else {
            rate
        }
    }

    /// The usable part of the share after overloads, in thousandths.
    #[must_use]
    pub fn throttle_permille(&self, now: ClockTime) -> u64 {
        self.throttle.permille(now)
    }

    fn pace(&mut self, now: ClockTime) {
        let policy = SharePolicy {
            rate: self.rate(now),
            burst: self.policy.burst,
        };
        self.bucket.set_policy(policy, now);
        self.paced_at = now;
    }
}
