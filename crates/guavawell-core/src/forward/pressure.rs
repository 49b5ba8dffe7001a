//! How many requests an instance has at servers without an answer.
//!
//! Load pattern: one organisation's callers all reach one small instance, with
//! more than its link carries. Requests that are past help go on filling it:
//! callers leave, connections to servers run out of time, the callers come again
//! with their bodies, and of 300 requests a second 20 are answered where 180
//! were. Turned away at once, the rest can be served elsewhere or later, and
//! what the link carries is answered.
//!
//! The time that connections take tells how full the link is. Where several in
//! a row are slow, fewer requests may be out; each quick one lets one more out.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Part of the requests that stay out when the link is full, in percent.
const KEPT_PERCENT: u32 = 80;

/// Bounds of the number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PressureSettings {
    /// A connection that takes longer is slow: many times what any two zones
    /// are apart.
    pub slow: ClockSpan,
    /// Slow connections in a row that tell of the link: single servers that are
    /// full or cut off are slow as well, among others that are not.
    pub streak: u32,
    /// Pause between two steps down: what was out has left the link by then.
    pub pause: ClockSpan,
    /// Requests that are let out whatever the link does.
    pub least: u32,
    /// Requests that are let out at most.
    pub most: u32,
}

impl Default for PressureSettings {
    fn default() -> Self {
        Self {
            slow: ClockSpan::from_millis(120),
            streak: 5,
            pause: ClockSpan::from_millis(150),
            least: 8,
            most: 2_000,
        }
    }
}

/// The number, as connections tell it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkPressure {
    settings: PressureSettings,
    limit: u32,
    /// Slow connections since the last quick one.
    slow: u32,
    lowered_at: Option<ClockTime>,
}

impl LinkPressure {
    /// No bound but the largest.
    #[must_use]
    pub const fn new(settings: PressureSettings) -> Self {
        Self {
            limit: settings.most,
            settings,
            slow: 0,
            lowered_at: None,
        }
    }

    /// Requests that may be out.
    #[must_use]
    pub const fn limit(&self) -> u32 {
        self.limit
    }

    /// A connection was made, or turned down, after a time.
    pub fn connected(&mut self, took: ClockSpan, out: u32, now: ClockTime) -> bool {
        if took > self.settings.slow {
            return self.late(out, now);
        }
        self.slow = 0;
        self.limit = self.settings.most.min(self.limit + 1);
        false
    }

    /// A connection took too long, with `out` requests out; whether fewer may be
    /// out from now on.
    pub fn late(&mut self, out: u32, now: ClockTime) -> bool {
        self.slow += 1;
        let resting = self
            .lowered_at
            .is_some_and(|at| now.since(at) < self.settings.pause);
        if self.slow < self.settings.streak || resting {
            return false;
        }
        self.lowered_at = Some(now);
        let kept = self.limit.min(out) * KEPT_PERCENT / 100;
        let before = std::mem::replace(&mut self.limit, kept.max(self.settings.least));
        self.limit < before
    }
}
