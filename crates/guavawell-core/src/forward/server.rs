//! State of one backend server that requests are forwarded to.

use std::net::SocketAddr;

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::forward::ServerFragility;
use crate::forward::ServerIncarnation;
use crate::forward::ServerLimit;
use crate::forward::ServerWarmth;
use crate::forward::ServerWork;
use crate::id::ServiceId;
use crate::id::ZoneId;
use crate::number::fraction;
use crate::number::whole;
use crate::poison::RequestFingerprint;
use crate::stream::SoftwareVersion;
use crate::stream::StreamOrigin;

/// How long a server that runs requests may send nothing before it is avoided.
/// A busy engine sends events every 20 to 200 ms.
const MAX_SILENCE: ClockSpan = ClockSpan::from_millis(700);
/// How long a server is avoided after a failure to connect; doubles with each
/// further failure.
const FIRST_AVOID_MS: u64 = 250;
/// Longest time that a server is avoided after failures to connect.
const MAX_AVOID_MS: u64 = 4_000;
/// Weight of the newest outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.12;
/// Time in which a failure rate decays to half.
const FAILURE_HALF_LIFE_MS: f64 = 2_500.0;
/// Age up to which a load report counts in full.
const FRESH_REPORT_AGE: ClockSpan = ClockSpan::from_millis(1_500);
/// Time in which the weight of an older report decays to half. An instance of a
/// large fleet gets a report from a server every ten seconds or so; while a
/// popular prompt keeps the server busy, an old report is a better estimate
/// than none.
const REPORT_HALF_LIFE_MS: f64 = 8_000.0;

/// Factor of exponential decay at an age; both times are in milliseconds.
fn decay(age: f64, half_life: f64) -> f64 {
    (-age / half_life * std::f64::consts::LN_2).exp()
}

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerPhase {
    /// It accepts new requests.
    Ready,
    /// It announced its shutdown, or its entry at the platform was removed.
    Leaving,
    /// Its entry disappeared around an outage of the platform. The entry may
    /// come back until this time; meanwhile the server is the last choice.
    Lapsed(ClockTime),
    /// Its entry cannot be decoded, so that its address and service are
    /// uncertain. A readable entry makes it usable again.
    Unreadable,
}

/// How long a server remains usable whose entry disappeared around an outage of
/// the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LapseSettings {
    /// Time after the platform's last failure within which an entry may come
    /// back: two seconds after the platform's return, plus the delay until the
    /// return is noticed.
    pub outage_grace: ClockSpan,
    /// Longest time after the entry was found missing. Together with the delay
    /// of polling, it stays within the three seconds for which a server still
    /// serves when it shuts down.
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
    /// The phase of a server whose entry disappeared at `now`. `last_outage` is
    /// when the platform last failed to respond.
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

/// Load that the server reported, and load that this instance adds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadFigures {
    /// Requests of this instance that the server holds.
    pub in_flight: u32,
    /// Prompt tokens of these requests that the server has yet to prefill.
    pub prefill_tokens: u64,
    /// Maximum number of tokens of these requests in the server's KV cache.
    pub cache_tokens: u64,
    /// Requests of these that run elsewhere too and are late there, as long as the
    /// server has brought nothing of them.
    pub taken_over: u32,
    /// Requests of all callers that ran at the server at its last report.
    pub running: u32,
    /// Requests of all callers that waited there at its last report.
    pub waiting: u32,
    /// Requests of this instance that the server held at that time.
    pub own_at_report: u32,
    /// When the last report came; `None` if there was none.
    pub reported_at: Option<ClockTime>,
}

impl LoadFigures {
    /// Requests of other instances at the server's last report.
    const fn reported_others(&self) -> u32 {
        (self.running + self.waiting).saturating_sub(self.own_at_report)
    }

    /// Estimated number of requests of all callers at the server.
    #[must_use]
    pub fn estimate(&self, now: ClockTime) -> u32 {
        let Some(reported_at) = self.reported_at else {
            return self.in_flight;
        };
        let others = self.reported_others();
        let age = now.since(reported_at).as_millis();
        let old = fraction(age.saturating_sub(FRESH_REPORT_AGE.as_millis()));
        let others = whole(f64::from(others) * decay(old, REPORT_HALF_LIFE_MS));
        self.in_flight + u32::try_from(others).unwrap_or(u32::MAX)
    }
}

/// Health of a server, as responses and failures show it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerHealth {
    /// When a byte of the server was last received, or a request was sent to it
    /// while it had none of this instance.
    pub last_received_at: ClockTime,
    /// When a byte of the server was last received.
    pub answered_at: ClockTime,
    /// Failures to connect since the last success.
    pub connect_failures: u32,
    /// The server gets no requests before this time while others can serve.
    pub avoided_until: ClockTime,
    /// The server gets no requests before this time, because it asked for a
    /// pause. A pause is not a failure.
    pub paused_until: ClockTime,
    /// Moving average of failed requests, from 0 to 1, as of `rated_at`.
    pub failure_rate: f64,
    /// When `failure_rate` was last updated.
    pub rated_at: ClockTime,
}

