//! Adaptive timeout of connections to backend servers.
//!
//! Load pattern: all callers of one organisation reach one small instance and
//! send three times their usual load. The request bodies fill the instance's
//! link, and the reply to each SYN waits behind them for longer than the
//! timeout that detects a dead server. No connection succeeds any more, and of
//! 190 requests per second none is served, where 60 per second were before.
//!
//! A dead server fails alone. If several attempts in a row time out, without a
//! success in between, the network path is slow, and the timeout grows.

use crate::clock::ClockSpan;

/// Timeout as a multiple of the recent connection time.
const RECENT_FACTOR: u64 = 3;

/// Limits of the timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectSettings {
    /// Timeout while connections succeed. Zones are a few milliseconds apart,
    /// and a lost SYN is sent again only after a second.
    pub min_timeout: ClockSpan,
    /// Longest timeout: about as long as callers expect to wait for a first
    /// token.
    pub max_timeout: ClockSpan,
    /// Timeouts in a row that dead servers may explain, so that they do not
    /// raise the timeout. With a third of the servers cut off, one in nine
    /// pairs of attempts fails.
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

/// Timeout that follows from recent attempts to connect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectTimeout {
    /// Attempts in a row that timed out.
    consecutive_timeouts: u32,
    /// Moving average of the connection time, in milliseconds.
    recent_ms: u64,
}

impl ConnectTimeout {
    /// The timeout of the next attempt: a multiple of the recent connection
    /// time, doubled for each timeout in a row beyond `ignored_failures`.
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

    /// Records a connection that was accepted or refused after `took`: either
    /// shows that the network path is open.
    pub const fn answered(&mut self, took: ClockSpan) {
        self.consecutive_timeouts = 0;
        self.recent_ms = u64::midpoint(self.recent_ms, took.as_millis());
    }

    /// Records an attempt that timed out.
    pub const fn timed_out(&mut self) {
        self.consecutive_timeouts = self.consecutive_timeouts.saturating_add(1);
    }
}
