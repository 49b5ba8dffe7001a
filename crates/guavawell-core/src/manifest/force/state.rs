//! The state machine of the version in force.

use super::ConfigEffect;
use super::ConfigEvent;
use super::NotInForce;
use super::VersionInForce;
use super::VersionProof;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::id::InstanceId;
use crate::id::ManifestVersion;
use crate::manifest::VersionRow;
use crate::platform::Jitter;

/// Jitter makes a pause longer by up to one part in this many.
const JITTER_PART: u64 = 4;

/// How often a router looks for a new version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigSettings {
    /// Time between two reads of the version row, less than a quarter more by
    /// jitter; after the first one any part of it.
    pub poll_interval: ClockSpan,
    /// Shortest time between two reads that peers' versions give rise to.
    pub hint_interval: ClockSpan,
    /// Time until a failed load is tried again, or an unanswered start.
    pub retry_interval: ClockSpan,
}

impl Default for ConfigSettings {
    fn default() -> Self {
        Self {
            poll_interval: ClockSpan::from_millis(4_000),
            hint_interval: ClockSpan::from_millis(200),
            retry_interval: ClockSpan::from_millis(500),
        }
    }
}

/// What has happened so far, for the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigCounts {
    /// Versions put into force.
    pub enforced: u64,
    /// Reads in which the table held an older version than the one in force.
    pub table_behind: u64,
    /// Rows of a version that is in force with other contents.
    pub forked: u64,
    /// Loads that failed.
    pub failed_loads: u64,
}

/// The version in force at one router, and what it knows of newer ones.
///
/// The version never falls, and a row of the same version with other contents
/// is not taken: the router stays with what it has and counts it.
#[derive(Clone, Debug)]
pub struct ConfigState {
    settings: ConfigSettings,
    in_force: Option<VersionInForce>,
    newest: Option<KnownRow>,
    loading: Option<KnownRow>,
    hint: Option<PeerHint>,
    none_accepted: bool,
    reading: bool,
    asking: bool,
    /// Zero before the first poll.
    next_poll: ClockTime,
    next_hint: ClockTime,
    next_load: ClockTime,
    counts: ConfigCounts,
}

/// A version that is proved to be accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
struct KnownRow {
    row: VersionRow,
    proof: VersionProof,
}

/// A version that a peer was heard to have, without its row.
#[derive(Clone, Debug)]
struct PeerHint {
    instance: InstanceId,
    version: ManifestVersion,
}

impl ConfigState {
    /// A router that has just started: nothing is in force.
    #[must_use]
    pub const fn new(settings: ConfigSettings) -> Self {
        Self {
            settings,
            in_force: None,
            newest: None,
            loading: None,
            hint: None,
            none_accepted: false,
            reading: false,
            asking: false,
            next_poll: ClockTime::from_millis(0),
            next_hint: ClockTime::from_millis(0),
            next_load: ClockTime::from_millis(0),
            counts: ConfigCounts {
                enforced: 0,
                table_behind: 0,
                forked: 0,
                failed_loads: 0,
            },
        }
    }

    /// The version in force.
    #[must_use]
    pub const fn in_force(&self) -> Option<&VersionInForce> {
        self.in_force.as_ref()
    }

    /// What has happened so far.
    #[must_use]
    pub const fn counts(&self) -> ConfigCounts {
        self.counts
    }

    /// Whether the router may take traffic.
    ///
    /// # Errors
    /// Returns [`NotInForce`] until a version is in force.
    pub fn readiness(&self) -> Result<(), NotInForce> {
        if self.in_force.is_some() {
            return Ok(());
        }
        if let Some(known) = &self.newest {
            return Err(NotInForce::Loading(known.row.version));
        }
        if self.none_accepted {
            return Err(NotInForce::NoneAccepted);
        }
        Err(NotInForce::Unknown)
    }

    /// When the next [`ConfigEvent::Tick`] is due.
    #[must_use]
    pub fn next_tick(&self) -> ClockTime {
        let mut next = self.next_poll;
        if self.hint.is_some() {
            next = next.min(self.next_hint);
        }
        if self.wanted().is_some() {
            next = next.min(self.next_load);
        }
        next
    }

    /// Takes an event; returns what to do, in order.
    pub fn step(&mut self, now: ClockTime, event: ConfigEvent) -> Vec<ConfigEffect> {
        let mut effects = Vec::new();
        match event {
            ConfigEvent::Tick { jitter } => self.poll(now, jitter, &mut effects),
            ConfigEvent::TableRead(row) => self.table_read(row, &mut effects),
            ConfigEvent::TableFailed => self.table_failed(now, &mut effects),
            ConfigEvent::PeerHint { instance, version } => self.hear(instance, version),
            ConfigEvent::PeerRow(row) => self.learn(row, VersionProof::Peers, &mut effects),
            ConfigEvent::PeersDone => self.asking = false,
            ConfigEvent::Loaded(row) => self.loaded(now, &row, &mut effects),
            ConfigEvent::LoadFailed(row) => self.load_failed(now, &row),
        }
        self.follow_hint(now, &mut effects);
        self.load_newest(now, &mut effects);
        effects
    }

    fn poll(&mut self, now: ClockTime, jitter: Jitter, effects: &mut Vec<ConfigEffect>) {
        if now < self.next_poll || self.reading {
            return;
        }
        self.next_poll = now + self.poll_pause(jitter);
        self.read_table(effects);
    }

