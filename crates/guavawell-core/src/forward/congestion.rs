//! Detects that the link of an instance is full.
//!
//! Load pattern: all callers of one organisation reach one small instance and
//! send more than its link carries. No response of the instance helps, because
//! the requests themselves fill the link, and refused callers send them again.
//! The load falls only if new connections go to other instances. The load
//! balancer sends them there once the instance reports that it is not ready.
//!
//! A full link shows in connections to backend servers that succeed but take
//! many times longer than connections between any two zones do. One fast
//! connection shows that the link is not full. A connection that times out
//! shows nothing by itself, because the server may be dead; after slow
//! connections it counts as one more.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Thresholds of a full link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CongestionSettings {
    /// A connection that takes longer has waited in a queue.
    pub slow_connect: ClockSpan,
    /// How long there must be only slow connections before the link counts as
    /// full. A shorter burst of requests does not make the instance report that
    /// it is not ready.
    pub full_after: ClockSpan,
    /// How long the last slow connection counts. An instance without new
    /// connections becomes ready again after this time.
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

/// What recent connections show of the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkCongestion {
    settings: CongestionSettings,
    /// First and last slow connection since the last fast one.
    slow_streak: Option<(ClockTime, ClockTime)>,
}

impl LinkCongestion {
    /// State of a link without connections so far.
    #[must_use]
    pub const fn new(settings: CongestionSettings) -> Self {
        Self {
            settings,
            slow_streak: None,
        }
    }

    /// Records a connection that was accepted or refused after `took`.
    pub fn answered(&mut self, took: ClockSpan, now: ClockTime) {
        let before = self
            .slow_streak
            .filter(|(_, last)| self.is_recent(*last, now));
        let first = before.map_or(now, |(first, _)| first);
        self.slow_streak = (took > self.settings.slow_connect).then_some((first, now));
    }

    /// Records a connection that timed out.
    pub fn timed_out(&mut self, now: ClockTime) {
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
