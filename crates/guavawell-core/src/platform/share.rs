//! This router's share of the platform's writes or reads, in use.

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

/// How often a share that recovers from push-back is paced anew.
const PACE_INTERVAL: ClockSpan = ClockSpan::from_millis(100);

/// The part of the spare rate that is left while urgent work waits.
const SHORTAGE_DIVISOR: u64 = 4;

/// A share: its pace, what the platform's push-back left of it, and the
/// demand that it met. Each class leaves a part of it to more urgent ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformShare {
    policy: SharePolicy,
    bucket: TokenBucket,
    throttle: ShareThrottle,
    demand: ShareDemand,
    paced_at: ClockTime,
}

impl PlatformShare {
    /// A share with its burst saved up.
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

    /// Another share, for instance after routers came or went; what was
    /// saved up beyond the new burst is lost.
    pub fn set_policy(&mut self, policy: SharePolicy, now: ClockTime) {
        self.policy = policy;
        self.pace(now);
    }

    /// Takes one operation, if the share still has it for its class.
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

    /// The platform answered that it has too much to do: half of the share
    /// is left, and nothing of what was saved up.
    pub fn overloaded(&mut self, now: ClockTime) {
        self.throttle.overloaded(now);
        self.bucket.clear(now);
        self.pace(now);
    }

    /// The platform is back after an outage. Whatever waited for it would be
    /// sent at once, by every router: so the share begins small and empty.
    pub fn resumed(&mut self, now: ClockTime) {
        self.throttle.resumed(now);
        self.bucket.clear(now);
        self.pace(now);
    }

    /// What this router could use, as of `now`.
    pub fn demand(&mut self, now: ClockTime) -> PlatformRate {
        let rate = self.rate(now);
        self.demand.update(rate, now)
    }

    /// What the share gives now.
    #[must_use]
    pub fn rate(&self, now: ClockTime) -> PlatformRate {
        self.throttle.apply(self.policy.rate, now)
    }

    /// What may be used for work that can wait: less while other work waits.
    #[must_use]
    pub fn background_rate(&self, now: ClockTime) -> PlatformRate {
        let rate = background_rate(self.rate(now));
        if self.demand.is_short() {
            rate.fraction(1, SHORTAGE_DIVISOR)
        } else {
            rate
        }
    }

    /// What push-back left of the share, in thousandths.
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