    /// Time until the next poll. Routers that start together would go on to
    /// poll together, and a change would wait for all of them, so that the
    /// first pause is drawn from the whole interval.
    fn poll_pause(&self, jitter: Jitter) -> ClockSpan {
        let whole = self.settings.poll_interval.as_millis();
        let part = |span: u64| span * u64::from(jitter.0) / u64::from(u16::MAX);
        let pause = if self.next_poll > ClockTime::default() {
            whole + part(whole / JITTER_PART)
        } else {
            whole - part(whole)
        };
        ClockSpan::from_millis(pause)
    }

    fn read_table(&mut self, effects: &mut Vec<ConfigEffect>) {
        self.reading = true;
        effects.push(ConfigEffect::ReadTable);
    }

    fn table_read(&mut self, row: Option<VersionRow>, effects: &mut Vec<ConfigEffect>) {
        self.reading = false;
        let version = row.as_ref().map(|row| row.version).unwrap_or_default();
        self.none_accepted = row.is_none();
        if version < self.version() {
            self.counts.table_behind += 1;
        }
        if let Some(row) = row {
            self.learn(row, VersionProof::Table, effects);
        }
        // The peer is ahead of the table: its word is the better proof.
        let ahead = self.hint.take_if(|hint| hint.version > version);
        if let Some(hint) = ahead.filter(|hint| hint.version > self.known_version()) {
            self.ask_peers(Some(hint.instance), effects);
        }
        self.hint = None;
    }

    fn table_failed(&mut self, now: ClockTime, effects: &mut Vec<ConfigEffect>) {
        self.reading = false;
        if self.in_force.is_none() {
            let soon = now + self.settings.retry_interval;
            self.next_poll = self.next_poll.min(soon);
            self.ask_peers(None, effects);
        } else if let Some(hint) = self.hint.take() {
            self.ask_peers(Some(hint.instance), effects);
        }
        self.hint = None;
    }

    fn ask_peers(&mut self, instance: Option<InstanceId>, effects: &mut Vec<ConfigEffect>) {
        if self.asking {
            return;
        }
        self.asking = true;
        effects.push(ConfigEffect::AskPeers(instance));
    }

    fn hear(&mut self, instance: InstanceId, version: ManifestVersion) {
        let heard = self.hint.as_ref().map(|hint| hint.version);
        if version > self.known_version() && Some(version) > heard {
            self.hint = Some(PeerHint { instance, version });
        }
    }

    fn follow_hint(&mut self, now: ClockTime, effects: &mut Vec<ConfigEffect>) {
        if self.hint.is_none() || self.reading || now < self.next_hint {
            return;
        }
        self.next_hint = now + self.settings.hint_interval;
        self.read_table(effects);
    }

    /// Notes a row that is proved to be accepted.
    fn learn(&mut self, row: VersionRow, proof: VersionProof, effects: &mut Vec<ConfigEffect>) {
        if row.version < self.known_version() {
            return;
        }
        if let Some(in_force) = &mut self.in_force
            && in_force.row.version == row.version
        {
            if in_force.row.digest != row.digest {
                self.counts.forked += 1;
            } else if in_force.proof < proof {
                in_force.proof = proof;
                effects.push(ConfigEffect::Proved(in_force.clone()));
            }
            return;
        }
        let known = KnownRow { row, proof };
        let better = self.newest.as_ref().is_none_or(|newest| {
            (newest.row.version, newest.proof) < (known.row.version, known.proof)
        });
        if better {
            self.newest = Some(known);
        }
    }

    /// The newest known row, if it is newer than the one in force.
    fn wanted(&self) -> Option<&KnownRow> {
        let newest = self.newest.as_ref()?;
        (newest.row.version > self.version()).then_some(newest)
    }

    /// Begins a load, unless one runs, or peers may still tell a newer version.
    fn load_newest(&mut self, now: ClockTime, effects: &mut Vec<ConfigEffect>) {
        if self.loading.is_some() || now < self.next_load {
            return;
        }
        let Some(wanted) = self.wanted().cloned() else {
            return;
        };
        let fresh = self.in_force.is_none();
        if fresh && self.asking && wanted.proof == VersionProof::Peers {
            return;
        }
        effects.push(ConfigEffect::Load(wanted.row.clone()));
        self.loading = Some(wanted);
    }

    fn loaded(&mut self, now: ClockTime, row: &VersionRow, effects: &mut Vec<ConfigEffect>) {
        let Some(loading) = self.loading.take_if(|loading| loading.row == *row) else {
            return;
        };
        let newest = self.newest.as_ref().unwrap_or(&loading);
        let current = newest.row == loading.row;
        // A fresh router takes no traffic on a version that it knows to be old.
        let overtaken = self.in_force.is_none() && !current;
        let replaced = newest.row.version == loading.row.version && !current;
        if overtaken || replaced || loading.row.version <= self.version() {
            return;
        }
        let proof = if current { newest.proof } else { loading.proof };
        let in_force = VersionInForce {
            row: loading.row,
            proof,
            since: now,
        };
        self.counts.enforced += 1;
        self.in_force = Some(in_force.clone());
        effects.push(ConfigEffect::Enforce(in_force));
    }

    fn load_failed(&mut self, now: ClockTime, row: &VersionRow) {
        if self
            .loading
            .take_if(|loading| loading.row == *row)
            .is_none()
        {
            return;
        }
        self.counts.failed_loads += 1;
        self.next_load = now + self.settings.retry_interval;
    }

    /// The version in force; 0 before any.
    fn version(&self) -> ManifestVersion {
        let in_force = self.in_force.as_ref();
        in_force.map(|held| held.row.version).unwrap_or_default()
    }

    /// The newest version that is proved to be accepted; 0 before any.
    fn known_version(&self) -> ManifestVersion {
        let newest = self.newest.as_ref();
        let newest = newest.map(|known| known.row.version).unwrap_or_default();
        newest.max(self.version())
    }
}
