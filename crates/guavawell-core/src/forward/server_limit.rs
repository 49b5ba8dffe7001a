//! Rate limits that backend servers state in their responses.
//!
//! A server in need states how many requests per second it accepts from all
//! instances together. The limit holds until a response of the server no longer
//! states it, or the server restarts.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

use crate::clock::ClockTime;

/// Lowest rate that is distinguished from zero. A server that accepts nothing
/// still gets a request now and then, whose response shows whether the limit
/// holds.
const MIN_RATE: f64 = 0.1;
/// Highest rate; far more than any server runs.
const MAX_RATE: f64 = 1e6;

/// Why a stated rate cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a rate; expected requests per second, as in `1.5`")]
pub struct RateError(Box<str>);

/// Requests per second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// The lower of two rates.
    #[must_use]
    pub const fn min(self, other: Self) -> Self {
        Self(self.0.min(other.0))
    }

    /// The rate in requests per second.
    #[must_use]
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

impl FromStr for RequestRate {
    type Err = RateError;

    /// Parses a decimal number. One that is out of range is replaced by the
    /// nearest rate in range.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let text = text.trim();
        // Only digits and points: `f64` would also accept signs, exponents and
        // `inf`.
        let plain = text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
        let rate = text.parse::<f64>().ok().filter(|_| plain);
        let rate = rate.ok_or_else(|| RateError(text.into()))?;
        Ok(Self(rate.clamp(MIN_RATE, MAX_RATE)))
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// A change of what is known of a server's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The server states this limit, which is new or replaces another one.
    Stated(RequestRate),
    /// The server no longer states a limit. Holds the number of requests that
    /// this instance sent while it did.
    Lifted(u64),
}

/// The limit that a server states, and the requests sent meanwhile.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerLimit {
    /// The limit; `None` if the server states none.
    rate: Option<RequestRate>,
    /// When the server last responded.
    stated_at: ClockTime,
    /// Requests that this instance has sent since the limit was stated.
    sends: u64,
    /// Whether a statement of this server could not be parsed.
    unreadable: bool,
}

impl ServerLimit {
    /// The limit; `None` if the server states none.
    #[must_use]
    pub const fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// When the server last confirmed or lifted its limit.
    #[must_use]
    pub const fn stated_at(&self) -> ClockTime {
        self.stated_at
    }

    /// Applies the limit in a response of the server; `None` if the response
    /// states none. Returns the change, if there is one.
    pub fn state(&mut self, now: ClockTime, rate: Option<RequestRate>) -> Option<LimitChange> {
        self.stated_at = now;
        if self.rate == rate {
            return None;
        }
        let before = std::mem::replace(&mut self.rate, rate);
        if before.is_none() {
            self.sends = 0;
        }
        Some(rate.map_or(LimitChange::Lifted(self.sends), LimitChange::Stated))
    }

    /// Records a response whose limit cannot be parsed: an earlier limit stays in
    /// force. Returns whether it is the first one, which is logged.
    pub const fn note_unreadable(&mut self) -> bool {
        !std::mem::replace(&mut self.unreadable, true)
    }

    /// Records a request that is about to be sent. Returns whether a limit is in
    /// force.
    pub const fn note_send(&mut self) -> bool {
        self.sends += 1;
        self.rate.is_some()
    }
}
