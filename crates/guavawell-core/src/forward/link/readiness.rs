//! Decides whether an instance reports that it is ready while its link is nearly full.
//!
//! Load pattern: all new connections of one caller go to one instance, and to the next
//! one in a fixed order when that is not ready. An instance that cannot carry them stays
//! away, so that they reach one that can and stay there.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Time over which new connections are counted.
const ARRIVAL_WINDOW: ClockSpan = ClockSpan::from_millis(1_000);

/// Thresholds of a [`LinkReadiness`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadinessSettings {
    /// Demand in parts of the link from which new connections are too many.
    pub high: f64,
    /// How long the demand must be high. A shorter burst waits on the link. The load
    /// balancer needs up to two seconds more, in which the link fills.
    pub high_for: ClockSpan,
    /// Shortest time without being ready. Taking the load back costs its callers the
    /// time until the load balancer has moved them again, so it is tried once a minute
    /// at most.
    pub min_time_away: ClockSpan,
    /// By how much `min_time_away` grows at most; it doubles each time the link is full again
    /// within `relapse_span`.
    pub max_away_factor: u64,
    /// A link that is full again within this span after the instance became ready doubles
    /// the time away.
    pub relapse_span: ClockSpan,
    /// For how long the instance stays ready if no other takes its load.
    pub ready_if_untaken: ClockSpan,
    /// After this time kept connections are ended: by the time their callers open new
    /// ones, the load balancer has failed two checks and moves them to others.
    pub end_kept_after: ClockSpan,
    /// After this time the load balancer moves new connections to others: it checks once
    /// a second and needs two failures.
    pub moved_after: ClockSpan,
    /// If new connections still come after this time, half as many as before at least,
    /// no other instance takes them. Connections that were opened before wait in the full
    /// link for as long as their callers' requests last.
    pub untaken_after: ClockSpan,
}

impl Default for ReadinessSettings {
    fn default() -> Self {
        Self {
            high: 0.75,
            high_for: ClockSpan::from_millis(200),
            min_time_away: ClockSpan::from_millis(60_000),
            max_away_factor: 8,
            relapse_span: ClockSpan::from_millis(60_000),
            ready_if_untaken: ClockSpan::from_millis(60_000),
            end_kept_after: ClockSpan::from_millis(1_100),
            moved_after: ClockSpan::from_millis(2_200),
            untaken_after: ClockSpan::from_millis(20_000),
        }
    }
}

/// New connections of callers in each second.
#[derive(Clone, Copy, Debug, Default)]
struct ArrivalCount {
    /// When the present second began.
    began: ClockTime,
    /// Connections in it.
    present: u32,
    /// Connections in the second before.
    last: u32,
}

impl ArrivalCount {
    /// Ends the present second if it is over.
    fn advance(&mut self, now: ClockTime) {
        if now.since(self.began) >= ARRIVAL_WINDOW {
            self.last = std::mem::take(&mut self.present);
            self.began = now;
        }
    }
}

/// Whether the link has room for new connections.
#[derive(Clone, Copy, Debug)]
pub struct LinkReadiness {
    settings: ReadinessSettings,
    arrivals: ArrivalCount,
    /// New connections in a second when the instance became not ready.
    arrivals_before: u32,
    /// Since when the instance is not ready.
    full_since: Option<ClockTime>,
    /// Since when the demand is high.
    high_since: Option<ClockTime>,
    /// When the instance became ready again last.
    ready_since: Option<ClockTime>,
    /// Until when the instance stays ready because no other takes its load.
    ready_until: ClockTime,
    /// How many times `min_time_away` the instance is not ready at least.
    away_factor: u64,
    /// Whether the load is kept although the link is full.
    is_load_kept: bool,
}

impl LinkReadiness {
    /// An instance that is ready.
    #[must_use]
    pub const fn new(settings: ReadinessSettings) -> Self {
        Self {
            settings,
            arrivals: ArrivalCount {
                began: ClockTime::from_millis(0),
                present: 0,
                last: 0,
            },
            arrivals_before: 0,
            full_since: None,
            high_since: None,
            ready_since: None,
            ready_until: ClockTime::from_millis(0),
            away_factor: 1,
            is_load_kept: false,
        }
    }

