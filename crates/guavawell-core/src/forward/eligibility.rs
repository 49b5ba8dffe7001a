//! Whether a server may get a request now. The choice of a server and the check
//! just before sending use the same rules, as a server's state may change while
//! a connection is opened.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::forward::FleetView;
use crate::forward::HomeRegions;
use crate::forward::ServerEntry;
use crate::forward::ServerTable;
use crate::forward::SlowStartLimit;
use crate::id::ServiceId;
use crate::stream::StreamOrigin;

/// What a request requires of its server.
#[derive(Clone, Copy, Debug)]
pub struct ServerConstraints<'a> {
    /// The service that the request goes to.
    pub service: &'a ServiceId,
    /// Where the stream that the request continues began; `None` if it continues none.
    pub origin: Option<&'a StreamOrigin>,
    /// The regions in which the request may run.
    pub homes: HomeRegions<'a>,
    /// Limit on requests to a cold server; `None` if the service has none.
    pub slow_start: Option<SlowStartLimit>,
    /// The fleet, whose instances share that limit.
    pub fleet: FleetView<'a>,
}

/// Why a server may not get a request, from the most lasting cause to the one
/// that ends soonest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerObstacle {
    /// The server belongs to another service, leaves, or has an unreadable
    /// entry.
    Unavailable,
    /// The server is not in a home region of the request.
    OtherRegion,
    /// The stream that the request continues began at another version of the software,
    /// or at another service.
    OtherVersion,
    /// The operator evacuates the server's availability zone.
    Evacuated,
    /// The server asked for a pause.
    Paused,
    /// The server is cold, and this instance has no share of its limit left.
    Cold,
    /// The server states a rate limit, and this instance has no share of it left.
    Limited,
}

impl ServerTable {
    /// Why a server may not get a request; `None` if it may.
    #[must_use]
    pub fn obstacle(
        &self,
        entry: &ServerEntry,
        constraints: &ServerConstraints<'_>,
        now: ClockTime,
    ) -> Option<ServerObstacle> {
        if entry.service != *constraints.service || !entry.takes_requests(now) {
            return Some(ServerObstacle::Unavailable);
        }
        if !constraints.homes.allow(&entry.zone, self.regions()) {
            return Some(ServerObstacle::OtherRegion);
        }
        if constraints
            .origin
            .is_some_and(|origin| !entry.may_continue(origin))
        {
            return Some(ServerObstacle::OtherVersion);
        }
        if self.evacuations().contains(&entry.zone) {
            return Some(ServerObstacle::Evacuated);
        }
        if entry.is_paused(now) {
            return Some(ServerObstacle::Paused);
        }
        let wait = entry
            .limit
            .wait(&entry.incarnation.id, constraints.fleet, now);
        if wait > ClockSpan::ZERO {
            return Some(ServerObstacle::Limited);
        }
        let share = self.send_share(entry, constraints, now)?;
        (!entry.warmth.has_share(share, now)).then_some(ServerObstacle::Cold)
    }

    /// When a server of the service that states a rate limit takes a request of this
    /// instance, at the earliest; `None` if none states a limit.
    #[must_use]
    pub fn limit_wait(
        &self,
        constraints: &ServerConstraints<'_>,
        now: ClockTime,
    ) -> Option<ClockSpan> {
        let limited = self
            .serving(constraints.service, now)
            .filter(|entry| entry.limit.rate().is_some());
        let waits = limited.map(|entry| {
            entry
                .limit
                .wait(&entry.incarnation.id, constraints.fleet, now)
        });
        waits.min()
    }

    /// How many requests this instance may send to a server for now; `None` if
    /// slow start does not limit them.
    #[must_use]
    pub fn send_share(
        &self,
        entry: &ServerEntry,
        constraints: &ServerConstraints<'_>,
        now: ClockTime,
    ) -> Option<u32> {
        let limit = constraints.slow_start?;
        let is_cold = self.is_cold(entry, limit.span, now);
        is_cold.then(|| limit.share(&entry.incarnation.id, constraints.fleet))
    }
}
