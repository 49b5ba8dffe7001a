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
const USUAL_TIMES: u64 = 3;

/// Bounds of the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectSettings {
    /// The limit while connections are made: zones are a few milliseconds
    /// apart, and a lost opening packet is sent again only after a second.
    pub least: ClockSpan,
    /// The longest limit: about what callers expect until a first token.
    pub most: ClockSpan,
    /// Failures in a row that may be dead servers: with a third of them cut off
    /// two in a row are one in nine.
    pub ignored: u32,
}

impl Default for ConnectSettings {
    fn default() -> Self {
        Self {
            least: ClockSpan::from_millis(250),
            most: ClockSpan::from_millis(1_000),
            ignored: 2,
        }
    }
}

/// What the last tries to connect tell of the way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectPace {
    /// Tries in a row that ran out of time.
    late: u32,
    /// What connections took lately, in milliseconds.
    usual_ms: u64,
}

impl ConnectPace {
    /// The limit for the next try: some times what the last ones took, doubled
    /// for each failure in a row beyond those that dead servers explain.
    #[must_use]
    pub fn limit(&self, settings: &ConnectSettings) -> ClockSpan {
        let doublings = self.late.saturating_sub(settings.ignored).min(u8::BITS);
        let usual = ClockSpan::from_millis(self.usual_ms * USUAL_TIMES);
        let millis = settings.least.max(usual).as_millis() << doublings;
        ClockSpan::from_millis(millis).min(settings.most)
    }

    /// A connection was made, or turned down: the way is open and takes so long.
    pub const fn answered(&mut self, took: ClockSpan) {
        self.late = 0;
        self.usual_ms = u64::midpoint(self.usual_ms, took.as_millis());
    }

    /// A try ran out of time.
    pub const fn timed_out(&mut self) {
        self.late = self.late.saturating_add(1);
    }
}
