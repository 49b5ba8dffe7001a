//! Decides whether an instance reports that it is ready while its link is nearly full.
//!
//! Connections that are open stay with an instance that is not ready, and new ones go to
//! others: the demand is split. If most instances of the zone were not ready, the load
//! balancer would use all of them again, so that nothing would be gained.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Thresholds of a [`LinkReadiness`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadinessSettings {
    /// Demand in parts of the link from which new connections are too many.
    pub high: f64,
    /// Demand below which there is room for new connections.
    pub low: f64,
    /// How long the demand must be high. A shorter burst waits on the link. The load
    /// balancer needs up to two seconds more, in which the link fills.
    pub high_for: ClockSpan,
    /// How long the demand must be low.
    pub low_for: ClockSpan,
    /// Longest time without being ready, and shortest time of being ready after that.
    pub longest: ClockSpan,
    /// After this time kept connections are ended: by the time their callers open new
    /// ones, the load balancer has failed two checks and hands them to others.
    pub effective_after: ClockSpan,
    /// After this time the load balancer hands new connections to others: it checks once a
    /// second and needs two failures.
    pub handed_on_after: ClockSpan,
}

impl Default for ReadinessSettings {
    fn default() -> Self {
        Self {
            high: 0.75,
            low: 0.5,
            high_for: ClockSpan::from_millis(200),
            low_for: ClockSpan::from_millis(700),
            longest: ClockSpan::from_millis(10_000),
            effective_after: ClockSpan::from_millis(1_100),
            handed_on_after: ClockSpan::from_millis(2_200),
        }
    }
}

/// Whether the link has room for new connections.
#[derive(Clone, Copy, Debug)]
pub struct LinkReadiness {
    settings: ReadinessSettings,
    /// Since when the instance is not ready.
    full_since: Option<ClockTime>,
    /// Since when the demand calls for the other state.
    change_since: Option<ClockTime>,
    /// Until when the instance stays ready.
    ready_until: ClockTime,
}

impl LinkReadiness {
    /// An instance that is ready.
    #[must_use]
    pub const fn new(settings: ReadinessSettings) -> Self {
        Self {
            settings,
            full_since: None,
            change_since: None,
            ready_until: ClockTime::from_millis(0),
        }
    }

    /// Records the demand in parts of what the link carries. `others_may_take` tells
    /// whether enough other instances of the zone are ready, as far as known.
    pub fn observe(&mut self, demand: f64, others_may_take: bool, now: ClockTime) {
        let settings = self.settings;
        let Some(since) = self.full_since else {
            let is_high = demand >= settings.high && others_may_take && now >= self.ready_until;
            if self.lasts(is_high, settings.high_for, now) {
                self.full_since = Some(now);
                self.change_since = None;
            }
            return;
        };
        let is_low = demand < settings.low || !others_may_take;
        let is_over = now.since(since) >= settings.longest;
        if self.lasts(is_low, settings.low_for, now) || is_over {
            self.full_since = None;
            self.change_since = None;
            if is_over {
                self.ready_until = now + settings.longest;
            }
        }
    }

    /// Whether new connections are welcome.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.full_since.is_none()
    }

    /// Whether kept connections are to be ended.
    #[must_use]
    pub fn is_effective(&self, now: ClockTime) -> bool {
        self.full_since
            .is_some_and(|since| now.since(since) >= self.settings.effective_after)
    }

    /// The time until a caller that comes back reaches another instance; `None` while
    /// this one is ready.
    #[must_use]
    pub fn hands_on_in(&self, now: ClockTime) -> Option<ClockSpan> {
        let passed = now.since(self.full_since?).as_millis();
        let span = self.settings.handed_on_after.as_millis();
        Some(ClockSpan::from_millis(span.saturating_sub(passed)))
    }

    fn lasts(&mut self, holds: bool, span: ClockSpan, now: ClockTime) -> bool {
        if !holds {
            self.change_since = None;
            return false;
        }
        let since = *self.change_since.get_or_insert(now);
        now.since(since) >= span
    }
}
