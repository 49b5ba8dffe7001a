//! What is known of one backend server that requests are forwarded to.

use std::net::SocketAddr;

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::forward::ServerIncarnation;
use crate::id::ServiceId;
use crate::id::ZoneId;
use crate::number::fraction;
use crate::number::whole;
use crate::poison::RequestFingerprint;

/// How long a server that has requests may stay silent before others go
/// elsewhere. A busy engine sends events every 20 to 200 ms.
const MAX_SILENCE: ClockSpan = ClockSpan::from_millis(700);
/// First pause after a failure to connect; it doubles with each further one.
const FIRST_AVOID_MS: u64 = 250;
/// Longest pause after failures to connect, in milliseconds.
const MAX_AVOID_MS: u64 = 4_000;
/// Weight of the newest outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.12;
/// Time after which a failure rate counts half.
const FAILURE_HALF_LIFE_MS: f64 = 2_500.0;
/// Age up to which a load report counts in full.
const FRESH_REPORT_AGE: ClockSpan = ClockSpan::from_millis(1_500);
/// Time after which an older report counts half. An instance of a large fleet
/// hears from a server every ten seconds or so; where a popular prompt keeps one
/// busy, an old report is a better guess than none.
const REPORT_HALF_LIFE_MS: f64 = 8_000.0;

/// The part of a figure that counts at an age, both times in milliseconds.
fn decay(age: f64, half_life: f64) -> f64 {
    (-age / half_life * std::f64::consts::LN_2).exp()
}

/// Whether a server takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerPhase {
    /// It takes new requests.
    Ready,
    /// It announced that it leaves, or is no longer listed.
    Leaving,
    /// Its entry vanished around an outage of the platform; it may come back
    /// until this time and is the last choice meanwhile.
    Lapsed(ClockTime),
    /// Its entry cannot be read, so nothing is known of where and what it is;
    /// a readable entry makes it usable again.
    Unreadable,
}

/// How long a server whose entry vanished around trouble with the platform
/// may still be there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LapseSettings {
    /// Time after the platform's last failure in which an entry may come back:
    /// two seconds after its return, and the pause until that is noticed.
    pub outage_grace: ClockSpan,
    /// Longest time from when the entry was missed: with the delay of the feed
    /// it stays within the three seconds that a leaving server still serves.
    pub max_lapse: ClockSpan,
}

impl Default for LapseSettings {
    fn default() -> Self {
        Self {
            outage_grace: ClockSpan::from_millis(2_200),
            max_lapse: ClockSpan::from_millis(1_700),
        }
    }
}

impl LapseSettings {
    /// The phase of a server whose entry vanished now, `last_outage` being when
    /// the platform last failed to answer.
    #[must_use]
    pub fn phase_after_removal(
        &self,
        now: ClockTime,
        last_outage: Option<ClockTime>,
    ) -> ServerPhase {
        let Some(last_outage) = last_outage else {
            return ServerPhase::Leaving;
        };
        let until = (last_outage + self.outage_grace).min(now + self.max_lapse);
        if until > now {
            ServerPhase::Lapsed(until)
        } else {
            ServerPhase::Leaving
        }
    }
}

/// Load as the server told it, and as this instance adds to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadFigures {
    /// Requests of this instance that the server holds.
    pub in_flight: u32,
    /// Their prompt tokens that the server has yet to read.
    pub prefill_tokens: u64,
    /// Their tokens in the server's memory, at their most.
    pub cache_tokens: u64,
    /// Requests that ran at the server, from all callers, when it last told.
    pub running: u32,
    /// Requests that waited there.
    pub waiting: u32,
    /// This instance's own part of both at that time.
    pub own_at_report: u32,
    /// When it told, or `None` if it never did.
    pub reported_at: Option<ClockTime>,
}

impl LoadFigures {
    /// Requests that the server probably holds now, of all callers.
    #[must_use]
    pub fn estimate(&self, now: ClockTime) -> u32 {
        let Some(reported_at) = self.reported_at else {
            return self.in_flight;
        };
        let others = (self.running + self.waiting).saturating_sub(self.own_at_report);
        let age = now.since(reported_at).as_millis();
        let old = fraction(age.saturating_sub(FRESH_REPORT_AGE.as_millis()));
        let others = whole(f64::from(others) * decay(old, REPORT_HALF_LIFE_MS));
        self.in_flight + u32::try_from(others).unwrap_or(u32::MAX)
    }
}

/// What answers and failures tell of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerHealth {
    /// When a byte of it was last received, or a first request was sent to it
    /// while it was idle.
    pub last_received_at: ClockTime,
    /// Failures to connect since the last success.
    pub connect_failures: u32,
    /// No requests before this time while others can serve.
    pub avoided_until: ClockTime,
    /// No requests before this time at all: the server asked for it. It is not
    /// failing.
    pub paused_until: ClockTime,
    /// Part of recent requests that failed.
    pub failure_rate: f64,
    /// When `failure_rate` was last brought up to date.
    pub rated_at: ClockTime,
}

