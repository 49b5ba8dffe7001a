//! Whether the link of an instance is full.
//!
//! Load pattern: one organisation's callers all reach one small instance, with
//! more than its link carries. Nothing that the instance answers helps: what
//! fills the link is what callers send, and those that are turned away send it
//! again. Only where new connections go elsewhere does it carry less, and that
//! is the balancer's to do: the instance says that it is not ready.
//!
//! A full link shows in connections to servers that stand, but take many times
//! what they take between any two zones. One quick connection shows that it is
//! not. One that never stands says nothing by itself, as its server may be dead;
//! after slow ones it is one more.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Bounds of what counts as full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CongestionSettings {
    /// A connection that takes longer waited in a queue.
    pub slow_connect: ClockSpan,
    /// How long there are only slow ones before the link counts as full: a
    /// burst that ends by itself sends nobody away.
    pub full_after: ClockSpan,
    /// How long the last slow one tells of the link. Where nobody comes any
    /// more, the instance is ready again.
    pub valid_for: ClockSpan,
}

impl Default for CongestionSettings {
    fn default() -> Self {
        Self {
            slow_connect: ClockSpan::from_millis(60),
            full_after: ClockSpan::from_millis(1_500),
            valid_for: ClockSpan::from_millis(1_000),
        }
    }
}

/// What the last connections tell of the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkCongestion {
    settings: CongestionSettings,
    /// The first and the last slow connection since a quick one.
    slow_streak: Option<(ClockTime, ClockTime)>,
}

impl LinkCongestion {
    /// A link of which nothing is known.
    #[must_use]
    pub const fn new(settings: CongestionSettings) -> Self {
        Self {
            settings,
            slow_streak: None,
        }
    }

    /// A connection stood after a time, or was turned down.
    pub fn connected(&mut self, took: ClockSpan, now: ClockTime) {
        let before = self
            .slow_streak
            .filter(|(_, last)| self.is_recent(*last, now));
        let first = before.map_or(now, |(first, _)| first);
        self.slow_streak = (took > self.settings.slow_connect).then_some((first, now));
    }

    /// A connection did not stand in time.
    pub fn late(&mut self, now: ClockTime) {
        let streak = self
            .slow_streak
            .filter(|(_, last)| self.is_recent(*last, now));
        self.slow_streak = streak.map(|(first, _)| (first, now));
    }

    /// Whether the link is full.
    #[must_use]
    pub fn is_full(&self, now: ClockTime) -> bool {
        self.slow_streak.is_some_and(|(first, last)| {
            last.since(first) >= self.settings.full_after && self.is_recent(last, now)
        })
    }

    fn is_recent(&self, last: ClockTime, now: ClockTime) -> bool {
        now.since(last) < self.settings.valid_for
    }
}
