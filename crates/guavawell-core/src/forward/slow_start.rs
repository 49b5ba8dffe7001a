//! Slow start: a cold server tolerates few requests a second and crashes at
//! more. The limit applies to all instances together, whether or not they can
//! reach each other.
//!
//! Load pattern: a zone's servers restart together, or all servers of a service
//! do, and hundreds of instances find them without load at the same moment. One
//! request of each instance would exceed the limit many times over.
//!
//! So a cold server is the last choice, and few instances may send to it, each its
//! share of the limit. The shares leave room for several views of the fleet, and an
//! instance whose view is old has none.

use thiserror::Error;

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::forward::FleetView;
use crate::id::BackendId;
use crate::number::fraction;
use crate::number::whole;

/// Different views of the fleet for which the shares leave room.
const FLEET_VIEWS: u32 = 3;
/// Instances that may send to a cold server, by one view of the fleet.
const MAX_SENDERS: u32 = 3;
/// Time in which an instance sends its share at most. Requests sent within one
/// second arrive within another if a link delays them by up to a second.
const SHARE_WINDOW: ClockSpan = ClockSpan::from_millis(2_000);

/// Longest cold time that a server may state.
const MAX_COLD_SPAN: ClockSpan = ClockSpan::from_millis(600_000);

/// Why a stated cold time cannot be used.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("`{0}` is not a cold time; expected milliseconds from 0 to {MAX_COLD_SPAN}")]
pub struct ColdSpanError(Box<str>);

/// Converts a stated cold time, in milliseconds.
///
/// # Errors
///
/// The time is negative, not a number or too long.
pub fn cold_span(millis: f64) -> Result<ClockSpan, ColdSpanError> {
    let is_valid = (0.0..=fraction(MAX_COLD_SPAN.as_millis())).contains(&millis);
    if is_valid {
        Ok(ClockSpan::from_millis(whole(millis.ceil())))
    } else {
        Err(ColdSpanError(millis.to_string().into()))
    }
}

/// Parses a stated cold time, in milliseconds.
///
/// # Errors
///
/// As for [`cold_span`].
pub fn parse_cold_span(text: &str) -> Result<ClockSpan, ColdSpanError> {
    let millis = text
        .trim()
        .parse()
        .map_err(|_| ColdSpanError(text.into()))?;
    cold_span(millis)
}

/// A service's slow start, from the operator's configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// How long a server is cold after its start.
    pub span: ClockSpan,
    /// Requests per second that a cold server tolerates.
    pub requests_per_second: f64,
}

/// How far a cold server's load may exceed the rate of [`SlowStart`], from the
/// process's settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartSettings {
    /// Factor of the rate.
    pub overshoot: f64,
    /// Requests beyond the product, in any one second.
    pub extra: f64,
}

impl Default for SlowStartSettings {
    fn default() -> Self {
        Self {
            overshoot: 1.0,
            extra: 0.0,
        }
    }
}

impl SlowStartSettings {
    /// The limit for the servers of a service.
    #[must_use]
    pub fn limit(&self, slow_start: SlowStart) -> SlowStartLimit {
        let requests = slow_start.requests_per_second * self.overshoot + self.extra;
        SlowStartLimit {
            span: slow_start.span,
            requests: u32::try_from(whole(requests.floor())).unwrap_or(u32::MAX),
        }
    }
}

/// The limit on requests to one cold server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStartLimit {
    /// How long a server is cold after its start.
    pub span: ClockSpan,
    /// Requests of all instances in any one second.
    pub requests: u32,
}

impl SlowStartLimit {
    /// Requests that this instance may send to a cold server in each
    /// [`SHARE_WINDOW`].
    #[must_use]
    pub fn share(&self, server: &BackendId, fleet: FleetView<'_>) -> u32 {
        if fleet.is_recent {
            self.query_share(server, fleet)
        } else {
            0
        }
    }

    /// Requests that this instance may send to a server in each [`SHARE_WINDOW`] in
    /// order to ask it whether it is cold. A process that has just started may ask
    /// too, as it sends nothing else to such a server.
    #[must_use]
    pub fn query_share(&self, server: &BackendId, fleet: FleetView<'_>) -> u32 {
        let per_view = self.requests / FLEET_VIEWS;
        let senders = fleet.senders(MAX_SENDERS.min(per_view));
        let rank = fleet.sender_rank(server, senders);
        rank.map_or(0, |_| per_view / senders)
    }
}