    /// Records whether the load is kept: the instance is then ready although its link is
    /// full. Once it no longer is, an instance that was not ready begins to be so again.
    pub fn set_load_kept(&mut self, is_kept: bool, now: ClockTime) {
        if self.is_load_kept && !is_kept && self.full_since.is_some() {
            self.arrivals_before = self.arrivals.last.max(self.arrivals.present);
            self.full_since = Some(now);
        }
        self.is_load_kept = is_kept;
    }

    /// Whether the demand was high for the link at the last look.
    #[must_use]
    pub const fn is_demand_high(&self) -> bool {
        self.high_since.is_some()
    }

    /// Whether the instance is not ready because of its link, or would not be if it did not
    /// keep its load.
    #[must_use]
    pub const fn is_away(&self) -> bool {
        self.full_since.is_some()
    }

    /// Whether the link is full: the instance is not ready, or only ready to keep its load.
    #[must_use]
    pub const fn is_full(&self) -> bool {
        self.full_since.is_some() || self.is_load_kept
    }

    /// Records a new connection of a caller.
    pub const fn note_connection(&mut self) {
        self.arrivals.present = self.arrivals.present.saturating_add(1);
    }

    /// Records the demand in parts of what the link carries. `others_may_take` tells
    /// whether the zone has other instances, as far as known.
    pub fn observe(&mut self, demand: f64, others_may_take: bool, now: ClockTime) {
        let settings = self.settings;
        self.arrivals.advance(now);
        let is_high = demand >= settings.high;
        self.high_since = is_high.then(|| self.high_since.unwrap_or(now));
        if self.is_load_kept {
            return;
        }
        let Some(since) = self.full_since else {
            let is_full = lasts(self.high_since, settings.high_for, now);
            if is_full && others_may_take && now >= self.ready_until {
                self.become_unready(now);
            }
            return;
        };
        let passed = now.since(since);
        let is_untaken = passed >= settings.untaken_after
            && lasts(self.high_since, settings.high_for, now)
            && self.still_gets_connections();
        let has_room =
            passed.as_millis() >= settings.min_time_away.as_millis() * self.away_factor && !is_high;
        if is_untaken {
            self.ready_until = now + settings.ready_if_untaken;
        }
        if is_untaken || has_room || !others_may_take {
            self.full_since = None;
            self.ready_since = Some(now);
        }
    }

    /// Whether new connections are welcome.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.full_since.is_none() || self.is_load_kept
    }

    /// Whether kept connections are to be ended.
    #[must_use]
    pub fn ends_kept_connections(&self, now: ClockTime) -> bool {
        !self.is_load_kept
            && self
                .full_since
                .is_some_and(|since| now.since(since) >= self.settings.end_kept_after)
    }

    /// The time until a caller that comes back reaches another instance; `None` while
    /// this one is ready, or gets the load although it is not.
    #[must_use]
    pub fn time_until_moved(&self, now: ClockTime) -> Option<ClockSpan> {
        let passed = now.since(self.full_since.filter(|_| !self.is_load_kept)?);
        let span = self.settings.moved_after;
        if passed >= span && self.high_since.is_some() {
            return None;
        }
        let left = span.as_millis().saturating_sub(passed.as_millis());
        Some(ClockSpan::from_millis(left))
    }

    /// Whether new connections come as before the instance became not ready.
    const fn still_gets_connections(&self) -> bool {
        let ArrivalCount { last, .. } = self.arrivals;
        last > 0 && last >= self.arrivals_before / 2
    }

    /// The instance is not ready from now on.
    fn become_unready(&mut self, now: ClockTime) {
        let span = self.settings.relapse_span;
        let is_again = self.ready_since.is_some_and(|at| now.since(at) < span);
        self.away_factor = if is_again {
            (self.away_factor * 2).min(self.settings.max_away_factor)
        } else {
            1
        };
        self.arrivals_before = self.arrivals.last.max(self.arrivals.present);
        self.full_since = Some(now);
    }
}

/// Whether something that began at `since` has lasted for a span.
fn lasts(since: Option<ClockTime>, span: ClockSpan, now: ClockTime) -> bool {
    since.is_some_and(|since| now.since(since) >= span)
}