/// One backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Id and start of the server.
    pub incarnation: ServerIncarnation,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The version of its software.
    pub version: SoftwareVersion,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub phase: ServerPhase,
    /// Whether the server itself announced its shutdown. No later or older
    /// entry then makes this incarnation ready again.
    pub announced_leaving: bool,
    /// Its load.
    pub load: LoadFigures,
    /// Its health.
    pub health: ServerHealth,
    /// Whether it is cold.
    pub warmth: ServerWarmth,
    /// How long it takes for requests, if it states its pace.
    pub work: ServerWork,
    /// The rate limit that it states.
    pub limit: ServerLimit,
    /// Whether it falls over if it has to reject too many requests.
    pub fragility: ServerFragility,
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

    /// Removes a request from the load.
    pub fn finish(&mut self, prefill_tokens: u64, cache_tokens: u64) {
        self.load.in_flight = self.load.in_flight.saturating_sub(1);
        self.load.prefill_tokens = self.load.prefill_tokens.saturating_sub(prefill_tokens);
        self.load.cache_tokens = self.load.cache_tokens.saturating_sub(cache_tokens);
    }

    /// Records the load that the server reported with a response.
    pub fn report(&mut self, now: ClockTime, running: u32, waiting: u32) {
        self.load.running = running;
        self.load.waiting = waiting;
        self.load.own_at_report = self.load.in_flight;
        self.load.reported_at = Some(now);
    }

    /// Estimated number of requests of all callers at the server, for whether it has
    /// room. One that states its pace has worked off what it reported.
    #[must_use]
    pub fn occupancy(&self, now: ClockTime) -> u32 {
        let load = &self.load;
        let left = load.reported_at.and_then(|reported_at| {
            let age = now.since(reported_at);
            self.work.left_of(load.reported_others(), self.slots, age)
        });
        match left {
            Some(others) => load.in_flight.saturating_add(others),
            None => load.estimate(now),
        }
    }

    /// Records the outcome of a request that the server could have served.
    pub fn rate(&mut self, now: ClockTime, failed: bool) {
        let before = self.failure_rate(now);
        let outcome = if failed { 1.0 } else { 0.0 };
        self.health.failure_rate = before + OUTCOME_WEIGHT * (outcome - before);
        self.health.rated_at = now;
        if !failed {
            self.health.connect_failures = 0;
        }
    }

    /// Records a failure to connect, and avoids the server for a time that
    /// doubles with each failure in a row.
    pub fn record_connect_failure(&mut self, now: ClockTime) {
        let doubled = FIRST_AVOID_MS << self.health.connect_failures.min(5);
        let pause = ClockSpan::from_millis(doubled.min(MAX_AVOID_MS));
        self.health.connect_failures += 1;
        self.health.avoided_until = now + pause;
    }

    /// Takes back what failures showed of the server, because they have another cause.
    pub(super) const fn forget_failures(&mut self, now: ClockTime) {
        self.warmth.forget_refusal();
        self.health.connect_failures = 0;
        self.health.avoided_until = now;
        self.health.failure_rate = 0.0;
        self.health.last_received_at = now;
    }

    /// The failure rate, decayed to the present.
    #[must_use]
    pub fn failure_rate(&self, now: ClockTime) -> f64 {
        let age = fraction(now.since(self.health.rated_at).as_millis());
        self.health.failure_rate * decay(age, FAILURE_HALF_LIFE_MS)
    }

    /// Whether the server has requests of this instance and has sent nothing
    /// for too long.
    #[must_use]
    pub fn silent(&self, now: ClockTime) -> bool {
        self.load.in_flight > 0 && now.since(self.health.last_received_at) > MAX_SILENCE
    }

    /// Records that bytes of the server were received.
    pub const fn record_received(&mut self, now: ClockTime) {
        self.health.last_received_at = now;
        self.health.answered_at = now;
    }

    /// Whether the server can be expected to respond, although another one has sent
    /// nothing since `quiet_since`: it has sent something since then, or no request of
    /// this instance waits there, so that its own silence would not be known.
    #[must_use]
    pub fn may_respond(&self, quiet_since: ClockTime) -> bool {
        self.load.in_flight == 0 || self.health.answered_at > quiet_since
    }

    /// Records that the server announced its shutdown. Returns false if that
    /// was known.
    pub fn record_leaving(&mut self) -> bool {
        let was_known = std::mem::replace(&mut self.announced_leaving, true);
        self.phase = ServerPhase::Leaving;
        !was_known
    }

    /// Pauses the server, as it asked. Returns false if it was paused already.
    pub fn pause(&mut self, now: ClockTime, span: ClockSpan) -> bool {
        let newly_paused = !self.is_paused(now);
        self.health.paused_until = self.health.paused_until.max(now + span);
        newly_paused
    }

    /// Whether the server is paused, as it asked.
    #[must_use]
    pub fn is_paused(&self, now: ClockTime) -> bool {
        now < self.health.paused_until
    }

    /// Applies a new entry of the same incarnation.
    pub(super) fn update_listing(&mut self, entry: Self) {
        self.announced_leaving |= entry.announced_leaving;
        if self.phase != ServerPhase::Leaving {
            self.phase = entry.phase;
        }
        self.address = entry.address;
        self.slots = entry.slots;
        self.zone = entry.zone;
        self.version = entry.version;
        self.service = entry.service;
        self.warmth.update(&entry.warmth);
    }

    /// Records that the entry was removed or cannot be decoded.
    pub(super) fn end_listing(&mut self, phase: ServerPhase) {
        self.phase = match (self.phase, phase) {
            // An entry that was unreadable before it disappeared names no
            // usable server.
            (ServerPhase::Leaving, _) | (ServerPhase::Unreadable, ServerPhase::Lapsed(_)) => {
                ServerPhase::Leaving
            }
            _ => phase,
        };
    }

    /// Whether a stream that began there can go on at this server.
    #[must_use]
    pub fn may_continue(&self, origin: &StreamOrigin) -> bool {
        self.service == origin.service && self.version == origin.version
    }

    /// Whether the server's phase allows requests; a pause does not count.
    #[must_use]
    pub fn takes_requests(&self, now: ClockTime) -> bool {
        match self.phase {
            ServerPhase::Ready => true,
            ServerPhase::Leaving | ServerPhase::Unreadable => false,
            ServerPhase::Lapsed(until) => now < until,
        }
    }
}
