//! The configuration in force at this instance, and how old it may be.
//!
//! `guavawell_core::forward::VersionTracker` decides which version comes into force.
//! This module holds the configurations themselves, and fetches newer ones from
//! other instances while the store does not answer.

mod peer_query;

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use event_listener::Event;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ConfigAction;
use guavawell_core::forward::ConfigSource;
use guavawell_core::forward::EvacuationList;
use guavawell_core::forward::ForwardConfig;
use guavawell_core::forward::PollTiming;
use guavawell_core::forward::VersionTracker;
use guavawell_core::forward::ZoneReturn;
use guavawell_core::id::ZoneId;
use guavawell_core::number::fraction;
use guavawell_fleet::event::EventDraft;
use guavawell_fleet::event::EventLog;

use crate::clock::SteadyClock;
use crate::clock::wait_due;
use crate::clock::wait_while;

pub use self::peer_query::query_peers;
pub use self::peer_query::query_round;

/// Time after which a newer version named by another instance is fetched from
/// other instances, unless the store answers first. Normally a change reaches all
/// instances within milliseconds.
const NEWER_VERSION_GRACE: ClockSpan = ClockSpan::from_millis(300);

/// Decodes a configuration row of the store; the error text names the invalid part.
pub type ConfigDecoder = Box<dyn Fn(&[u8]) -> Result<ForwardConfig, Box<str>>>;

/// The store's answer to a read of the configuration.
#[derive(Clone, Copy, Debug)]
pub enum FetchedConfig<'a> {
    /// The row's bytes and its revision.
    Row(&'a [u8], u64),
    /// Why the row cannot be decoded, and its revision.
    Unreadable(&'a str, u64),
    /// The row is the same as in the store's previous answer.
    Unchanged,
}

/// The configuration as one instance sends it to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerConfig {
    /// The version in force at the sender, which it read from the store.
    pub version: u64,
    /// Time since this version was last known to be the newest.
    pub age: ClockSpan,
    /// The row as the store holds it; empty if the receiver has this version or a
    /// newer one.
    pub bytes: Vec<u8>,
    /// The evacuated zones, which are read from the same table; `None` if the
    /// sender does not tell them.
    pub evacuations: Option<EvacuationList>,
    /// The ends of evacuations that the sender has read; `None` if it does not tell
    /// them, or has not read all changes.
    pub returns: Option<PeerReturns>,
}

/// Ends of evacuations, as one instance tells another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerReturns {
    /// The revision after which none is missing.
    pub complete_from: u64,
    /// The last one of each zone.
    pub returns: Vec<PeerReturn>,
}

/// The end of a zone's evacuation, as one instance tells another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerReturn {
    /// The zone.
    pub zone: ZoneId,
    /// Revision of the store at that time, or a later one.
    pub revision: u64,
    /// Time since the sender learned of it.
    pub age: ClockSpan,
}

/// A configuration read from the store.
#[derive(Clone, Debug)]
struct CachedConfig {
    config: Rc<ForwardConfig>,
    bytes: Box<[u8]>,
}

/// Tracks the configuration of this process.
pub struct ConfigTracker {
    clock: SteadyClock,
    log: EventLog,
    decode: ConfigDecoder,
    versions: RefCell<VersionTracker>,
    /// The configuration in force.
    current: RefCell<Option<Rc<ForwardConfig>>>,
    /// The newest configuration read from the store.
    stored: RefCell<Option<CachedConfig>>,
    /// The evacuated zones as last read from the store.
    evacuations: RefCell<EvacuationList>,
    /// The revision after which the ends of evacuations are known, and those that
    /// were read from the store; `None` while changes are unread.
    returns: RefCell<Option<(u64, Vec<ZoneReturn>)>>,
    /// Age of the configuration beyond which an answer of the store is overdue.
    overdue_after: ClockSpan,
    /// Time after which a poll of the store without an answer counts as failed.
    answer_timeout: ClockSpan,
    /// Notified on each answer of the store.
    answer_event: Event,
    /// When to query other instances: set after a poll without an answer, or when
    /// another instance names a newer version; cleared by the store's next answer.
    query_due_at: Cell<Option<ClockTime>>,
    /// Notified when a query is scheduled.
    query_wakeup: Event,
}

impl ConfigTracker {
    /// Creates a tracker without a configuration.
    #[must_use]
    pub fn new(
        timing: PollTiming,
        clock: SteadyClock,
        log: EventLog,
        decode: ConfigDecoder,
    ) -> Self {
        Self {
            overdue_after: timing.overdue_after(0),
            answer_timeout: timing.poll_timeout(),
            answer_event: Event::new(),
            query_due_at: Cell::new(None),
            query_wakeup: Event::new(),
            clock,
            log,
            decode,
            versions: RefCell::default(),
            current: RefCell::default(),
            stored: RefCell::default(),
            evacuations: RefCell::default(),
            returns: RefCell::default(),
        }
    }

