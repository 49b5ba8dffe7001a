//! Rate limits that backend servers state in their responses.
//!
//! A server in need states how many requests per second it accepts from all
//! instances together. The limit holds until a response of the server no longer
//! states it, or the server restarts.
//!
//! Load pattern: hundreds of instances are told the limit of one server within
//! milliseconds, and each alone stays below it. So only a few instances, by rank,
//! go on sending, at equal intervals. The others check seldom and one after
//! another whether the limit still holds, for the case that nobody tells them.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::forward::FleetView;
use crate::id::BackendId;
use crate::number::whole;

/// Lowest rate that is distinguished from zero. A server that accepts nothing
/// still gets a request now and then, whose response shows whether the limit
/// holds.
const MIN_RATE: f64 = 0.1;
/// Highest rate; far more than any server runs.
const MAX_RATE: f64 = 1e6;

/// Instances that share a limit, by one view of the fleet. Each may send one request
/// at once; with more instances, and others of another view, those would exceed a low
/// limit.
const MAX_SENDERS: u32 = 4;
/// Age from which a statement is checked again by the next request.
const RECHECK_AGE: ClockSpan = ClockSpan::from_millis(2_000);
/// Age from which instances without a share check a statement, one after another.
const EXPIRY_AGE: ClockSpan = ClockSpan::from_millis(20_000);
/// Part of the stated rate at which those instances check it.
const CHECK_FRACTION: f64 = 0.5;
/// How much newer a message must be than what is known, to lift a limit.
const LIFT_MARGIN: ClockSpan = ClockSpan::from_millis(500);
/// Shortest interval between two changes of one server that an instance tells.
const TELL_INTERVAL: ClockSpan = ClockSpan::from_millis(1_000);
const SECOND_MS: f64 = 1_000.0;

/// Why a stated rate cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a rate; expected requests per second, as in `1.5`")]
pub struct RateError(Box<str>);

/// Requests per second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// The interval between requests of this rate, at a multiple of it.
    #[must_use]
    fn interval(self, multiple: f64) -> ClockSpan {
        let millis = SECOND_MS / (self.0 * multiple);
        ClockSpan::from_millis(whole(millis.ceil()))
    }

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
    /// When the server last responded, to this instance or to one that told it.
    stated_at: ClockTime,
    /// Requests that this instance has sent since the limit was stated.
    sends: u64,
    /// When the last of them was sent, or the limit was stated first.
    last_send: ClockTime,
    /// When this instance last told others a change.
    told_at: ClockTime,
    /// Whether a statement of this server could not be parsed.
    unreadable: bool,
}

impl ServerLimit {
    /// The limit; `None` if the server states none.
    #[must_use]
    pub const fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Applies the limit in a response of the server; `None` if the response
    /// states none. Returns the change, if there is one.
    pub fn state(&mut self, now: ClockTime, rate: Option<RequestRate>) -> Option<LimitChange> {
        self.stated_at = now;
        self.replace(now, rate)
    }

    /// Applies what another instance heard from the server at `heard_at`. Returns the
    /// change, if there is one. That a limit was lifted is believed only if it is
    /// clearly newer than what is known, as the message's age is uncertain.
    pub fn learn(
        &mut self,
        now: ClockTime,
        heard_at: ClockTime,
        rate: Option<RequestRate>,
    ) -> Option<LimitChange> {
        let margin = if rate.is_none() {
            LIFT_MARGIN
        } else {
            ClockSpan::ZERO
        };
        if heard_at <= self.stated_at + margin {
            return None;
        }
        self.stated_at = heard_at;
        self.replace(now, rate)
    }

    fn replace(&mut self, now: ClockTime, rate: Option<RequestRate>) -> Option<LimitChange> {
        if self.rate == rate {
            return None;
        }
        let before = std::mem::replace(&mut self.rate, rate);
        if before.is_none() {
            self.sends = 0;
            self.last_send = now;
        }
        Some(rate.map_or(LimitChange::Lifted(self.sends), LimitChange::Stated))
    }

    /// Whether this instance tells others a change that it just heard: it has a share of
    /// the limit, or had one, and has told nothing for a while.
    pub fn should_tell(
        &mut self,
        server: &BackendId,
        fleet: FleetView<'_>,
        now: ClockTime,
    ) -> bool {
        let is_sender = fleet.sender_rank(server, MAX_SENDERS).is_some();
        let tells = is_sender && now.since(self.told_at) >= TELL_INTERVAL;
        if tells {
            self.told_at = now;
        }
        tells
    }

    /// Records a response whose limit cannot be parsed: an earlier limit stays in
    /// force. Returns whether it is the first one, which is logged.
    pub const fn note_unreadable(&mut self) -> bool {
        !std::mem::replace(&mut self.unreadable, true)
    }

    /// How long this instance must wait until it may send the next request; zero if
    /// it may send one now.
    #[must_use]
    pub fn wait(&self, server: &BackendId, fleet: FleetView<'_>, now: ClockTime) -> ClockSpan {
        let Some(rate) = self.rate else {
            return ClockSpan::ZERO;
        };
        let senders = fleet.senders(MAX_SENDERS);
        let next_at = match fleet.rank_for(server) {
            Some(rank) if rank < senders => {
                self.last_send + rate.interval(1.0 / f64::from(senders))
            }
            Some(rank) => self.check_at(rate, rank - senders),
            None => self.check_at(rate, 0),
        };
        next_at.since(now)
    }

    /// When an instance without a share may check the limit, by its place among them.
    fn check_at(&self, rate: RequestRate, place: u32) -> ClockTime {
        let turn = rate.interval(CHECK_FRACTION).as_millis();
        let delay = ClockSpan::from_millis(turn.saturating_mul(u64::from(place)));
        self.last_send.max(self.stated_at) + EXPIRY_AGE + delay
    }

    /// Whether the next request should go to the server, if this instance may send
    /// it one: only its response shows whether the limit still holds.
    #[must_use]
    pub fn is_due(&self, now: ClockTime) -> bool {
        self.rate.is_some() && now.since(self.stated_at) >= RECHECK_AGE
    }

    /// Records a request that is about to be sent. Returns whether a limit is in
    /// force.
    pub const fn note_send(&mut self, now: ClockTime) -> bool {
        self.sends += 1;
        self.last_send = now;
        self.rate.is_some()
    }
}
