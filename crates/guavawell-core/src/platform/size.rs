//! How many routers share the platform.

use super::rate::PlatformRate;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

const MILLI: u64 = 1_000;

/// How the assumed number of routers follows what is heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SizePolicy {
    /// Routers assumed at least after a start.
    pub first_guess: u32,
    /// Time after a start in which the others are heard of.
    pub guess_span: ClockSpan,
    /// Time in which the number falls to about a third, if the platform's
    /// list agrees with fewer.
    pub shrink: ClockSpan,
    /// The same while the platform's list cannot be read.
    pub shrink_unlisted: ClockSpan,
}

impl Default for SizePolicy {
    fn default() -> Self {
        Self {
            first_guess: 16,
            guess_span: ClockSpan::from_millis(10_000),
            shrink: ClockSpan::from_millis(300_000),
            shrink_unlisted: ClockSpan::from_millis(3_600_000),
        }
    }
}

/// What a router knows of the number of routers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SizeSigns {
    /// Routers that gossip says are alive, with this one.
    pub live: u32,
    /// Routers that the platform lists, if it was read lately.
    pub listed: Option<u32>,
}

/// The number of routers that shares are reckoned by.
///
/// It grows at once and falls slowly: a zone that is parted from the others
/// still leaves them theirs. Whoever reaches the platform to write can read
/// its list as well, and sees the others there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    policy: SizePolicy,
    milli: u64,
    started: ClockTime,
    is_guess: bool,
    at: ClockTime,
}

impl FleetSize {
    /// The first guess.
    #[must_use]
    pub const fn new(policy: SizePolicy, now: ClockTime) -> Self {
        Self {
            policy,
            milli: policy.first_guess as u64 * MILLI,
            started: now,
            is_guess: true,
            at: now,
        }
    }

    /// Takes in what is heard now.
    pub fn hear(&mut self, signs: SizeSigns, now: ClockTime) {
        let heard = signs.live.max(signs.listed.unwrap_or(0)).max(1);
        let heard = u64::from(heard) * MILLI;
        let passed = now.since(self.at).as_millis();
        self.at = self.at.max(now);
        if self.is_guess {
            self.end_guess(signs, heard, now);
            return;
        }
        let span = match signs.listed {
            Some(_) => self.policy.shrink,
            None => self.policy.shrink_unlisted,
        };
        let lost = self.milli.saturating_mul(passed) / span.as_millis().max(1);
        self.milli = self.milli.saturating_sub(lost).max(heard);
    }

    /// The first list that comes once the others had time to be heard of
    /// replaces the guess.
    fn end_guess(&mut self, signs: SizeSigns, heard: u64, now: ClockTime) {
        let is_over = now.since(self.started) >= self.policy.guess_span;
        if is_over && signs.listed.is_some() {
            self.is_guess = false;
            self.milli = heard;
        } else {
            self.milli = self.milli.max(heard);
        }
    }

    /// The part of `rate` that `routers` of the fleet have.
    #[must_use]
    pub fn part(&self, rate: PlatformRate, routers: u32) -> PlatformRate {
        let routers = (u64::from(routers) * MILLI).min(self.milli);
        rate.part(routers, self.milli)
    }

    /// Routers, rounded up.
    #[must_use]
    pub const fn routers(&self) -> u64 {
        self.milli.div_ceil(MILLI)
    }
}
