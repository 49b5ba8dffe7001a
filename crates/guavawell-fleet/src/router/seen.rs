//! What every router of a zone has to know of each of its servers: that it
//! lives, whether it leaves, and that its models changed.
//!
//! A poller says this of all its servers in one small note, every few seconds
//! and at once on a change. A leaving mark goes to the whole fleet besides.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use guavawell_core::backend::LoadReport;
use guavawell_core::backend::ReportMark;
use guavawell_core::backend::ServedModel;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::BackendId;
use guavawell_core::instance::GossipNote;
use guavawell_core::instance::MemberView;
use guavawell_core::instance::NoteScope;
use serde::Deserialize;
use serde::Serialize;

use super::core::RouterCore;
use super::fetch::apply;
use crate::clock;
use crate::gossip::GossipDriver;

/// What the key of a leaving mark begins with.
const LEAVING_PREFIX: &str = "load/";

/// What the key of a poller's note on its servers begins with.
const SEEN_PREFIX: &str = "seen/";

/// Time between two notes of a poller, if nothing changes; a third of the
/// span after which orders count a server's copies as gone.
const SEEN_EVERY: ClockSpan = ClockSpan::from_millis(10_000);

/// Silence on a server that shows that a note was missed; half of the span
/// after which orders count its copies as gone.
const MISSED_AFTER: ClockSpan = ClockSpan::from_millis(15_000);

/// Servers in one note, so that it stays within 512 bytes.
const MAX_SEEN: usize = 60;

/// The load with which a server announced its leaving, or took it back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LeavingNote {
    at: ClockTime,
    running: u32,
    queued: u32,
    slots: u32,
    leaving: bool,
}

/// A server that a poller has heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SeenServer {
    mark: ReportMark,
    models: u16,
    leaving: bool,
}

/// One that this router polls.
struct HeardServer {
    id: BackendId,
    seen: SeenServer,
    at: ClockTime,
}

#[derive(Default)]
struct SeenState {
    /// Servers that this router polled, sorted by id.
    heard: Vec<HeardServer>,
    published: ClockTime,
    /// Notes taken last: key and version.
    taken: Vec<(Box<str>, u64)>,
    /// What others say of the models held, sorted by server.
    told: Vec<(BackendId, u16)>,
}

/// What this router tells and was told of the zone's servers.
pub struct SeenBook {
    core: Arc<RouterCore>,
    gossip: GossipDriver,
    state: Mutex<SeenState>,
}

impl SeenBook {
    /// Nothing heard or told.
    pub fn new(core: Arc<RouterCore>, gossip: GossipDriver) -> Self {
        Self {
            core,
            gossip,
            state: Mutex::default(),
        }
    }

    /// Notes a report that this router fetched, and tells the zone where it is
    /// the server's poller.
    pub fn note(&self, server: &BackendId, report: &LoadReport, is_poller: bool) {
        let models = models_hash(&report.models);
        if !is_poller {
            self.lock().tell(server, models);
            return;
        }
        let leaving = &*report.role == "leaving";
        let seen = SeenServer {
            mark: ReportMark::of(server),
            models,
            leaving,
        };
        let now = clock::now();
        let due = self.lock().hear(server, seen, now);
        if due {
            self.publish_seen(now);
        }
        self.publish_leaving(server, report, leaving);
    }

    /// Whether nothing is known of a server, or its models changed since; with
    /// `silent`, also whether nobody spoke of it lately.
    pub fn is_unknown(&self, server: &BackendId, silent: bool) -> bool {
        let Some(known) = self.core.models.find(server) else {
            return true;
        };
        if silent && clock::now().since(known.seen()) > MISSED_AFTER {
            return true;
        }
        let state = self.lock();
        let place = state.told.binary_search_by(|(id, _)| id.cmp(server));
        place.is_ok_and(|place| state.told[place].1 != models_hash(&known.models))
    }

    /// Takes the notes that are new.
    pub fn take(&self, members: &MemberView) {
        let taken = std::mem::take(&mut self.lock().taken);
        let mut now_taken = Vec::new();
        for note in members.notes() {
            let known = note.key.starts_with(SEEN_PREFIX) || note.key.starts_with(LEAVING_PREFIX);
            if !known {
                continue;
            }
            let place = taken.binary_search_by(|(key, _)| key.cmp(&note.key));
            if !place.is_ok_and(|place| taken[place].1 == note.version) {
                self.take_note(note);
            }
            now_taken.push((note.key.clone(), note.version));
        }
        let table = self.core.backends.load();
        let mut state = self.lock();
        state.taken = now_taken;
        if state.told.len() > table.specs().len() {
            state.told.retain(|(server, _)| table.get(server).is_some());
        }
    }

