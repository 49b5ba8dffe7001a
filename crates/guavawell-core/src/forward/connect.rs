//! How long an instance waits for a connection to a backend server.
//!
//! Load pattern: one organisation's callers all reach one small instance and
//! ask for three times its usual. Their request bodies fill its link, and the
//! answer to each opening packet waits behind them for longer than the limit
//! that finds a dead server. No connection is made any more, and of 190 tries a
//! second none is served, where 60 a second were before.
//!
//! A dead server fails alone; where several fail in a row and none succeeds
//! between them, the way there is slow, and the limit grows.

use crate::clock::ClockSpan;

/// How many times what the last connections took the next one may take.
const RECENT_FACTOR: u64 = 3;

/// Bounds of the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectSettings {
    /// The limit while connections are made: zones are a few milliseconds
    /// apart, and a lost opening packet is sent again only after a second.
    pub min_timeout: ClockSpan,
    /// The longest limit: about what callers expect until a first token.
    pub max_timeout: ClockSpan,
    /// Failures in a row that may be dead servers: with a third of them cut off
    /// two in a row are one in nine.
    pub ignored_failures: u32,
}

impl Default for ConnectSettings {
    fn default() -> Self {
        Self {
            min_timeout: ClockSpan::from_millis(250),
            max_timeout: ClockSpan::from_millis(1_000),
            ignored_failures: 2,
        }
    }
}

/// What the last tries to connect tell of the way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectTimeout {
    /// Tries in a row that ran out of time.
    consecutive_timeouts: u32,
    /// What connections took lately, in milliseconds.
    recent_ms: u64,
}

impl ConnectTimeout {
    /// The limit for the next try: some times what the last ones took, doubled
    /// for each failure in a row beyond those that dead servers explain.
    #[must_use]
    pub fn limit(&self, settings: &ConnectSettings) -> ClockSpan {
        let doublings = self
            .consecutive_timeouts
            .saturating_sub(settings.ignored_failures)
            .min(u8::BITS);
        let recent = ClockSpan::from_millis(self.recent_ms * RECENT_FACTOR);
        let millis = settings.min_timeout.max(recent).as_millis() << doublings;
        ClockSpan::from_millis(millis).min(settings.max_timeout)
    }

    /// A connection was made, or turned down: the way is open and takes so long.
    pub const fn answered(&mut self, took: ClockSpan) {
        self.consecutive_timeouts = 0;
        self.recent_ms = u64::midpoint(self.recent_ms, took.as_millis());
    }

    /// A try ran out of time.
    pub const fn timed_out(&mut self) {
        self.consecutive_timeouts = self.consecutive_timeouts.saturating_add(1);
    }
}
