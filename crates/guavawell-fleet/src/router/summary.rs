//! Zones tell each other how full their backend servers are.
//!
//! One router of each zone, by hashing, says so for all targets in one note;
//! routers of other zones choose by it where to spill.

use std::sync::Arc;

use guavawell_core::backend::ZoneSummary;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::instance::GossipNote;
use guavawell_core::instance::MemberView;
use guavawell_core::instance::NoteScope;

use super::core::RouterCore;
use crate::clock;
use crate::gossip::GossipDriver;

/// What the key of a summary begins with.
const SUMMARY_PREFIX: &str = "room/";

/// Least time between two summaries.
const SUMMARY_EVERY: ClockSpan = ClockSpan::from_millis(2_000);

/// Longest time between two summaries, a quarter of the age at which they
/// count for nothing.
const SUMMARY_RENEWAL: ClockSpan = ClockSpan::from_millis(5_000);

/// Change of a target's use, in points of a hundred, that is told at once.
const CHANGE_POINTS: u8 = 10;

/// What this router told and took last.
pub struct SummaryBook {
    core: Arc<RouterCore>,
    gossip: GossipDriver,
    told: ZoneSummary,
    told_at: ClockTime,
    /// Notes taken last: key and version.
    taken: Vec<(Box<str>, u64)>,
}

impl SummaryBook {
    /// Nothing told or taken.
    pub fn new(core: Arc<RouterCore>, gossip: GossipDriver) -> Self {
        Self {
            core,
            gossip,
            told: ZoneSummary::default(),
            told_at: ClockTime::default(),
            taken: Vec::new(),
        }
    }

    /// Tells of this zone, if that falls to this router.
    pub fn tell(&mut self, members: &MemberView) {
        let zone = &self.core.settings.instance.zone;
        let key = format!("{SUMMARY_PREFIX}{zone}");
        let owner = members.owner_in(zone, key.as_bytes());
        let now = clock::now();
        let is_own = owner.is_some_and(|owner| owner.instance == self.core.life.instance);
        if !is_own || now.since(self.told_at) < SUMMARY_EVERY {
            return;
        }
        let summary = self.core.backends.load().summarise(zone, now);
        let due = now.since(self.told_at) >= SUMMARY_RENEWAL;
        if summary.is_empty() || !(due || summary.differs_by(&self.told, CHANGE_POINTS)) {
            return;
        }
        self.publish(key, now, &summary);
        self.told = summary;
        self.told_at = now;
    }

    fn publish(&self, key: String, now: ClockTime, summary: &ZoneSummary) {
        let Ok(bytes) = postcard::to_allocvec(summary) else {
            return;
        };
        let note = GossipNote {
            key: key.into(),
            version: now.as_millis(),
            scope: NoteScope::Passing,
            bytes: bytes.into(),
        };
        if self.gossip.publish(&note).is_err() {
            metrics::counter!("guavawell_load_notes_dropped_total").increment(1);
        }
    }

    /// Takes what other zones told since the last time.
    pub fn take(&mut self, members: &MemberView) {
        let mut taken = Vec::new();
        for note in members.notes() {
            let Some(zone) = note.key.strip_prefix(SUMMARY_PREFIX) else {
                continue;
            };
            let known = (note.key.clone(), note.version);
            if !self.taken.contains(&known) {
                self.take_note(zone, note);
            }
            taken.push(known);
        }
        self.taken = taken;
    }

    fn take_note(&self, zone: &str, note: &GossipNote) {
        let Ok(zone) = zone.parse() else {
            return;
        };
        let summary = postcard::from_bytes::<ZoneSummary>(&note.bytes);
        if let Ok(summary) = summary
            && zone != self.core.settings.instance.zone
        {
            let table = self.core.backends.load();
            table.apply_summary(&zone, &summary, clock::now());
        }
    }
}