/// One backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Which life of which server this is.
    pub incarnation: ServerIncarnation,
    /// Its service.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub phase: ServerPhase,
    /// Whether it said itself that it leaves, so that nothing told later, and
    /// nothing older, makes it ready again.
    pub announced_leaving: bool,
    /// Its load.
    pub load: LoadFigures,
    /// Its health.
    pub health: ServerHealth,
    /// Requests of this instance that run there and are suspected of crashing
    /// servers.
    pub suspects: Vec<RequestFingerprint>,
}

impl ServerEntry {
    /// Counts a request that is about to be sent.
    pub fn begin(&mut self, now: ClockTime, prefill_tokens: u64, cache_tokens: u64) {
        if self.load.in_flight == 0 {
            self.health.last_received_at = now;
        }
        self.load.in_flight += 1;
        self.load.prefill_tokens += prefill_tokens;
        self.load.cache_tokens += cache_tokens;
    }

    /// Takes a request out again.
    pub fn finish(&mut self, prefill_tokens: u64, cache_tokens: u64) {
        self.load.in_flight = self.load.in_flight.saturating_sub(1);
        self.load.prefill_tokens = self.load.prefill_tokens.saturating_sub(prefill_tokens);
        self.load.cache_tokens = self.load.cache_tokens.saturating_sub(cache_tokens);
    }

    /// Notes the load that came with an answer.
    pub fn report(&mut self, now: ClockTime, running: u32, waiting: u32) {
        self.load.running = running;
        self.load.waiting = waiting;
        self.load.own_at_report = self.load.in_flight;
        self.load.reported_at = Some(now);
    }

    /// Notes the outcome of a request, where the server could have served it.
    pub fn rate(&mut self, now: ClockTime, failed: bool) {
        let before = self.failure_rate(now);
        let outcome = if failed { 1.0 } else { 0.0 };
        self.health.failure_rate = before + OUTCOME_WEIGHT * (outcome - before);
        self.health.rated_at = now;
        if !failed {
            self.health.connect_failures = 0;
        }
    }

    /// Notes that no connection was to be had.
    pub fn record_connect_failure(&mut self, now: ClockTime) {
        let doubled = FIRST_AVOID_MS << self.health.connect_failures.min(5);
        let pause = ClockSpan::from_millis(doubled.min(MAX_AVOID_MS));
        self.health.connect_failures += 1;
        self.health.avoided_until = now + pause;
    }

    /// Part of recent requests that failed; old failures count less.
    #[must_use]
    pub fn failure_rate(&self, now: ClockTime) -> f64 {
        let age = fraction(now.since(self.health.rated_at).as_millis());
        self.health.failure_rate * decay(age, FAILURE_HALF_LIFE_MS)
    }

    /// Whether the server has requests of this instance and says nothing.
    #[must_use]
    pub fn silent(&self, now: ClockTime) -> bool {
        self.load.in_flight > 0 && now.since(self.health.last_received_at) > MAX_SILENCE
    }

    /// The server said that it leaves; false if that was known.
    pub fn record_leaving(&mut self) -> bool {
        let was_known = std::mem::replace(&mut self.announced_leaving, true);
        self.phase = ServerPhase::Leaving;
        !was_known
    }

    /// The server wants no requests for a time; false if it did not before that
    /// time's end already.
    pub fn pause(&mut self, now: ClockTime, span: ClockSpan) -> bool {
        let newly_paused = !self.is_paused(now);
        self.health.paused_until = self.health.paused_until.max(now + span);
        newly_paused
    }

    /// Whether the server wants no requests now.
    #[must_use]
    pub fn is_paused(&self, now: ClockTime) -> bool {
        now < self.health.paused_until
    }

    /// Takes in a new listing of the same life.
    pub(super) fn update_listing(&mut self, entry: Self) {
        self.announced_leaving |= entry.announced_leaving;
        if self.phase != ServerPhase::Leaving {
            self.phase = entry.phase;
        }
        self.address = entry.address;
        self.slots = entry.slots;
        self.zone = entry.zone;
        self.service = entry.service;
    }

    /// Takes note that the listing went, or cannot be trusted.
    pub(super) fn end_listing(&mut self, phase: ServerPhase) {
        self.phase = match (self.phase, phase) {
            // Of an unreadable entry that went, what went is not one that lapsed.
            (ServerPhase::Leaving, _) | (ServerPhase::Unreadable, ServerPhase::Lapsed(_)) => {
                ServerPhase::Leaving
            }
            _ => phase,
        };
    }

    /// Whether the server may be sent a request at all.
    #[must_use]
    pub fn takes_requests(&self, now: ClockTime) -> bool {
        match self.phase {
            ServerPhase::Ready => true,
            ServerPhase::Leaving | ServerPhase::Unreadable => false,
            ServerPhase::Lapsed(until) => now < until,
        }
    }
}
