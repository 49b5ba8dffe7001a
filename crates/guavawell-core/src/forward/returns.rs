//! Availability zones that were taken back after an evacuation.
//!
//! The servers of such a zone are cold, whatever entries from before the return
//! say. A return is the removal of a row: an instance that read the table only
//! before and after the evacuation has not seen it. Until it has read the changes
//! between, any zone may have returned. Where nobody can tell these changes any
//! more, each server has to say whether it is cold.

use std::cmp::Reverse;

use crate::clock::ClockSpan;
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

/// Time by which two instances may have learned of a return apart; an earlier time
/// within it is no news.
const SAME_TIME: ClockSpan = ClockSpan::from_millis(100);

/// Where a return was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnSource {
    /// The removed row of the store, with its revision.
    Store,
    /// The removed row, in a history in which no later change is missing.
    History,
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
        matches!(self, Self::Store | Self::History | Self::StoreList { .. })
    }

    /// Where a list told it: the revision as of which the zone was evacuated.
    const fn concluded_after(self) -> Option<u64> {
        match self {
            Self::Store | Self::History | Self::Instance => None,
            Self::StoreList { after } | Self::InstanceList { after } => Some(after),
        }
    }
}

/// A return as one kind of source told it.
#[derive(Clone, Debug)]
struct KnownReturn {
    zone_return: ZoneReturn,
    /// Where a list told it, the return was after this revision, and not later than
    /// its own.
    concluded_after: Option<u64>,
}

impl KnownReturn {
    /// Whether a return says no more than this one. A later revision may be that of
    /// a further return, so it counts before an earlier time; but the history tells
    /// the exact revision of a return that a list told.
    fn covers(&self, zone_return: &ZoneReturn, source: ReturnSource) -> bool {
        let known = &self.zone_return;
        let revision = zone_return.revision;
        let is_same = source == ReturnSource::History
            && self
                .concluded_after
                .is_some_and(|after| (after + 1..=known.revision).contains(&revision));
        let is_earlier = known.revision > revision;
        let is_dated = known.revision == revision && known.at <= zone_return.at + SAME_TIME;
        !is_same && (is_earlier || is_dated)
    }
}

/// The last return of each zone, from one kind of source.
#[derive(Clone, Debug, Default)]
struct ReturnTable {
    known: Vec<KnownReturn>,
}

impl ReturnTable {
    /// Adds a return. Returns whether it says more than what was known.
    fn add(&mut self, zone_return: ZoneReturn, source: ReturnSource) -> bool {
        let zone = &zone_return.zone;
        let known = self.known.iter();
        let mut same_zone = known.filter(|known| known.zone_return.zone == *zone);
        if same_zone.any(|known| known.covers(&zone_return, source)) {
            return false;
        }
        self.put(KnownReturn {
            concluded_after: source.concluded_after(),
            zone_return,
        });
        true
    }

    /// Puts a return in the place of the one of the same zone.
    fn put(&mut self, known: KnownReturn) {
        let zone = &known.zone_return.zone;
        self.known.retain(|other| other.zone_return.zone != *zone);
        self.known.push(known);
    }

    /// Puts a return in the place of an earlier one of the same zone.
    fn put_if_later(&mut self, known: KnownReturn) {
        let returned = &known.zone_return;
        let before = self.find(&returned.zone);
        if before.is_none_or(|before| before.revision < returned.revision) {
            self.put(known);
        }
    }

    /// Whether a return is known, with as early a time.
    fn holds(&self, zone_return: &ZoneReturn) -> bool {
        let known = self.find(&zone_return.zone);
        known.is_some_and(|known| {
            known.revision == zone_return.revision && known.at <= zone_return.at + SAME_TIME
        })
    }

