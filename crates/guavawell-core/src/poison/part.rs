//! Parts of prompts that crash the servers which begin to answer.
//!
//! Requests with such a part need not be alike, and sound requests share their other
//! parts and their organisation. A crash is evidence against the shared parts of each
//! request whose answer had not begun, or had just begun. An answer that goes on well is
//! evidence for its parts. A part is to blame if several servers crashed under it and
//! these crashes are more than a quarter of its crashes and good answers together:
//! crashes alone would blame the parts that everybody shares.

use std::collections::VecDeque;

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::poison::CrashedServers;
use crate::poison::OrganisationTag;
use crate::poison::RequestFingerprint;
use crate::poison::ServerTag;

/// Thresholds, time spans and sizes of a [`PartTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartSettings {
    /// Servers that must have crashed under a part before it is to blame.
    pub min_crashes: usize,
    /// Servers that must have crashed under a part before it is suspected.
    pub suspect_crashes: usize,
    /// Good answers that outweigh one crash.
    pub good_per_crash: usize,
    /// How long a crash counts.
    pub crash_span: ClockSpan,
    /// How long a good answer counts.
    pub good_span: ClockSpan,
    /// Most crashes that are kept of one part, the newest ones.
    pub max_crashes: usize,
    /// Most parts under suspicion.
    pub max_suspects: usize,
    /// Most parts of one organisation under suspicion.
    pub max_suspects_per_organisation: usize,
    /// Most good answers that are remembered: those of the busiest instance in
    /// `good_span`.
    pub max_good: usize,
}

impl Default for PartSettings {
    fn default() -> Self {
        Self {
            min_crashes: 4,
            suspect_crashes: 2,
            good_per_crash: 3,
            crash_span: ClockSpan::from_millis(600_000),
            good_span: ClockSpan::from_millis(60_000),
            max_crashes: 64,
            max_suspects: 1_024,
            max_suspects_per_organisation: 256,
            max_good: 16_384,
        }
    }
}

/// Good answers with a part, as far as the instances of the fleet told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GoodCount {
    /// Number of good answers.
    pub answers: usize,
    /// Instances that did not tell theirs.
    pub silent: usize,
}

/// Whether a part is to blame for the crashes under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartVerdict {
    /// There are too few crashes, or enough good answers.
    Sound,
    /// It depends on the good answers of instances that did not tell theirs.
    Undecided,
    /// The part is to blame.
    Blamed,
}

/// The crashes under one part.
#[derive(Clone, Debug)]
struct PartSuspect {
    part: RequestFingerprint,
    organisation: OrganisationTag,
    /// The servers and when their crashes became known, oldest first.
    crashes: Vec<(ClockTime, ServerTag)>,
}

/// The evidence about parts that one instance knows: the crashes under those that it
/// judges, and its own good answers.
#[derive(Clone, Debug, Default)]
pub struct PartTable {
    settings: PartSettings,
    /// Sorted by part.
    suspects: Vec<PartSuspect>,
    /// Parts of good answers, oldest first.
    good: VecDeque<(ClockTime, RequestFingerprint)>,
}

impl PartTable {
    /// A table without evidence.
    #[must_use]
    pub const fn new(settings: PartSettings) -> Self {
        Self {
            settings,
            suspects: Vec::new(),
            good: VecDeque::new(),
        }
    }

    /// Records that a server crashed while it began to answer a request with the part.
    /// Returns whether the part may be to blame now, so that good answers of all
    /// instances are to be counted.
    pub fn crashed(
        &mut self,
        part: RequestFingerprint,
        organisation: OrganisationTag,
        server: ServerTag,
        now: ClockTime,
    ) -> bool {
        let settings = self.settings;
        let place = match self.find(part) {
            Ok(place) => place,
            Err(_) => self.insert(part, organisation, now),
        };
        let crashes = &mut self.suspects[place].crashes;
        crashes.retain(|(at, _)| now.since(*at) < settings.crash_span);
        let is_known = crashes.iter().any(|(_, known)| *known == server);
        if !is_known {
            crashes.push((now, server));
            let excess = crashes.len().saturating_sub(settings.max_crashes);
            crashes.drain(..excess);
        }
        !is_known && crashes.len() >= settings.min_crashes
    }

    /// The newest servers that crashed under a part.
    #[must_use]
    pub fn last_servers(&self, part: RequestFingerprint) -> CrashedServers {
        let mut servers = CrashedServers::default();
        if let Ok(place) = self.find(part) {
            for (_, server) in &self.suspects[place].crashes {
                servers.add(*server);
            }
        }
        servers
    }

    /// Whether there are enough crashes under a part to blame it.
    #[must_use]
    pub fn may_be_to_blame(&self, part: RequestFingerprint, now: ClockTime) -> bool {
        self.crash_count(part, now) >= self.settings.min_crashes
    }

