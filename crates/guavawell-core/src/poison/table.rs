//! What one instance believes of requests that may crash servers.

use std::cmp::Reverse;
use std::collections::VecDeque;

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::poison::CrashedServers;
use crate::poison::OrganisationTag;
use crate::poison::RequestFingerprint;
use crate::poison::ServerTag;
use crate::poison::SharedSuspicion;
use crate::poison::SuspicionMark;

/// Bounds of belief.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoisonSettings {
    /// Crashes in a row from which on a request is refused.
    pub refused_from: u8,
    /// Crashes in a row from which on an attempt is not followed by another one
    /// of the same request.
    pub single_from: u8,
    /// How long a mark lasts after its last change or refusal. One that clears
    /// lasts as long as any that it took back.
    pub lasts: ClockSpan,
    /// How long a request with so many crashes waits for what others know of it
    /// before it is refused: an answer that one of them saw is told in turn.
    pub settles_in: ClockSpan,
    /// How long a complete answer tells that a request crashes no servers, also
    /// where a crash becomes known only after it.
    pub answer_tells: ClockSpan,
    /// Answers that are remembered: popular requests are among any thousand.
    pub answers: usize,
    /// Requests that are remembered: about 40 bytes each.
    pub most: usize,
    /// Requests of one organisation that are remembered, so that none can push
    /// out what is believed of others.
    pub most_each: usize,
    /// Requests that are told to others at a time.
    pub most_told: usize,
}

impl Default for PoisonSettings {
    fn default() -> Self {
        Self {
            refused_from: 3,
            single_from: 2,
            lasts: ClockSpan::from_millis(600_000),
            settles_in: ClockSpan::from_millis(700),
            answer_tells: ClockSpan::from_millis(10_000),
            answers: 1_024,
            most: 2_048,
            most_each: 512,
            most_told: 256,
        }
    }
}

/// What is to be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoisonVerdict {
    /// Nothing is believed of it.
    Clear,
    /// Servers crashed under it; it is sent, apart from other suspects.
    Suspect,
    /// It is held for so long, until others had time to tell what they know.
    Undecided(ClockSpan),
    /// It is refused, for so long if it does not come again.
    Refused(ClockSpan),
}

/// What is believed of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspicionEntry {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Whose it is.
    pub organisation: OrganisationTag,
    /// How far it is suspected.
    pub mark: SuspicionMark,
    /// The servers whose crashes the mark counts.
    servers: CrashedServers,
    /// When the mark changed.
    pub marked_at: ClockTime,
    /// When the mark changed, or the request was last refused.
    pub at: ClockTime,
    /// Whether this instance tells it to those that read its row.
    own: bool,
}

/// A change of belief.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MarkChange {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The mark before.
    pub before: SuspicionMark,
    /// The mark now.
    pub mark: SuspicionMark,
}

/// Requests that may crash servers, as one instance knows them.
#[derive(Clone, Debug)]
pub struct PoisonTable {
    settings: PoisonSettings,
    /// Sorted by fingerprint.
    entries: Vec<SuspicionEntry>,
    /// Requests that were answered here lately, oldest first.
    answers: VecDeque<(ClockTime, RequestFingerprint)>,
}

impl PoisonTable {
    /// A table that knows nothing.
    #[must_use]
    pub const fn new(settings: PoisonSettings) -> Self {
        Self {
            settings,
            entries: Vec::new(),
            answers: VecDeque::new(),
        }
    }

    /// Its settings.
    #[must_use]
    pub const fn settings(&self) -> &PoisonSettings {
        &self.settings
    }

    /// All that is believed, sorted by fingerprint.
    #[must_use]
    pub fn entries(&self) -> &[SuspicionEntry] {
        &self.entries
    }

    /// How far a request is suspected.
    #[must_use]
    pub fn mark(&self, fingerprint: RequestFingerprint) -> SuspicionMark {
        self.find(fingerprint)
            .map_or(SuspicionMark::default(), |place| self.entries[place].mark)
    }