    fn take_note(&self, note: &GossipNote) {
        if let Some(server) = note.key.strip_prefix(LEAVING_PREFIX) {
            let server = server.parse::<BackendId>();
            let report = postcard::from_bytes::<LeavingNote>(&note.bytes);
            if let (Ok(server), Ok(report)) = (server, report) {
                apply(&self.core, &server, &report.into_report());
            }
            return;
        }
        let own = note.key.strip_prefix(SEEN_PREFIX) == Some(self.core.life.instance.as_str());
        let servers = postcard::from_bytes::<Vec<SeenServer>>(&note.bytes);
        if let (Ok(servers), false) = (servers, own) {
            self.take_seen(&servers);
        }
    }

    fn take_seen(&self, servers: &[SeenServer]) {
        let table = self.core.backends.load_full();
        let now = clock::now();
        for seen in servers {
            let Some(server) = table.marked(seen.mark) else {
                continue;
            };
            self.core.models.touch(server, seen.leaving, now);
            self.lock().tell(server, seen.models);
        }
    }

    fn publish_seen(&self, now: ClockTime) {
        let servers = self.lock().fresh(now);
        let zone = self.core.settings.instance.zone.clone();
        let key = format!("{SEEN_PREFIX}{}", self.core.life.instance);
        self.publish(key, now.as_millis(), NoteScope::Zone(zone), &servers);
    }

    /// Tells the fleet of a leaving mark once, and of its end.
    fn publish_leaving(&self, server: &BackendId, report: &LoadReport, leaving: bool) {
        let key = format!("{LEAVING_PREFIX}{server}");
        let view = self.gossip.view();
        let told = view.note(&key).is_some_and(|note| {
            let told = postcard::from_bytes::<LeavingNote>(&note.bytes);
            told.is_ok_and(|told| told.leaving)
        });
        if told != leaving {
            let note = LeavingNote::of(report, leaving);
            self.publish(key, report.at.as_millis(), NoteScope::Fleet, &note);
        }
    }

    fn publish(&self, key: String, version: u64, scope: NoteScope, value: &impl Serialize) {
        let Ok(bytes) = postcard::to_allocvec(value) else {
            return;
        };
        let note = GossipNote {
            key: key.into(),
            version,
            scope,
            bytes: bytes.into(),
        };
        if self.gossip.publish(&note).is_err() {
            metrics::counter!("guavawell_load_notes_dropped_total").increment(1);
        }
    }

    fn lock(&self) -> MutexGuard<'_, SeenState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SeenState {
    /// Notes a server that answered; true if the zone should be told now.
    fn hear(&mut self, server: &BackendId, seen: SeenServer, now: ClockTime) -> bool {
        let heard = HeardServer {
            id: server.clone(),
            seen,
            at: now,
        };
        let place = self.heard.binary_search_by(|heard| heard.id.cmp(server));
        let changed = match place {
            Ok(place) => {
                let changed = self.heard[place].seen != seen;
                self.heard[place] = heard;
                changed
            }
            Err(place) => {
                self.heard.insert(place, heard);
                true
            }
        };
        let due = changed || now.since(self.published) >= SEEN_EVERY;
        if due {
            self.published = now;
        }
        due
    }

    /// The servers heard lately; the others are forgotten.
    fn fresh(&mut self, now: ClockTime) -> Vec<SeenServer> {
        self.heard.retain(|heard| now.since(heard.at) < SEEN_EVERY);
        let servers = self.heard.iter().take(MAX_SEEN);
        servers.map(|heard| heard.seen).collect()
    }

    fn tell(&mut self, server: &BackendId, models: u16) {
        match self.told.binary_search_by(|(id, _)| id.cmp(server)) {
            Ok(place) => self.told[place].1 = models,
            Err(place) => self.told.insert(place, (server.clone(), models)),
        }
    }
}

impl LeavingNote {
    fn of(report: &LoadReport, leaving: bool) -> Self {
        Self {
            at: report.at,
            running: report.running,
            queued: report.queued,
            slots: report.slots,
            leaving,
        }
    }

    fn into_report(self) -> LoadReport {
        LoadReport {
            at: self.at,
            running: self.running,
            queued: self.queued,
            slots: self.slots,
            models: Vec::new(),
            role: if self.leaving { "leaving" } else { "" }.into(),
        }
    }
}

/// FNV-1a over models and versions in order, folded to 16 bits.
fn models_hash(models: &[ServedModel]) -> u16 {
    let mut models: Vec<_> = models.iter().collect();
    models.sort();
    let step = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    let mut hash = 0x811c_9dc5;
    for held in models {
        hash = held.model.as_str().bytes().fold(hash, step);
        hash = held.version.as_str().bytes().fold(step(hash, 0), step);
        hash = step(hash, 1);
    }
    let folded = (hash >> 16) ^ (hash & 0xffff);
    u16::try_from(folded).unwrap_or(0)
}
