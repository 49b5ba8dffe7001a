//! Servers that fall over if they have to reject too many requests.
//!
//! Load pattern: all instances see the same free slots in old load reports and send
//! at once. The server rejects most of it, ends with all that it runs, and its load
//! moves on to the next server.
//!
//! While a service's servers state that they are fragile, each instance has a part of
//! each server's slots and memory. What stays within it cannot be rejected. More is
//! sent by few instances, seldom, and only if the server seems to have a free slot.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::forward::FleetView;
use crate::forward::RequestRate;
use crate::id::BackendId;
use crate::number::whole;

/// Part of the tolerated rejections that instances may cause together. The rest is
/// for requests that arrive late, and for instances with another view of the fleet.
const USED_FRACTION: f64 = 0.5;
/// Most instances that may cause rejections, by one view of the fleet.
const MAX_SENDERS: u32 = 4;
/// How long a statement of one server counts for the others of its service.
const SERVICE_AGE: ClockSpan = ClockSpan::from_millis(5_000);
const SECOND_MS: f64 = 1_000.0;

/// What a server states of its fragility, and what this instance risked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerFragility {
    /// Rejections per second that the server survives; `None` if it is not fragile.
    rejections: Option<RequestRate>,
    /// When the server last responded.
    stated_at: ClockTime,
    /// When this instance last sent it a request that it might have rejected.
    risked_at: ClockTime,
    /// Whether a statement of this server could not be parsed.
    unreadable: bool,
}

impl ServerFragility {
    /// Applies the statement in a response; `None` if it has none. Returns whether the
    /// statement changed.
    pub fn state(&mut self, now: ClockTime, rejections: Option<RequestRate>) -> bool {
        self.stated_at = now;
        std::mem::replace(&mut self.rejections, rejections) != rejections
    }

    /// Records a response whose statement cannot be parsed: an earlier one stays in
    /// force. Returns whether it is the first one, which is logged.
    pub const fn note_unreadable(&mut self) -> bool {
        !std::mem::replace(&mut self.unreadable, true)
    }

    /// Rejections per second that the server survives, if it stated them recently
    /// enough to count for its whole service.
    #[must_use]
    pub fn recent(&self, now: ClockTime) -> Option<RequestRate> {
        self.rejections
            .filter(|_| now.since(self.stated_at) <= SERVICE_AGE)
    }

    /// Records a request that the server might reject.
    pub const fn note_risk(&mut self, now: ClockTime) {
        self.risked_at = now;
    }

    /// Whether this instance may send a request that the server might reject, where it
    /// survives `rejections` per second.
    #[must_use]
    pub fn may_risk(
        &self,
        rejections: RequestRate,
        server: &BackendId,
        fleet: FleetView<'_>,
        now: ClockTime,
    ) -> bool {
        let used = rejections.per_second() * USED_FRACTION;
        let at_once = u32::try_from(whole(used)).unwrap_or(u32::MAX).max(1);
        let senders = fleet.senders(MAX_SENDERS.min(at_once));
        let is_sender = fleet.sender_rank(server, senders).is_some();
        let interval = whole((f64::from(senders) / used * SECOND_MS).ceil());
        is_sender && now.since(self.risked_at) >= ClockSpan::from_millis(interval)
    }
}

/// The part of `total`, such as a server's slots, that this instance may use. The
/// parts of all instances add up to `total`.
#[must_use]
pub fn fleet_part(total: u64, server: &BackendId, fleet: FleetView<'_>) -> u64 {
    let members = fleet.members.len() as u64;
    let Some(rank) = fleet.rank_for(server) else {
        return 0;
    };
    let rest = total % members;
    total / members + u64::from(u64::from(rank) < rest)
}