    /// What is to be done with a request.
    #[must_use]
    pub fn verdict(&self, fingerprint: RequestFingerprint, now: ClockTime) -> PoisonVerdict {
        let Ok(place) = self.find(fingerprint) else {
            return PoisonVerdict::Clear;
        };
        let entry = &self.entries[place];
        let rest = (entry.at + self.settings.lasts).since(now);
        match entry.mark.crashes {
            _ if rest == ClockSpan::ZERO => PoisonVerdict::Clear,
            0 => PoisonVerdict::Clear,
            crashes if crashes < self.settings.refused_from => PoisonVerdict::Suspect,
            _ => match (entry.marked_at + self.settings.settles_in).since(now) {
                ClockSpan::ZERO => PoisonVerdict::Refused(rest),
                settles => PoisonVerdict::Undecided(settles),
            },
        }
    }

    /// Whether another attempt of the same request may follow one that failed.
    #[must_use]
    pub fn may_repeat(&self, fingerprint: RequestFingerprint) -> bool {
        self.mark(fingerprint).crashes < self.settings.single_from
    }

    /// A refused request came again: it is remembered for longer.
    pub fn refused(&mut self, fingerprint: RequestFingerprint, now: ClockTime) {
        if let Ok(place) = self.find(fingerprint) {
            self.entries[place].at = now;
        }
    }

    /// A server crashed under an attempt that began when the request had the
    /// mark `began`. One whose crash is counted already, since another instance
    /// saw it too, tells nothing more.
    pub fn crashed(
        &mut self,
        fingerprint: RequestFingerprint,
        organisation: OrganisationTag,
        began: SuspicionMark,
        server: ServerTag,
        now: ClockTime,
    ) -> Option<MarkChange> {
        let mut servers = self.crashed_servers(fingerprint, began);
        if servers.contains(server) || self.was_answered(fingerprint, now) {
            return None;
        }
        servers.add(server);
        let told = SharedSuspicion {
            fingerprint,
            organisation,
            mark: began.after_crash(),
            servers,
            age: ClockSpan::default(),
        };
        self.take(told, true, now)
    }

    /// The request was answered completely: it crashes no servers.
    pub fn answered(
        &mut self,
        fingerprint: RequestFingerprint,
        now: ClockTime,
    ) -> Option<MarkChange> {
        if self.answers.len() >= self.settings.answers {
            self.answers.pop_front();
        }
        self.answers.push_back((now, fingerprint));
        self.acquit(fingerprint, now)
    }

    /// Takes back all evidence against a request.
    pub fn acquit(
        &mut self,
        fingerprint: RequestFingerprint,
        now: ClockTime,
    ) -> Option<MarkChange> {
        let entry = self.entries[self.find(fingerprint).ok()?];
        if entry.mark.crashes == 0 {
            return None;
        }
        let told = SharedSuspicion {
            fingerprint,
            organisation: entry.organisation,
            mark: entry.mark.after_answer(),
            servers: CrashedServers::default(),
            age: ClockSpan::default(),
        };
        self.take(told, true, now)
    }

    /// Another instance, or an earlier life of this one, told what it believes.
    /// If the request was answered here lately, that is to be told in turn.
    pub fn learn(
        &mut self,
        told: SharedSuspicion,
        own: bool,
        now: ClockTime,
    ) -> Option<MarkChange> {
        let change = self.take(told, own, now)?;
        if !self.was_answered(told.fingerprint, now) {
            return Some(change);
        }
        self.acquit(told.fingerprint, now).or(Some(change))
    }

    /// What other instances are told of a request, if anything is known of it.
    #[must_use]
    pub fn shared(
        &self,
        fingerprint: RequestFingerprint,
        now: ClockTime,
    ) -> Option<SharedSuspicion> {
        let place = self.find(fingerprint).ok()?;
        Some(self.entries[place].shared(now))
    }

    /// What this instance saw itself, the most suspected and newest first.
    #[must_use]
    pub fn told(&self, now: ClockTime) -> Vec<SharedSuspicion> {
        let own = self.entries.iter().filter(|entry| entry.own);
        let mut told: Vec<&SuspicionEntry> = own.collect();
        told.sort_by_key(|entry| Reverse((weight(entry.mark), entry.at)));
        told.truncate(self.settings.most_told);
        told.into_iter().map(|entry| entry.shared(now)).collect()
    }

