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
    pub refusal_threshold: u8,
    /// Crashes in a row from which on an attempt is not followed by another one
    /// of the same request.
    pub single_attempt_threshold: u8,
    /// How long a mark lasts after its last change or refusal. One that clears
    /// lasts as long as any that it took back.
    pub retention: ClockSpan,
    /// How long a request with so many crashes waits for what others know of it
    /// before it is refused: an answer that one of them saw is told in turn.
    pub settle_span: ClockSpan,
    /// How long a complete answer tells that a request crashes no servers, also
    /// where a crash becomes known only after it.
    pub answer_span: ClockSpan,
    /// Answers that are remembered: popular requests are among any thousand.
    pub max_answers: usize,
    /// Requests that are remembered: about 40 bytes each.
    pub max_requests: usize,
    /// Requests of one organisation that are remembered, so that none can push
    /// out what is believed of others.
    pub max_requests_per_organisation: usize,
    /// Requests that are told to others at a time.
    pub max_published: usize,
}

impl Default for PoisonSettings {
    fn default() -> Self {
        Self {
            refusal_threshold: 3,
            single_attempt_threshold: 2,
            retention: ClockSpan::from_millis(600_000),
            settle_span: ClockSpan::from_millis(700),
            answer_span: ClockSpan::from_millis(10_000),
            max_answers: 1_024,
            max_requests: 2_048,
            max_requests_per_organisation: 512,
            max_published: 256,
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
    pub mark_changed_at: ClockTime,
    /// When the mark changed, or the request was last refused.
    pub at: ClockTime,
    /// Whether this instance tells it to those that read its row.
    published: bool,
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
            .map_or(SuspicionMark::default(), |index| self.entries[index].mark)
    }

    /// What is to be done with a request.
    #[must_use]
    pub fn verdict(&self, fingerprint: RequestFingerprint, now: ClockTime) -> PoisonVerdict {
        let Ok(index) = self.find(fingerprint) else {
            return PoisonVerdict::Clear;
        };
        let entry = &self.entries[index];
        let remaining = (entry.at + self.settings.retention).since(now);
        match entry.mark.crashes {
            _ if remaining == ClockSpan::ZERO => PoisonVerdict::Clear,
            0 => PoisonVerdict::Clear,
            crashes if crashes < self.settings.refusal_threshold => PoisonVerdict::Suspect,
            _ => match (entry.mark_changed_at + self.settings.settle_span).since(now) {
                ClockSpan::ZERO => PoisonVerdict::Refused(remaining),
                settles => PoisonVerdict::Undecided(settles),
            },
        }
    }

    /// Whether another attempt of the same request may follow one that failed.
    #[must_use]
    pub fn may_repeat(&self, fingerprint: RequestFingerprint) -> bool {
        self.mark(fingerprint).crashes < self.settings.single_attempt_threshold
    }

    /// A refused request came again: it is remembered for longer.
    pub fn refused(&mut self, fingerprint: RequestFingerprint, now: ClockTime) {
        if let Ok(index) = self.find(fingerprint) {
            self.entries[index].at = now;
        }
    }

    /// A server crashed under an attempt that began when the request had the
    /// mark `mark_at_start`. One whose crash is counted already, since another instance
    /// saw it too, tells nothing more.
    pub fn crashed(
        &mut self,
        fingerprint: RequestFingerprint,
        organisation: OrganisationTag,
        mark_at_start: SuspicionMark,
        server: ServerTag,
        now: ClockTime,
    ) -> Option<MarkChange> {
        let mut servers = self.crashed_servers(fingerprint, mark_at_start);
        if servers.contains(server) || self.was_answered(fingerprint, now) {
            return None;
        }
        servers.add(server);
        let suspicion = SharedSuspicion {
            fingerprint,
            organisation,
            mark: mark_at_start.after_crash(),
            servers,
            age: ClockSpan::default(),
        };
        self.merge(suspicion, true, now)
    }

    /// The request was answered completely: it crashes no servers.
    pub fn answered(
        &mut self,
        fingerprint: RequestFingerprint,
        now: ClockTime,
    ) -> Option<MarkChange> {
        if self.answers.len() >= self.settings.max_answers {
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
        let suspicion = SharedSuspicion {
            fingerprint,
            organisation: entry.organisation,
            mark: entry.mark.after_answer(),
            servers: CrashedServers::default(),
            age: ClockSpan::default(),
        };
        self.merge(suspicion, true, now)
    }

    /// Another instance, or an earlier life of this one, told what it believes.
    /// If the request was answered here lately, that is to be told in turn.
    pub fn learn(
        &mut self,
        suspicion: SharedSuspicion,
        published: bool,
        now: ClockTime,
    ) -> Option<MarkChange> {
        let change = self.merge(suspicion, published, now)?;
        if !self.was_answered(suspicion.fingerprint, now) {
            return Some(change);
        }
        self.acquit(suspicion.fingerprint, now).or(Some(change))
    }

    /// What other instances are told of a request, if anything is known of it.
    #[must_use]
    pub fn shared(
        &self,
        fingerprint: RequestFingerprint,
        now: ClockTime,
    ) -> Option<SharedSuspicion> {
        let index = self.find(fingerprint).ok()?;
        Some(self.entries[index].shared(now))
    }

    /// What this instance saw itself, the most suspected and newest first.
    #[must_use]
    pub fn told(&self, now: ClockTime) -> Vec<SharedSuspicion> {
        let published = self.entries.iter().filter(|entry| entry.published);
        let mut published: Vec<&SuspicionEntry> = published.collect();
        published.sort_by_key(|entry| Reverse((eviction_rank(entry.mark), entry.at)));
        published.truncate(self.settings.max_published);
        published
            .into_iter()
            .map(|entry| entry.shared(now))
            .collect()
    }

    /// Forgets what no longer counts.
    pub fn sweep(&mut self, now: ClockTime) {
        let retention = self.settings.retention;
        self.entries.retain(|entry| now < entry.at + retention);
    }

    /// The servers that are held against a request since the answer that `mark`
    /// counts last.
    fn crashed_servers(
        &self,
        fingerprint: RequestFingerprint,
        mark: SuspicionMark,
    ) -> CrashedServers {
        let index = self.find(fingerprint).ok();
        let entry = index.map(|index| &self.entries[index]);
        let entry = entry.filter(|entry| entry.mark.cleared == mark.cleared);
        entry.map_or(CrashedServers::default(), |entry| entry.servers)
    }

    fn was_answered(&self, fingerprint: RequestFingerprint, now: ClockTime) -> bool {
        let recent = self.answers.iter().rev();
        let mut recent = recent.take_while(|(at, _)| now.since(*at) < self.settings.answer_span);
        recent.any(|(_, existing)| *existing == fingerprint)
    }

    fn merge(
        &mut self,
        suspicion: SharedSuspicion,
        published: bool,
        now: ClockTime,
    ) -> Option<MarkChange> {
        if suspicion.age >= self.settings.retention {
            return None;
        }
        let at = now.as_millis().saturating_sub(suspicion.age.as_millis());
        let at = ClockTime::from_millis(at);
        let Ok(index) = self.find(suspicion.fingerprint) else {
            self.insert(SuspicionEntry {
                fingerprint: suspicion.fingerprint,
                organisation: suspicion.organisation,
                mark: suspicion.mark,
                servers: suspicion.servers,
                mark_changed_at: at,
                at,
                published,
            });
            return Some(MarkChange {
                fingerprint: suspicion.fingerprint,
                before: SuspicionMark::default(),
                mark: suspicion.mark,
            });
        };
        let entry = &mut self.entries[index];
        let before = entry.mark;
        if suspicion.mark.cleared == before.cleared {
            entry.servers.add_all(&suspicion.servers);
        } else if suspicion.mark > before {
            entry.servers = suspicion.servers;
        }
        if suspicion.mark >= before {
            entry.published |= published;
        }
        if suspicion.mark <= before {
            return None;
        }
        entry.mark = suspicion.mark;
        entry.mark_changed_at = at;
        entry.at = at;
        Some(MarkChange {
            fingerprint: suspicion.fingerprint,
            before,
            mark: suspicion.mark,
        })
    }

    /// Makes room where there is none: first among the organisation's own, then
    /// among all, by the least suspected and oldest.
    fn insert(&mut self, entry: SuspicionEntry) {
        let same = |existing: &SuspicionEntry| existing.organisation == entry.organisation;
        let count = self
            .entries
            .iter()
            .filter(|existing| same(existing))
            .count();
        if count >= self.settings.max_requests_per_organisation {
            self.evict(same);
        } else if self.entries.len() >= self.settings.max_requests {
            self.evict(|_| true);
        }
        let index = self
            .entries
            .partition_point(|existing| existing.fingerprint < entry.fingerprint);
        self.entries.insert(index, entry);
    }

    fn evict(&mut self, evictable: impl Fn(&SuspicionEntry) -> bool) {
        let indices = (0..self.entries.len()).filter(|index| evictable(&self.entries[*index]));
        let least = indices.min_by_key(|index| {
            let entry = &self.entries[*index];
            (eviction_rank(entry.mark), entry.at)
        });
        if let Some(index) = least {
            self.entries.remove(index);
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
const fn eviction_rank(mark: SuspicionMark) -> u8 {
    match mark.crashes {
        1 => 0,
        0 => 1,
        crashes => crashes,
    }
}
