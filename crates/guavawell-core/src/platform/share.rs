//! This router's share of the platform's writes or reads, in use.

use super::bucket::PaceBucket;
use super::bucket::ShareAnswer;
use super::bucket::SharePolicy;
use super::class::ShareUrgency;
use super::demand::ShareDemand;
use super::pushback::PushBack;
use super::pushback::PushBackPolicy;
use super::rate::PlatformRate;
use super::spare::spare_rate;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// How often a share that recovers from push-back is paced anew.
const PACE_EVERY: ClockSpan = ClockSpan::from_millis(100);

/// The part of the spare rate that is left while urgent work waits.
const SHORT_DIVISOR: u64 = 4;

/// A share: its pace, what the platform's push-back left of it, and the
/// demand that it met. Each class leaves a part of it to more urgent ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformShare {
    policy: SharePolicy,
    bucket: PaceBucket,
    push_back: PushBack,
    demand: ShareDemand,
    paced: ClockTime,
}

impl PlatformShare {
    /// A share with its burst saved up.
    #[must_use]
    pub fn new(policy: SharePolicy, now: ClockTime) -> Self {
        Self {
            policy,
            bucket: PaceBucket::new(policy, now),
            push_back: PushBack::new(PushBackPolicy::default(), now),
            demand: ShareDemand::new(now),
            paced: now,
        }
    }

    /// Another share, for instance after routers came or went; what was
    /// saved up beyond the new burst is lost.
    pub fn set_policy(&mut self, policy: SharePolicy, now: ClockTime) {
        self.policy = policy;
        self.pace(now);
    }

    /// Takes one operation, if the share still has it for its class.
    pub fn take(&mut self, urgency: impl Into<ShareUrgency>, now: ClockTime) -> ShareAnswer {
        if now.since(self.paced) >= PACE_EVERY {
            self.pace(now);
        }
        let urgency = urgency.into();
        let answer = self.bucket.take(urgency, now);
        match answer {
            ShareAnswer::Granted => self.demand.granted(),
            ShareAnswer::Wait(_) if urgency.borrows => self.demand.waited(),
            ShareAnswer::Wait(_) => {}
        }
        answer
    }

    /// The platform answered that it has too much to do: half of the share
    /// is left, and nothing of what was saved up.
    pub fn overloaded(&mut self, now: ClockTime) {
        self.push_back.overloaded(now);
        self.bucket.empty(now);
        self.pace(now);
    }

    /// The platform is back after an outage. Whatever waited for it would be
    /// sent at once, by every router: so the share begins small and empty.
    pub fn resumed(&mut self, now: ClockTime) {
        self.push_back.resumed(now);
        self.bucket.empty(now);
        self.pace(now);
    }

    /// What this router could use, as of `now`.
    pub fn demand(&mut self, now: ClockTime) -> PlatformRate {
        let rate = self.rate(now);
        self.demand.review(rate, now)
    }

    /// What the share gives now.
    #[must_use]
    pub fn rate(&self, now: ClockTime) -> PlatformRate {
        self.push_back.apply(self.policy.rate, now)
    }

    /// What may be used for work that can wait: less while other work waits.
    #[must_use]
    pub fn spare(&self, now: ClockTime) -> PlatformRate {
        let spare = spare_rate(self.rate(now));
        if self.demand.is_short() {
            spare.part(1, SHORT_DIVISOR)
        } else {
            spare
        }
    }

    /// What push-back left of the share, in thousandths.
    #[must_use]
    pub fn part(&self, now: ClockTime) -> u64 {
        self.push_back.part(now)
    }

    fn pace(&mut self, now: ClockTime) {
        let policy = SharePolicy {
            rate: self.rate(now),
            burst: self.policy.burst,
        };
        self.bucket.set_policy(policy, now);
        self.paced = now;
    }
}