    fn find(&self, zone: &ZoneId) -> Option<&ZoneReturn> {
        let mut returns = self.known.iter().map(|known| &known.zone_return);
        returns.find(|known| known.zone == *zone)
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

impl ZoneGap {
    /// The changes of both.
    fn join(self, other: Self) -> Self {
        Self {
            from: self.from.min(other.from),
            to: self.to.max(other.to),
            at: self.at.max(other.at),
        }
    }
}

/// What is known of returns. Those of the store and those that instances told are
/// kept apart, so that a false one hides none of the store's.
#[derive(Clone, Debug, Default)]
pub struct ZoneReturns {
    stored: ReturnTable,
    told: ReturnTable,
    /// Returns that instances told, of later revisions than the store's responses. They
    /// count beside the others and replace none.
    unconfirmed: ReturnTable,
    /// Changes that were not read: any zone may have returned within them.
    gap: Option<ZoneGap>,
    /// Changes that nobody can tell any more. They count like those of the gap.
    lost: Option<ZoneGap>,
    /// Returns up to this revision may be missing.
    complete_from: u64,
}

impl ZoneReturns {
    /// Records a return. Returns whether it says more than what was known.
    pub fn add(&mut self, zone_return: ZoneReturn, source: ReturnSource) -> bool {
        if source.is_store() {
            self.stored.add(zone_return, source)
        } else {
            !self.unconfirmed.holds(&zone_return) && self.told.add(zone_return, source)
        }
    }

    /// The last known return of a zone.
    #[must_use]
    pub fn last(&self, zone: &ZoneId) -> Option<&ZoneReturn> {
        let both = self
            .stored
            .find(zone)
            .into_iter()
            .chain(self.told.find(zone));
        both.max_by_key(|known| (known.revision, Reverse(known.at)))
    }

    /// The returns that the store told, with the earliest time that is known.
    #[must_use]
    pub fn stored(&self) -> Vec<ZoneReturn> {
        let stored = self.stored.known.iter().map(|known| {
            let zone_return = &known.zone_return;
            let told = self.told.find(&zone_return.zone);
            let told = told.filter(|told| told.revision == zone_return.revision);
            ZoneReturn {
                at: told.map_or(zone_return.at, |told| told.at.min(zone_return.at)),
                ..zone_return.clone()
            }
        });
        stored.collect()
    }

    /// Sets returns aside that instances told of a later revision than the store's: the
    /// store's response may be from before them. Those that the store has reached count
    /// as told again.
    pub fn set_aside_later_told(&mut self, revision: u64) {
        let is_reached = |known: &mut KnownReturn| known.zone_return.revision <= revision;
        let reached = self.unconfirmed.known.extract_if(.., is_reached);
        for known in reached.collect::<Vec<_>>() {
            self.told.put_if_later(known);
        }
        let is_later = |known: &mut KnownReturn| known.zone_return.revision > revision;
        for known in self.told.known.extract_if(.., is_later) {
            self.unconfirmed.put(known);
        }
    }

    /// Drops returns that a response of the store refutes: it was asked for when they
    /// were over, and its revision is earlier than theirs.
    pub fn refute_told(&mut self, asked_at: ClockTime, revision: u64) {
        self.unconfirmed.known.retain(|known| {
            let told = &known.zone_return;
            told.revision <= revision || asked_at < told.at
        });
    }

    /// When a zone was taken back at the latest, as far as a statement of the given
    /// revision does not tell: its return, or any within changes that were not read.
    #[must_use]
    pub fn taken_back_at(&self, zone: &ZoneId, listed_revision: u64) -> Option<ClockTime> {
        let both = [self.last(zone), self.unconfirmed.find(zone)];
        let returned = both.into_iter().flatten();
        let untold = returned.filter(|known| listed_revision <= known.revision);
        let returned_at = untold.map(|known| known.at).max();
        returned_at.max(self.unread_at(listed_revision))
    }

    /// When changes after a statement of the given revision turned out to be unread;
    /// `None` if there are none.
    #[must_use]
    pub fn unread_at(&self, revision: u64) -> Option<ClockTime> {
        let unread = self.gap.iter().chain(&self.lost);
        let later = unread.filter(|gap| revision <= gap.to);
        later.map(|gap| gap.at).max()
    }

    /// The newest revision of changes that were not read; 0 if there are none.
    #[must_use]
    pub fn unread_to(&self) -> u64 {
        let unread = self.gap.iter().chain(&self.lost);
        unread.map(|gap| gap.to).max().unwrap_or_default()
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
        self.gap = Some(self.gap.map_or(gap, |open| open.join(gap)));
    }

    /// Records that the changes after `from` and up to `to` are known, and that those
    /// of the gap before them may be lost.
    pub fn narrow_gap(&mut self, from: u64, to: u64) {
        if let Some(gap) = self.gap.as_mut().filter(|gap| gap.to <= to) {
            gap.to = gap.to.min(from);
        }
    }

    /// Closes the gap as [`close_gap`](Self::close_gap) does, though nobody can tell
    /// its changes up to `from`.
    pub fn lose_gap(&mut self, from: u64, to: u64) {
        if let Some(gap) = self.gap.filter(|gap| gap.to <= to) {
            let lost = ZoneGap {
                to: gap.to.min(from),
                ..gap
            };
            self.lost = Some(self.lost.map_or(lost, |known| known.join(lost)));
        }
        self.close_gap(from, to);
    }

    /// Changes that nobody could tell.
    #[must_use]
    pub const fn lost(&self) -> Option<ZoneGap> {
        self.lost
    }

    /// Records that the changes of [`lost`](Self::lost) are known after all.
    pub const fn find_lost(&mut self) {
        self.lost = None;
    }

    /// Records that the changes after `from` and up to `to` are known.
    pub fn close_gap(&mut self, from: u64, to: u64) {
        self.complete_from = self.complete_from.max(from);
        self.gap = self.gap.filter(|gap| gap.to > to);
    }

    /// Records that the changes after an older revision than before are known.
    pub fn extend_back(&mut self, from: u64) {
        self.complete_from = self.complete_from.min(from);
    }

    /// The revision after which all returns are known; `None` while changes are
    /// unread.
    #[must_use]
    pub const fn complete_from(&self) -> Option<u64> {
        match self.gap {
            Some(_) => None,
            None => Some(self.complete_from),
        }
    }
}
