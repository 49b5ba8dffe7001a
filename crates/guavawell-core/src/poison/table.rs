//! The table of suspected requests of one instance.

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

/// Thresholds, time spans and sizes of a [`PoisonTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoisonSettings {
    /// Consecutive crashes from which a request is refused.
    pub refusal_threshold: u8,
    /// Consecutive crashes from which a request is no longer retried after a
    /// failed attempt.
    pub single_attempt_threshold: u8,
    /// How long an entry is kept after its mark changed or its request was last
    /// refused. A mark that was reset is kept as long, so that it outlives the
    /// earlier marks that other instances may still send.
    pub retention: ClockSpan,
    /// How long a request is held after its crashes reached
    /// `refusal_threshold`, before it is refused. In this time another instance
    /// that saw an answer can send the reset.
    pub settle_span: ClockSpan,
    /// How long after a complete answer crashes of the request are ignored. A
    /// crash that preceded the answer may become known only after it.
    pub answer_span: ClockSpan,
    /// Number of recent answers remembered. A popular request is answered at
    /// least once in any thousand answers, so it stays among them.
    pub max_answers: usize,
    /// Most entries in the table. An entry takes 64 bytes: 57 of fields, aligned
    /// to 16.
    pub max_requests: usize,
    /// Most entries of one organisation, so that none can evict those of others.
    pub max_requests_per_organisation: usize,
    /// Most entries in one row of the store or one message to other instances.
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

/// How to handle a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoisonVerdict {
    /// The request is not suspected.
    Clear,
    /// The request is suspected: send it to a server without other suspected
    /// requests.
    Suspect,
    /// Hold the request for this long, so that other instances can send a reset.
    Undecided(ClockSpan),
    /// Refuse the request. The refusal expires after this long, and each refused
    /// request restarts that time.
    Refused(ClockSpan),
}

/// One suspected request in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspicionEntry {
    /// The suspected request.
    pub fingerprint: RequestFingerprint,
    /// The organisation that sent the request.
    pub organisation: OrganisationTag,
    /// The degree of suspicion.
    pub mark: SuspicionMark,
    /// The last servers whose crashes `mark` counts.
    servers: CrashedServers,
    /// When the mark last changed.
    pub mark_changed_at: ClockTime,
    /// When the mark last changed or the request was last refused.
    pub refreshed_at: ClockTime,
    /// Whether this instance publishes the entry in its row of the store.
    published: bool,
}

/// A change of the mark of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MarkChange {
    /// The suspected request.
    pub fingerprint: RequestFingerprint,
    /// The mark before.
    pub before: SuspicionMark,
    /// The mark now.
    pub mark: SuspicionMark,
}

/// The suspected requests that one instance knows of, and its recent answers.
#[derive(Clone, Debug)]
pub struct PoisonTable {
    settings: PoisonSettings,
    /// Sorted by fingerprint.
    entries: Vec<SuspicionEntry>,
    /// Requests that this instance answered recently, oldest first.
    answers: VecDeque<(ClockTime, RequestFingerprint)>,
}

impl PoisonTable {
    /// An empty table.
    #[must_use]
    pub const fn new(settings: PoisonSettings) -> Self {
        Self {
            settings,
            entries: Vec::new(),
            answers: VecDeque::new(),
        }
    }

    /// The settings of the table.
    #[must_use]
    pub const fn settings(&self) -> &PoisonSettings {
        &self.settings
    }

    /// All entries, sorted by fingerprint.
    #[must_use]
    pub fn entries(&self) -> &[SuspicionEntry] {
        &self.entries
    }

    /// The mark of a request, or the default if it is not in the table.
    #[must_use]
    pub fn mark(&self, fingerprint: RequestFingerprint) -> SuspicionMark {
        self.find(fingerprint)
            .map_or(SuspicionMark::default(), |index| self.entries[index].mark)
    }

