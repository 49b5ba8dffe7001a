//! Availability zones that were taken back after an evacuation.
//!
//! The servers of such a zone are cold, whatever entries from before the return
//! say. A return is the removal of a row: an instance that read the table only
//! before and after the evacuation has not seen it. Until it has read the changes
//! between, any zone may have returned.

use crate::clock::ClockTime;
use crate::id::ZoneId;

/// The end of a zone's evacuation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneReturn {
    /// The zone.
    pub zone: ZoneId,
    /// Revision of the store at that time, or a later one.
    pub revision: u64,
    /// That time, or a later one.
    pub at: ClockTime,
}

/// Where a return was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnSource {
    /// The removed row of the store, with its revision.
    Store,
    /// The store's list, in which a zone is missing. It was evacuated as of the
    /// revision `after`.
    StoreList {
        /// The revision.
        after: u64,
    },
    /// Another instance.
    Instance,
    /// Another instance's list, in which a zone is missing.
    InstanceList {
        /// As for `StoreList`.
        after: u64,
    },
}

impl ReturnSource {
    /// Whether the store told it.
    const fn is_store(self) -> bool {
        matches!(self, Self::Store | Self::StoreList { .. })
    }

    /// Where a list told it: the revision as of which the zone was evacuated.
    const fn concluded_after(self) -> Option<u64> {
        match self {
            Self::Store | Self::Instance => None,
            Self::StoreList { after } | Self::InstanceList { after } => Some(after),
        }
    }
}

/// A return, and where it was read.
#[derive(Clone, Debug)]
struct KnownReturn {
    zone_return: ZoneReturn,
    /// Whether the store told it.
    is_stored: bool,
    /// Where a list told it, the return was after this revision, and not later than
    /// its own.
    concluded_after: Option<u64>,
}

impl KnownReturn {
    /// Whether a return says no more than this one. A later revision may be that of
    /// a further return, so it counts before an earlier time; but the exact revision
    /// replaces that of a list.
    fn covers(&self, zone_return: &ZoneReturn, source: ReturnSource) -> bool {
        let known = &self.zone_return;
        let revision = zone_return.revision;
        match (self.concluded_after, source.concluded_after()) {
            (Some(after), None) if after < revision && revision <= known.revision => false,
            (None, Some(after)) if after < known.revision => true,
            _ => {
                known.revision > revision
                    || (known.revision == revision && known.at <= zone_return.at)
            }
        }
    }
}

/// Changes of evacuated zones that were not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneGap {
    /// Changes up to this revision are known.
    pub from: u64,
    /// Changes after this revision are known.
    pub to: u64,
    /// When `to` was the newest revision, or a later time.
    pub at: ClockTime,
}

/// What is known of returns.
#[derive(Clone, Debug, Default)]
pub struct ZoneReturns {
    /// The last return of each zone.
    known: Vec<KnownReturn>,
    /// Changes that were not read: any zone may have returned within them.
    gap: Option<ZoneGap>,
}

impl ZoneReturns {
    /// Records a return. Returns whether it says more than what was known.
    pub fn add(&mut self, zone_return: ZoneReturn, source: ReturnSource) -> bool {
        let known = self
            .known
            .iter()
            .find(|known| known.zone_return.zone == zone_return.zone);
        if known.is_some_and(|known| known.covers(&zone_return, source)) {
            return false;
        }
        let was_stored = known.is_some_and(|known| {
            known.is_stored && known.zone_return.revision == zone_return.revision
        });
        let added = KnownReturn {
            is_stored: source.is_store() || was_stored,
            concluded_after: source.concluded_after(),
            zone_return,
        };
        let zone = &added.zone_return.zone;
        self.known.retain(|known| known.zone_return.zone != *zone);
        self.known.push(added);
        true
    }

    /// The last known return of a zone.
    #[must_use]
    pub fn last(&self, zone: &ZoneId) -> Option<&ZoneReturn> {
        let mut returns = self.known.iter().map(|known| &known.zone_return);
        returns.find(|known| known.zone == *zone)
    }

    /// The returns that the store told.
    #[must_use]
    pub fn stored(&self) -> Vec<ZoneReturn> {
        let stored = self.known.iter().filter(|known| known.is_stored);
        stored.map(|known| known.zone_return.clone()).collect()
    }

    /// Drops returns that instances told of a later revision than the store's.
    pub fn drop_later_told(&mut self, revision: u64) {
        self.known
            .retain(|known| known.is_stored || known.zone_return.revision <= revision);
    }

    /// When a zone was taken back at the latest, as far as an entry of the given
    /// revision does not tell: its return, or any within changes that were not read.
    #[must_use]
    pub fn taken_back_at(&self, zone: &ZoneId, listed_revision: u64) -> Option<ClockTime> {
        let returned = self
            .last(zone)
            .filter(|known| listed_revision <= known.revision);
        let returned = returned.map(|known| known.at);
        let unread = self.gap.filter(|gap| listed_revision <= gap.to);
        returned.max(unread.map(|gap| gap.at))
    }

    /// The changes that were not read.
    #[must_use]
    pub const fn gap(&self) -> Option<ZoneGap> {
        self.gap
    }

    /// Records that changes were not read, beside those of before.
    pub fn open_gap(&mut self, gap: ZoneGap) {
        if gap.from >= gap.to {
            return;
        }
        self.gap = Some(self.gap.map_or(gap, |open| ZoneGap {
            from: open.from.min(gap.from),
            to: open.to.max(gap.to),
            at: open.at.max(gap.at),
        }));
    }

    /// Records that the changes up to a revision are known.
    pub fn close_gap(&mut self, to: u64) {
        self.gap = self.gap.filter(|gap| gap.to > to);
    }
}