    /// Sets the evacuated zones and the ends of evacuations as read from the store,
    /// for other instances.
    pub fn set_evacuations(&self, list: EvacuationList, returns: Option<(u64, Vec<ZoneReturn>)>) {
        self.evacuations.replace(list);
        self.returns.replace(returns);
    }

    /// The configuration in force, once one is known.
    #[must_use]
    pub fn current(&self) -> Option<Rc<ForwardConfig>> {
        self.current.borrow().clone()
    }

    /// Age of the configuration: for how long a newer version may have existed
    /// without being known here. `None` before the first one is known.
    #[must_use]
    pub fn age(&self) -> Option<ClockSpan> {
        self.versions.borrow().age().at(self.clock.boot_now())
    }

    /// The version in force; 0 before the first one is known.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.versions.borrow().version().unwrap_or(0)
    }

    /// Whether an answer of the store is overdue. If so, something missing from the
    /// configuration in force may still exist.
    #[must_use]
    pub fn is_overdue(&self) -> bool {
        self.age().is_none_or(|age| age > self.overdue_after)
    }

    /// Whether a request must wait for an answer of the store: one is overdue, and
    /// the store is not known to be out of reach.
    #[must_use]
    pub fn is_awaited(&self) -> bool {
        let versions = self.versions.borrow();
        let now = self.clock.boot_now();
        versions.age().is_awaited(self.overdue_after, now)
    }

    /// Waits up to `max_wait` for an overdue answer of the store.
    pub async fn await_answer(&self, max_wait: ClockSpan) {
        let awaited = || self.is_awaited();
        if !wait_while(&self.clock, &self.answer_event, max_wait, awaited).await {
            self.versions.borrow_mut().age_mut().wait_timed_out();
        }
    }

    /// Writes the age of the configuration to the metrics.
    pub fn report_age(&self) {
        if let Some(age) = self.age() {
            let seconds = fraction(age.as_millis()) / 1_000.0;
            metrics::gauge!("guavawell_forward_config_age_seconds").set(seconds);
        }
    }

    /// Processes the store's answer to a poll sent at `sent_at`. Returns the
    /// configuration if the answer holds one that can be decoded.
    pub fn store_answered(
        &self,
        fetched: FetchedConfig<'_>,
        sent_at: ClockTime,
    ) -> Option<Rc<ForwardConfig>> {
        let now = self.clock.boot_now();
        self.query_due_at.set(None);
        let (bytes, revision) = match fetched {
            FetchedConfig::Row(bytes, revision) => (bytes, revision),
            FetchedConfig::Unreadable(error, revision) => {
                self.record_unreadable(error, revision);
                return None;
            }
            FetchedConfig::Unchanged => {
                let action = self.versions.borrow_mut().store_unchanged(sent_at, now);
                self.apply_action(action, None, sent_at, now);
                return None;
            }
        };
        let decoded = self.decode_cached(bytes);
        let config = decoded
            .inspect_err(|error| self.record_unreadable(error, revision))
            .ok()?;
        let mut versions = self.versions.borrow_mut();
        let action = versions.store_answered(config.version, revision, sent_at, now);
        drop(versions);
        self.cache_stored(&config, bytes);
        self.apply_action(action, Some(&config), sent_at, now);
        Some(config)
    }

    /// Records a row that cannot be decoded. The configuration in force stays, but
    /// is known not to be the newest.
    fn record_unreadable(&self, error: &str, revision: u64) {
        self.versions.borrow_mut().store_unreadable(revision);
        let draft = EventDraft::new("config.unreadable")
            .field("row", revision)
            .field("error", error);
        self.log.emit(draft);
    }

    /// Records that a poll of the store sent at `sent_at` got no answer in time.
    pub fn unanswered(&self, sent_at: ClockTime) {
        let now = self.clock.boot_now();
        let mut versions = self.versions.borrow_mut();
        versions
            .age_mut()
            .unanswered(sent_at, self.answer_timeout, now);
        drop(versions);
        self.schedule_query(ClockSpan::ZERO);
    }

    /// Schedules a query if another instance named a version newer than the one in
    /// force.
    pub fn observe_version(&self, version: u64) {
        if self.versions.borrow().is_behind(version) {
            self.schedule_query(NEWER_VERSION_GRACE);
        }
    }

    /// Schedules a query of other instances after `delay`; an answer of the store
    /// cancels it.
    fn schedule_query(&self, delay: ClockSpan) {
        let at = self.clock.now() + delay;
        let due_at = self.query_due_at.get();
        self.query_due_at
            .set(Some(due_at.map_or(at, |due| due.min(at))));
        self.query_wakeup.notify(usize::MAX);
    }

    /// Waits until other instances are to be queried.
    pub async fn wait_query_due(&self) {
        let due = || self.query_due_at.get();
        wait_due(&self.clock, &self.query_wakeup, due).await;
    }

    /// The answer to another instance that has the version `known`. Only a
    /// configuration that this process read from the store itself is passed on, so
    /// that a forged version does not spread.
    #[must_use]
    pub fn answer_peer(&self, known: u64) -> Option<PeerConfig> {
        let versions = self.versions.borrow();
        let version = versions.confirmed_version()?;
        let age = versions.age().at(self.clock.boot_now())?;
        let stored = self.stored.borrow();
        let stored = stored
            .as_ref()
            .filter(|cached| cached.config.version == version);
        let bytes = stored.filter(|_| version > known);
        Some(PeerConfig {
            version,
            age,
            bytes: bytes.map_or(Vec::new(), |cached| cached.bytes.to_vec()),
            evacuations: Some(self.evacuations.borrow().clone()),
            returns: self.peer_returns(),
        })
    }

    fn peer_returns(&self) -> Option<PeerReturns> {
        let now = self.clock.now();
        let known = self.returns.borrow();
        let (complete_from, returns) = known.as_ref()?;
        let told = returns.iter().map(|known| PeerReturn {
            zone: known.zone.clone(),
            revision: known.revision,
            age: now.since(known.at),
        });
        Some(PeerReturns {
            complete_from: *complete_from,
            returns: told.collect(),
        })
    }

    /// Processes another instance's answer to a query sent at `sent_at`; true if its
    /// configuration came into force.
    ///
    /// # Errors
    ///
    /// The row cannot be decoded, or has another version than the answer names.
    pub fn apply_peer_config(
        &self,
        answer: &PeerConfig,
        sent_at: ClockTime,
    ) -> Result<bool, Box<str>> {
        let now = self.clock.boot_now();
        if answer.bytes.is_empty() {
            let mut versions = self.versions.borrow_mut();
            if !versions.is_behind(answer.version) {
                versions.instance_answered(answer.version, answer.age, sent_at, now);
            }
            return Ok(false);
        }
        let config = Rc::new((self.decode)(&answer.bytes)?);
        if config.version != answer.version {
            let (named, held) = (answer.version, config.version);
            return Err(format!("the answer names version {named}, its row has {held}").into());
        }
        let mut versions = self.versions.borrow_mut();
        let action = versions.instance_answered(answer.version, answer.age, sent_at, now);
        drop(versions);
        if action != ConfigAction::Apply {
            return Ok(false);
        }
        let response_ms = now.since(sent_at).as_millis();
        let age = ClockSpan::from_millis(answer.age.as_millis() + response_ms);
        self.activate(&config, ConfigSource::Instance, age);
        Ok(true)
    }

    /// Decodes a row, or returns the cached configuration of the same bytes.
    fn decode_cached(&self, bytes: &[u8]) -> Result<Rc<ForwardConfig>, Box<str>> {
        let stored = self.stored.borrow();
        match stored.as_ref().filter(|stored| *stored.bytes == *bytes) {
            Some(stored) => Ok(Rc::clone(&stored.config)),
            None => (self.decode)(bytes).map(Rc::new),
        }
    }

    fn cache_stored(&self, config: &Rc<ForwardConfig>, bytes: &[u8]) {
        let mut stored = self.stored.borrow_mut();
        let newer = |cached: &CachedConfig| cached.config.version >= config.version;
        if !stored.as_ref().is_some_and(newer) {
            *stored = Some(CachedConfig {
                config: Rc::clone(config),
                bytes: bytes.into(),
            });
        }
    }

    /// Carries out the action that an answer of the store requires, and wakes the
    /// requests that wait for the answer.
    fn apply_action(
        &self,
        action: ConfigAction,
        fetched: Option<&Rc<ForwardConfig>>,
        sent_at: ClockTime,
        now: ClockTime,
    ) {
        self.answer_event.notify(usize::MAX);
        match (action, fetched) {
            (ConfigAction::Apply, Some(config)) => {
                self.activate(config, ConfigSource::Store, now.since(sent_at));
            }
            (ConfigAction::Revert, _) => self.revert(),
            _ => {}
        }
    }

    fn activate(&self, config: &Rc<ForwardConfig>, source: ConfigSource, age: ClockSpan) {
        let previous = self.current.replace(Some(Rc::clone(config)));
        let draft = EventDraft::new("config.in_force")
            .field("version", config.version)
            .field("before", previous.map_or(0, |config| config.version))
            .field("source", source.as_str())
            .field("age_ms", age.as_millis())
            .field("organisations", config.organisations.len());
        self.log.emit(draft);
        metrics::gauge!("guavawell_forward_config_version").set(fraction(config.version));
    }

    /// Goes back to the newest configuration read from the store, because the store
    /// does not hold the one that another instance sent.
    fn revert(&self) {
        let stored = self.stored.borrow();
        let replacement = stored.as_ref().map(|stored| Rc::clone(&stored.config));
        let version =
            |config: Option<&Rc<ForwardConfig>>| config.map_or(0, |config| config.version);
        let previous = self.current.replace(replacement.clone());
        let draft = EventDraft::new("config.disowned")
            .field("version", version(previous.as_ref()))
            .field("instead", version(replacement.as_ref()));
        self.log.emit(draft);
    }
}

impl fmt::Debug for ConfigTracker {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ConfigTracker")
    }
}
