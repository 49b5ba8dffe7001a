//! How full a zone's servers are, told to other zones.
//!
//! Load reports stay with the routers that use a server. When a zone's own
//! servers are crowded, its routers choose another zone by these summaries,
//! five bytes a target, and a server there by their own requests.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde::Deserialize;
use serde::Serialize;

use crate::backend::RouteTarget;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Most targets in one summary, so that a note stays within 512 bytes.
pub const MAX_SUMMARISED: usize = 80;

/// Use of a zone, in percent of its slots, from which nothing is spilled there.
const FULL_USE: u64 = 90;

/// Highest use told.
const MOST_USE: u64 = 250;

/// Use of a zone's servers of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct TargetUse {
    mark: u32,
    percent: u8,
}

/// Use of a zone's servers by target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneSummary(Vec<TargetUse>);

impl ZoneSummary {
    /// Adds a target with `load` on `slots`; left out beyond [`MAX_SUMMARISED`].
    pub(super) fn add(&mut self, target: &RouteTarget, load: u64, slots: u64) {
        if self.0.len() >= MAX_SUMMARISED {
            return;
        }
        let percent = (load * 100 / slots.max(1)).min(MOST_USE);
        let entry = TargetUse {
            mark: mark_of(target),
            percent: u8::try_from(percent).unwrap_or(u8::MAX),
        };
        let place = self.0.partition_point(|other| other.mark < entry.mark);
        self.0.insert(place, entry);
    }

    /// The use of a target, in percent.
    #[must_use]
    pub fn percent(&self, target: &RouteTarget) -> Option<u8> {
        let mark = mark_of(target);
        let place = self.0.binary_search_by_key(&mark, |entry| entry.mark);
        Some(self.0[place.ok()?].percent)
    }

    /// Whether nothing is told.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether some target's use differs by at least `points`.
    #[must_use]
    pub fn differs_by(&self, other: &Self, points: u8) -> bool {
        let same = self.0.len() == other.0.len();
        let mut pairs = self.0.iter().zip(&other.0);
        !same || pairs.any(|(a, b)| a.mark != b.mark || a.percent.abs_diff(b.percent) >= points)
    }
}

/// The last summary of a group, as the request path reads it.
#[derive(Debug, Default)]
pub(super) struct UseCell {
    /// When it came, in milliseconds, shifted by a byte; the byte is the use.
    /// Zero without one.
    packed: AtomicU64,
}

impl UseCell {
    pub(super) fn set(&self, percent: u8, received: ClockTime) {
        let packed = (received.as_millis() << 8) | u64::from(percent);
        self.packed.store(packed, Ordering::Relaxed);
    }

    /// Takes over what another cell holds.
    pub(super) fn copy(&self, other: &Self) {
        let packed = other.packed.load(Ordering::Relaxed);
        self.packed.store(packed, Ordering::Relaxed);
    }

    /// The use in percent, unless it is older than `stale` or missing.
    pub(super) fn percent(&self, stale: ClockSpan, now: ClockTime) -> Option<u64> {
        let packed = self.packed.load(Ordering::Relaxed);
        let received = ClockTime::from_millis(packed >> 8);
        let fresh = packed > 0 && now.since(received) <= stale;
        fresh.then_some(packed & u64::from(u8::MAX))
    }
}

/// How often a zone is drawn for spilling: by its free slots.
pub(super) fn room(percent: u64, servers: usize) -> u64 {
    FULL_USE.saturating_sub(percent) * servers as u64
}

/// FNV-1a over kind and name.
fn mark_of(target: &RouteTarget) -> u32 {
    let (kind, name) = match target {
        RouteTarget::Model(model) => (b'm', model.as_str()),
        RouteTarget::Service(service) => (b's', service.as_str()),
    };
    let step = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    name.bytes().fold(step(0x811c_9dc5, kind), step)
}
