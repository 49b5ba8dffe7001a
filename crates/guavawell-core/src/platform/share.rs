//! This router's share of the platform's writes: a token bucket with classes.

use super::class::WriteClass;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Parts of one write; the bucket counts in these.
const MILLI: u64 = 1_000;
const PERCENT: u64 = 100;

/// A router's share of the platform's writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharePolicy {
    /// Writes a second.
    pub per_second: u32,
    /// Writes that may follow each other at once after a pause.
    pub burst: u32,
}

impl Default for SharePolicy {
    fn default() -> Self {
        Self {
            per_second: 20,
            burst: 40,
        }
    }
}

/// Whether a write may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteAnswer {
    /// It may; it was taken from the share.
    Granted,
    /// Not before this span has passed.
    Wait(ClockSpan),
}

/// The bucket. Each class leaves a part of it to the more urgent ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteShare {
    policy: SharePolicy,
    milli_writes: u64,
    filled: ClockTime,
}

impl WriteShare {
    /// A full bucket.
    #[must_use]
    pub const fn new(policy: SharePolicy, now: ClockTime) -> Self {
        Self {
            policy,
            milli_writes: policy.burst as u64 * MILLI,
            filled: now,
        }
    }

    /// Another share, for instance after routers came or went; what was
    /// saved up beyond the new burst is lost.
    pub fn set_policy(&mut self, policy: SharePolicy, now: ClockTime) {
        self.fill(now);
        self.policy = policy;
        self.milli_writes = self.milli_writes.min(self.capacity());
    }

    /// Takes one write of `class`, if the share still has it.
    pub fn take(&mut self, class: WriteClass, now: ClockTime) -> WriteAnswer {
        self.fill(now);
        let wanted = self.kept_from(class) + MILLI;
        if self.milli_writes >= wanted {
            self.milli_writes -= MILLI;
            return WriteAnswer::Granted;
        }
        let missing = wanted - self.milli_writes;
        let per_second = u64::from(self.policy.per_second.max(1));
        WriteAnswer::Wait(ClockSpan::from_millis(missing.div_ceil(per_second)))
    }

    fn fill(&mut self, now: ClockTime) {
        let millis = now.since(self.filled).as_millis();
        let gained = millis.saturating_mul(u64::from(self.policy.per_second));
        self.milli_writes = self
            .milli_writes
            .saturating_add(gained)
            .min(self.capacity());
        self.filled = self.filled.max(now);
    }

    const fn capacity(&self) -> u64 {
        self.policy.burst as u64 * MILLI
    }

    /// What a class may not touch, as a part of the burst. At least one write
    /// of any class fits, however small the burst.
    fn kept_from(&self, class: WriteClass) -> u64 {
        let percent = match class {
            WriteClass::Money => 0,
            WriteClass::Claim => 25,
            WriteClass::Journal => 50,
            WriteClass::Rest => 75,
        };
        let kept = self.capacity() * percent / PERCENT;
        kept.min(self.capacity().saturating_sub(MILLI))
    }
}