    /// Records an answer that goes on well.
    pub fn answered_well(&mut self, parts: &[RequestFingerprint], now: ClockTime) {
        let settings = self.settings;
        let is_old =
            |(at, _): &(ClockTime, RequestFingerprint)| now.since(*at) >= settings.good_span;
        while self.good.front().is_some_and(is_old) {
            self.good.pop_front();
        }
        self.good.extend(parts.iter().map(|part| (now, *part)));
        let excess = self.good.len().saturating_sub(settings.max_good);
        self.good.drain(..excess);
    }

    /// Number of good answers of this instance with the part.
    #[must_use]
    pub fn good_count(&self, part: RequestFingerprint, now: ClockTime) -> usize {
        let is_counted = |(at, good): &&(ClockTime, RequestFingerprint)| {
            *good == part && now.since(*at) < self.settings.good_span
        };
        self.good.iter().filter(is_counted).count()
    }

    /// Whether a part is to blame for the crashes under it, given the good answers of the
    /// fleet.
    #[must_use]
    pub fn verdict(
        &self,
        part: RequestFingerprint,
        good: GoodCount,
        now: ClockTime,
    ) -> PartVerdict {
        let settings = self.settings;
        let crashes = self.crash_count(part, now);
        let is_outweighed = crashes * settings.good_per_crash <= good.answers;
        if !self.may_be_to_blame(part, now) || is_outweighed {
            PartVerdict::Sound
        } else if good.silent > 0 {
            PartVerdict::Undecided
        } else {
            PartVerdict::Blamed
        }
    }

    /// Good answers in a row that clear a refused part: as many as outweigh the crashes
    /// under it, and the crashes that an earlier process knew.
    #[must_use]
    pub fn clearing_answers(&self, part: RequestFingerprint, now: ClockTime) -> usize {
        let crashes = self.crash_count(part, now).max(self.settings.min_crashes);
        crashes * self.settings.good_per_crash
    }

    /// Whether a failed attempt of a request with these parts may be retried: none of them
    /// is suspected.
    #[must_use]
    pub fn may_retry(&self, parts: &[RequestFingerprint], now: ClockTime) -> bool {
        !parts.iter().any(|part| self.is_suspected(*part, now))
    }

    /// Whether servers crashed under a part, and the good answers of this instance do not
    /// outweigh these crashes.
    #[must_use]
    pub fn is_suspected(&self, part: RequestFingerprint, now: ClockTime) -> bool {
        let crashes = self.crash_count(part, now);
        let is_outweighed = || crashes * self.settings.good_per_crash <= self.good_count(part, now);
        crashes >= self.settings.suspect_crashes && !is_outweighed()
    }

    /// Number of servers that crashed under a part.
    #[must_use]
    pub fn crash_count(&self, part: RequestFingerprint, now: ClockTime) -> usize {
        let Ok(place) = self.find(part) else {
            return 0;
        };
        let crashes = self.suspects[place].crashes.iter();
        crashes
            .filter(|(at, _)| now.since(*at) < self.settings.crash_span)
            .count()
    }

    /// Forgets the crashes under a part.
    pub fn acquit(&mut self, part: RequestFingerprint) {
        if let Ok(place) = self.find(part) {
            self.suspects.remove(place);
        }
    }

    /// Adds a part under suspicion and returns its place. Makes room for it by removing
    /// the least suspected one, of its organisation if that has too many.
    fn insert(
        &mut self,
        part: RequestFingerprint,
        organisation: OrganisationTag,
        now: ClockTime,
    ) -> usize {
        let settings = self.settings;
        let is_current = |suspect: &PartSuspect| {
            let last = suspect.crashes.last();
            last.is_some_and(|(at, _)| now.since(*at) < settings.crash_span)
        };
        self.suspects.retain(is_current);
        let is_own = |suspect: &PartSuspect| suspect.organisation == organisation;
        let own = self.suspects.iter().filter(|suspect| is_own(suspect));
        let is_over = own.count() >= settings.max_suspects_per_organisation;
        if is_over || self.suspects.len() >= settings.max_suspects {
            let suspects = self.suspects.iter().enumerate();
            let least = suspects
                .filter(|(_, suspect)| !is_over || is_own(suspect))
                .min_by_key(|(_, suspect)| {
                    (suspect.crashes.len(), suspect.crashes.last().copied())
                });
            if let Some((place, _)) = least {
                self.suspects.remove(place);
            }
        }
        let place = self.find(part).unwrap_or_else(|place| place);
        let suspect = PartSuspect {
            part,
            organisation,
            crashes: Vec::new(),
        };
        self.suspects.insert(place, suspect);
        place
    }

    fn find(&self, part: RequestFingerprint) -> Result<usize, usize> {
        self.suspects
            .binary_search_by(|suspect| suspect.part.cmp(&part))
    }
}