/// Whether a server is cold, as far as it is known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerWarmth {
    /// Time that the platform's entry named when it was decoded.
    listed_span: ClockSpan,
    /// Revision of that entry.
    listed_revision: u64,
    /// End of the cold time by the entry.
    listed_until: ClockTime,
    /// End of the cold time by the server's own response.
    reported_until: ClockTime,
    /// The server was last asked whether it is cold after all changes of the store
    /// before this revision; 0 if it was not.
    asked_before: u64,
    /// End of a cold time that was inferred.
    presumed_until: ClockTime,
    /// Entries up to this revision may be older than the cause of the inference.
    presumed_revision: u64,
    /// Whether connections to the server were refused since its last response.
    refused: bool,
    /// When this instance sent requests to the cold server, oldest first.
    sends: Vec<ClockTime>,
}

impl ServerWarmth {
    /// What an entry of the given revision says.
    #[must_use]
    pub fn listed(cold_span: ClockSpan, revision: u64) -> Self {
        Self {
            listed_span: cold_span,
            listed_revision: revision,
            ..Self::default()
        }
    }

    /// Sets the time at which the entry was received. The cold time counts from
    /// there, as it is unknown when the entry was written.
    #[must_use]
    pub fn received(mut self, now: ClockTime) -> Self {
        self.listed_until = now + self.listed_span;
        self
    }

    /// Applies a further entry of the same server.
    pub fn update(&mut self, entry: &Self) {
        if entry.listed_revision < self.listed_revision {
            return;
        }
        self.listed_span = entry.listed_span;
        self.listed_revision = entry.listed_revision;
        self.listed_until = entry.listed_until;
        if entry.listed_revision > self.presumed_revision {
            self.presumed_until = ClockTime::default();
            self.refused = false;
        }
    }

    /// Applies the cold time in a response of the server; returns whether the
    /// server was not known to be cold.
    pub fn report(&mut self, now: ClockTime, span: ClockSpan) -> bool {
        let is_news = span > ClockSpan::ZERO && !self.is_cold(now);
        self.reported_until = now + span;
        is_news
    }

    /// Applies the server's answer to the question whether it is cold, which was
    /// asked after the changes of the store up to `revision`. It is cold for `span`.
    pub fn state(&mut self, now: ClockTime, span: ClockSpan, revision: u64) {
        if revision < self.asked_before {
            return;
        }
        self.asked_before = revision + 1;
        self.reported_until = now + span;
    }

    /// Revision of the newest statement on whether the server is cold: the platform's
    /// entry, or the server's own answer.
    #[must_use]
    pub fn stated_revision(&self) -> u64 {
        self.listed_revision.max(self.asked_before)
    }

    /// Infers that the server is cold for `span`, whatever entries up to
    /// `revision` say.
    pub fn presume(&mut self, now: ClockTime, span: ClockSpan, revision: u64) {
        self.presumed_until = self.presumed_until.max(now + span);
        self.presumed_revision = self.presumed_revision.max(revision);
    }

    /// Records that the server refused a connection: its process has ended, and
    /// one that answers at the same address has just started.
    pub const fn note_refused(&mut self, revision: u64) {
        self.refused = true;
        if self.presumed_revision < revision {
            self.presumed_revision = revision;
        }
    }

    /// Takes back that the server refused a connection, because the refusal has another
    /// cause.
    pub(super) const fn forget_refusal(&mut self) {
        self.refused = false;
    }

    /// Records that the server accepted a connection. If it refused others
    /// before, it is cold for `span` from now on.
    pub fn note_accepted(&mut self, now: ClockTime, span: ClockSpan) {
        if std::mem::take(&mut self.refused) {
            self.presume(now, span, self.presumed_revision);
        }
    }

    /// Whether the server is cold.
    #[must_use]
    pub fn is_cold(&self, now: ClockTime) -> bool {
        self.refused || now < self.warm_at()
    }

    /// When the server is warm, unless it restarts.
    #[must_use]
    pub fn warm_at(&self) -> ClockTime {
        let inferred = self.presumed_until.max(self.reported_until);
        self.listed_until.max(inferred)
    }

    /// Revision of the platform's entry.
    #[must_use]
    pub const fn listed_revision(&self) -> u64 {
        self.listed_revision
    }

    /// Cold time that this entry named.
    #[must_use]
    pub const fn listed_span(&self) -> ClockSpan {
        self.listed_span
    }

    /// Whether this instance has not used up its share yet.
    #[must_use]
    pub fn has_share(&self, share: u32, now: ClockTime) -> bool {
        let recent = self
            .sends
            .iter()
            .filter(|at| now.since(**at) <= SHARE_WINDOW);
        recent.count() < usize::try_from(share).unwrap_or(usize::MAX)
    }

    /// Records a request that is about to be sent to the cold server.
    pub fn note_send(&mut self, now: ClockTime) {
        self.sends.retain(|at| now.since(*at) <= SHARE_WINDOW);
        self.sends.push(now);
    }
}