    /// Forgets what no longer counts.
    pub fn sweep(&mut self, now: ClockTime) {
        let lasts = self.settings.lasts;
        self.entries.retain(|entry| now < entry.at + lasts);
    }

    /// The servers that are held against a request since the answer that `mark`
    /// counts last.
    fn crashed_servers(
        &self,
        fingerprint: RequestFingerprint,
        mark: SuspicionMark,
    ) -> CrashedServers {
        let place = self.find(fingerprint).ok();
        let entry = place.map(|place| &self.entries[place]);
        let entry = entry.filter(|entry| entry.mark.cleared == mark.cleared);
        entry.map_or(CrashedServers::default(), |entry| entry.servers)
    }

    fn was_answered(&self, fingerprint: RequestFingerprint, now: ClockTime) -> bool {
        let lately = self.answers.iter().rev();
        let mut lately = lately.take_while(|(at, _)| now.since(*at) < self.settings.answer_tells);
        lately.any(|(_, held)| *held == fingerprint)
    }

    fn take(&mut self, told: SharedSuspicion, own: bool, now: ClockTime) -> Option<MarkChange> {
        if told.age >= self.settings.lasts {
            return None;
        }
        let at = now.as_millis().saturating_sub(told.age.as_millis());
        let at = ClockTime::from_millis(at);
        let Ok(place) = self.find(told.fingerprint) else {
            self.insert(SuspicionEntry {
                fingerprint: told.fingerprint,
                organisation: told.organisation,
                mark: told.mark,
                servers: told.servers,
                marked_at: at,
                at,
                own,
            });
            return Some(MarkChange {
                fingerprint: told.fingerprint,
                before: SuspicionMark::default(),
                mark: told.mark,
            });
        };
        let entry = &mut self.entries[place];
        let before = entry.mark;
        if told.mark.cleared == before.cleared {
            entry.servers.add_all(&told.servers);
        } else if told.mark > before {
            entry.servers = told.servers;
        }
        if told.mark >= before {
            entry.own |= own;
        }
        if told.mark <= before {
            return None;
        }
        entry.mark = told.mark;
        entry.marked_at = at;
        entry.at = at;
        Some(MarkChange {
            fingerprint: told.fingerprint,
            before,
            mark: told.mark,
        })
    }

    /// Makes room where there is none: first among the organisation's own, then
    /// among all, by the least suspected and oldest.
    fn insert(&mut self, entry: SuspicionEntry) {
        let same = |held: &SuspicionEntry| held.organisation == entry.organisation;
        let count = self.entries.iter().filter(|held| same(held)).count();
        if count >= self.settings.most_each {
            self.evict(same);
        } else if self.entries.len() >= self.settings.most {
            self.evict(|_| true);
        }
        let place = self
            .entries
            .partition_point(|held| held.fingerprint < entry.fingerprint);
        self.entries.insert(place, entry);
    }

    fn evict(&mut self, may_go: impl Fn(&SuspicionEntry) -> bool) {
        let places = (0..self.entries.len()).filter(|place| may_go(&self.entries[*place]));
        let least = places.min_by_key(|place| {
            let entry = &self.entries[*place];
            (weight(entry.mark), entry.at)
        });
        if let Some(place) = least {
            self.entries.remove(place);
        }
    }

    fn find(&self, fingerprint: RequestFingerprint) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.fingerprint.cmp(&fingerprint))
    }
}

impl SuspicionEntry {
    fn shared(&self, now: ClockTime) -> SharedSuspicion {
        SharedSuspicion {
            fingerprint: self.fingerprint,
            organisation: self.organisation,
            mark: self.mark,
            servers: self.servers,
            age: now.since(self.at),
        }
    }
}

/// How much a mark is worth keeping. One that clears is worth more than a single
/// crash: without it an old mark would count again.
const fn weight(mark: SuspicionMark) -> u8 {
    match mark.crashes {
        1 => 0,
        0 => 1,
        crashes => crashes,
    }
}