    /// How to handle a request.
    #[must_use]
    pub fn verdict(&self, fingerprint: RequestFingerprint, now: ClockTime) -> PoisonVerdict {
        let Ok(index) = self.find(fingerprint) else {
            return PoisonVerdict::Clear;
        };
        let entry = &self.entries[index];
        let remaining = (entry.refreshed_at + self.settings.retention).since(now);
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

    /// Whether the request may be retried after a failed attempt.
    #[must_use]
    pub fn may_retry(&self, fingerprint: RequestFingerprint) -> bool {
        self.mark(fingerprint).crashes < self.settings.single_attempt_threshold
    }

    /// Records that a request was refused, which restarts its retention.
    pub fn refused(&mut self, fingerprint: RequestFingerprint, now: ClockTime) {
        if let Ok(index) = self.find(fingerprint) {
            self.entries[index].refreshed_at = now;
        }
    }

    /// Marks a part of prompts under which servers crashed as suspected, so that other
    /// instances and later processes know these servers. Does nothing if the part is
    /// refused.
    pub fn suspect_part(
        &mut self,
        part: RequestFingerprint,
        organisation: OrganisationTag,
        servers: CrashedServers,
        now: ClockTime,
    ) -> Option<MarkChange> {
        let before = self.mark(part);
        let most = self.settings.refusal_threshold.saturating_sub(1);
        if before.crashes > most {
            return None;
        }
        let crashes = u8::try_from(servers.iter().count()).unwrap_or(most);
        let mark = SuspicionMark {
            crashes: before.crashes.max(crashes.min(most)),
            ..before
        };
        let suspicion = SharedSuspicion {
            fingerprint: part,
            organisation,
            mark,
            servers,
            age: ClockSpan::ZERO,
        };
        let change = self.learn(suspicion, true, now);
        // The servers may be new where the mark is not.
        change.or(Some(MarkChange {
            fingerprint: part,
            before: mark,
            mark,
        }))
    }

    /// The last servers whose crashes count against a request or part.
    #[must_use]
    pub fn servers(&self, fingerprint: RequestFingerprint) -> CrashedServers {
        self.crashed_servers(fingerprint, self.mark(fingerprint))
    }

    /// Marks a part of prompts that is to blame for crashes as refused.
    pub fn convict(
        &mut self,
        part: RequestFingerprint,
        organisation: OrganisationTag,
        now: ClockTime,
    ) -> Option<MarkChange> {
        let before = self.mark(part);
        // A greater mark reaches all instances, and restarts the retention there.
        let mark = SuspicionMark {
            crashes: self
                .settings
                .refusal_threshold
                .max(before.crashes.saturating_add(1)),
            ..before
        };
        let suspicion = SharedSuspicion {
            fingerprint: part,
            organisation,
            mark,
            servers: CrashedServers::default(),
            // Good answers were asked for before, so nothing is waited for.
            age: self.settings.settle_span,
        };
        self.learn(suspicion, true, now)
    }

    /// Records that a server crashed during an attempt, which started when the
    /// request had `mark_at_start`. Ignored if this crash is already counted
    /// because another instance saw it too, or if the request was answered
    /// recently.
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

    /// Records a complete answer, which resets the crashes of the request.
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

    /// Resets the crashes of a request. `None` if it has none.
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

    /// Merges a suspicion from another instance or from an earlier run of this
    /// one. If this instance answered the request recently, the crashes are reset
    /// at once, and the returned change is that reset, to be sent to the others.
    /// `published` is set for suspicions from this instance's own row.
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

    /// The suspicion against a request, to be sent to other instances.
    #[must_use]
    pub fn shared(
        &self,
        fingerprint: RequestFingerprint,
        now: ClockTime,
    ) -> Option<SharedSuspicion> {
        let index = self.find(fingerprint).ok()?;
        Some(self.entries[index].shared(now))
    }

    /// The entries for this instance's row, in descending order of suspicion
    /// and newest first among equals.
    #[must_use]
    pub fn published_entries(&self, now: ClockTime) -> Vec<SharedSuspicion> {
        let published = self.entries.iter().filter(|entry| entry.published);
        let mut published: Vec<&SuspicionEntry> = published.collect();
        published.sort_by_key(|entry| Reverse((eviction_rank(entry.mark), entry.refreshed_at)));
        published.truncate(self.settings.max_published);
        published
            .into_iter()
            .map(|entry| entry.shared(now))
            .collect()
    }

    /// Removes expired entries.
    pub fn sweep(&mut self, now: ClockTime) {
        let retention = self.settings.retention;
        self.entries
            .retain(|entry| now < entry.refreshed_at + retention);
    }

    /// The servers counted against a request, if its entry has had no reset
    /// since `mark`.
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
        let mut recent = recent
            .take_while(|(answered_at, _)| now.since(*answered_at) < self.settings.answer_span);
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
        let refreshed_at = now.as_millis().saturating_sub(suspicion.age.as_millis());
        let refreshed_at = ClockTime::from_millis(refreshed_at);
        let Ok(index) = self.find(suspicion.fingerprint) else {
            self.insert(SuspicionEntry {
                fingerprint: suspicion.fingerprint,
                organisation: suspicion.organisation,
                mark: suspicion.mark,
                servers: suspicion.servers,
                mark_changed_at: refreshed_at,
                refreshed_at,
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
        entry.mark_changed_at = refreshed_at;
        entry.refreshed_at = refreshed_at;
        Some(MarkChange {
            fingerprint: suspicion.fingerprint,
            before,
            mark: suspicion.mark,
        })
    }

    /// Inserts an entry. Evicts another one if the organisation has reached its
    /// limit, else if the table is full: the lowest rank first, then the oldest.
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
            (eviction_rank(entry.mark), entry.refreshed_at)
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
            age: now.since(self.refreshed_at),
        }
    }
}

/// Entries with the lowest rank are evicted first. A reset ranks above a single
/// crash: without it, an old mark from another instance would count again.
const fn eviction_rank(mark: SuspicionMark) -> u8 {
    match mark.crashes {
        1 => 0,
        0 => 1,
        crashes => crashes,
    }
}
