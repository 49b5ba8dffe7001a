//! The configuration in force at this instance, and how old it may be.
//!
//! `guavawell_core::forward::ConfigBelief` decides what comes into force; this
//! folder keeps the configuration itself and what the store holds of it, and asks
//! other instances while the store does not answer.

mod peer_query;

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use event_listener::Event;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::BeliefStep;
use guavawell_core::forward::ConfigBelief;
use guavawell_core::forward::ConfigSource;
use guavawell_core::forward::ForwardConfig;
use guavawell_core::forward::QuestionPace;
use guavawell_core::number::fraction;
use guavawell_fleet::event::EventDraft;
use guavawell_fleet::event::EventLog;

use crate::clock::SteadyClock;
use crate::clock::wait_due;
use crate::clock::wait_while;

pub use self::peer_query::query_peers;

/// How long after another instance spoke of a newer version the store may take
/// to tell it: in a calm fleet all know a change within milliseconds.
const NEWER_VERSION_GRACE: ClockSpan = ClockSpan::from_millis(300);

/// Decodes a configuration as the platform's store holds it; the text says what
/// cannot be read.
pub type ConfigDecoder = Box<dyn Fn(&[u8]) -> Result<ForwardConfig, Box<str>>>;

/// What an answer of the store tells of the configuration.
#[derive(Clone, Copy, Debug)]
pub enum FetchedConfig<'a> {
    /// The row's bytes and its revision.
    Row(&'a [u8], u64),
    /// Why the row of this revision cannot be read.
    Unreadable(&'a str, u64),
    /// It is still what the store told last.
    Unchanged,
}

/// What an instance tells another one of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerConfig {
    /// The version that the store told it last.
    pub version: u64,
    /// How long ago that was surely the newest.
    pub age: ClockSpan,
    /// The row as the store holds it; empty if the asker knows it.
    pub bytes: Vec<u8>,
}

/// A configuration that the store told.
#[derive(Clone, Debug)]
struct CachedConfig {
    config: Rc<ForwardConfig>,
    bytes: Box<[u8]>,
}

/// The configuration of one process.
pub struct ConfigTracker {
    clock: SteadyClock,
    log: EventLog,
    decode: ConfigDecoder,
    belief: RefCell<ConfigBelief>,
    /// What is in force.
    current: RefCell<Option<Rc<ForwardConfig>>>,
    /// What the store told last.
    stored: RefCell<Option<CachedConfig>>,
    /// Age beyond which an answer of the store is overdue.
    overdue_after: ClockSpan,
    /// Time from a question until it counts as failed.
    fetch_timeout: ClockSpan,
    /// The store answered.
    store_answered: Event,
    /// Since when a question to the store has no answer when it should, or
    /// another instance speaks of a newer version.
    query_due_at: Cell<Option<ClockTime>>,
    query_wakeup: Event,
}

impl ConfigTracker {
    /// A desk that knows no configuration yet.
    #[must_use]
    pub fn new(
        pace: QuestionPace,
        clock: SteadyClock,
        log: EventLog,
        decode: ConfigDecoder,
    ) -> Self {
        Self {
            overdue_after: pace.overdue_after(0),
            fetch_timeout: pace.late_after(),
            store_answered: Event::new(),
            query_due_at: Cell::new(None),
            query_wakeup: Event::new(),
            clock,
            log,
            decode,
            belief: RefCell::default(),
            current: RefCell::default(),
            stored: RefCell::default(),
        }
    }

    /// The configuration in force, once one is known.
    #[must_use]
    pub fn current(&self) -> Option<Rc<ForwardConfig>> {
        self.current.borrow().clone()
    }

    /// For how long newer versions may exist without being known here; `None`
    /// while none is known.
    #[must_use]
    pub fn age(&self) -> Option<ClockSpan> {
        self.belief.borrow().age().at(self.clock.boot_now())
    }

    /// The version in force; 0 while none is known.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.belief.borrow().version().unwrap_or(0)
    }

    /// Whether an answer of the store is overdue, so that what is not known here
    /// may exist all the same.
    #[must_use]
    pub fn is_overdue(&self) -> bool {
        self.age().is_none_or(|age| age > self.overdue_after)
    }

    /// Whether a request waits for an answer of the store.
    #[must_use]
    pub fn is_awaited(&self) -> bool {
        let belief = self.belief.borrow();
        let now = self.clock.boot_now();
        belief.age().is_awaited(self.overdue_after, now)
    }

    /// Waits for an answer of the store that is overdue, for `max_wait` at most.
    pub async fn await_check(&self, max_wait: ClockSpan) {
        let awaited = || self.is_awaited();
        if !wait_while(&self.clock, &self.store_answered, max_wait, awaited).await {
            self.belief.borrow_mut().age_mut().waited_in_vain();
        }
    }

    /// Tells the metrics how old the configuration may be.
    pub fn report_age(&self) {
        if let Some(age) = self.age() {
            let seconds = fraction(age.as_millis()) / 1_000.0;
            metrics::gauge!("guavawell_forward_config_age_seconds").set(seconds);
        }
    }

    /// The store answered a question sent at `sent_at`. Returns the configuration
    /// that it told, if that could be read.
    pub fn store_told(
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
                let step = self.belief.borrow_mut().store_unchanged(sent_at, now);
                self.apply_step(step, None, sent_at, now);
                return None;
            }
        };
        let read = self.decode_cached(bytes);
        let config = read
            .inspect_err(|error| self.record_unreadable(error, revision))
            .ok()?;
        let mut belief = self.belief.borrow_mut();
        let step = belief.store_told(config.version, revision, sent_at, now);
        drop(belief);
        self.cache_stored(&config, bytes);
        self.apply_step(step, Some(&config), sent_at, now);
        Some(config)
    }

    /// What is in force stays, and is known not to be the newest.
    fn record_unreadable(&self, error: &str, revision: u64) {
        self.belief.borrow_mut().store_unreadable(revision);
        let draft = EventDraft::new("config.unreadable")
            .field("row", revision)
            .field("error", error);
        self.log.emit(draft);
    }

    /// The store did not answer a question sent at `sent_at` when it should.
    pub fn unanswered(&self, sent_at: ClockTime) {
        let now = self.clock.boot_now();
        let mut belief = self.belief.borrow_mut();
        belief
            .age_mut()
            .unanswered(sent_at, self.fetch_timeout, now);
        drop(belief);
        self.schedule_query(ClockSpan::ZERO);
    }

    /// Another instance speaks of a version.
    pub fn observe_version(&self, version: u64) {
        if self.belief.borrow().is_behind(version) {
            self.schedule_query(NEWER_VERSION_GRACE);
        }
    }

    /// Has others asked after `delay`, unless the store answers by then.
    fn schedule_query(&self, delay: ClockSpan) {
        let at = self.clock.now() + delay;
        let before = self.query_due_at.get();
        self.query_due_at
            .set(Some(before.map_or(at, |due| due.min(at))));
        self.query_wakeup.notify(usize::MAX);
    }

    /// Waits until others are to be asked.
    pub async fn wait_query_due(&self) {
        let due = || self.query_due_at.get();
        wait_due(&self.clock, &self.query_wakeup, due).await;
    }

    /// What this instance tells another one that knows a version: only what the
    /// store told this process, so that a false version goes no further.
    #[must_use]
    pub fn answer_peer(&self, known: u64) -> Option<PeerConfig> {
        let belief = self.belief.borrow();
        let version = belief.proved_version()?;
        let age = belief.age().at(self.clock.boot_now())?;
        let stored = self.stored.borrow();
        let stored = stored
            .as_ref()
            .filter(|held| held.config.version == version);
        let bytes = stored.filter(|_| version > known);
        Some(PeerConfig {
            version,
            age,
            bytes: bytes.map_or(Vec::new(), |held| held.bytes.to_vec()),
        })
    }

    /// Another instance answered a question sent at `sent_at`; whether it put a
    /// configuration into force.
    ///
    /// # Errors
    ///
    /// It told something that cannot be what the store holds.
    pub fn apply_peer_config(
        &self,
        answer: &PeerConfig,
        sent_at: ClockTime,
    ) -> Result<bool, Box<str>> {
        let now = self.clock.boot_now();
        if answer.bytes.is_empty() {
            let mut belief = self.belief.borrow_mut();
            if !belief.is_behind(answer.version) {
                belief.instance_told(answer.version, answer.age, sent_at, now);
            }
            return Ok(false);
        }
        let config = Rc::new((self.decode)(&answer.bytes)?);
        if config.version != answer.version {
            let (named, held) = (answer.version, config.version);
            return Err(format!("it was named {named} and is {held}").into());
        }
        let mut belief = self.belief.borrow_mut();
        let step = belief.instance_told(answer.version, answer.age, sent_at, now);
        drop(belief);
        if step != BeliefStep::Take {
            return Ok(false);
        }
        let response_ms = now.since(sent_at).as_millis();
        let age = ClockSpan::from_millis(answer.age.as_millis() + response_ms);
        self.activate(&config, ConfigSource::Instance, age);
        Ok(true)
    }

    /// Decodes a row, unless it is the one that is held already.
    fn decode_cached(&self, bytes: &[u8]) -> Result<Rc<ForwardConfig>, Box<str>> {
        let stored = self.stored.borrow();
        match stored.as_ref().filter(|stored| *stored.bytes == *bytes) {
            Some(stored) => Ok(Rc::clone(&stored.config)),
            None => (self.decode)(bytes).map(Rc::new),
        }
    }

    fn cache_stored(&self, config: &Rc<ForwardConfig>, bytes: &[u8]) {
        let mut stored = self.stored.borrow_mut();
        let newer = |held: &CachedConfig| held.config.version >= config.version;
        if !stored.as_ref().is_some_and(newer) {
            *stored = Some(CachedConfig {
                config: Rc::clone(config),
                bytes: bytes.into(),
            });
        }
    }

    /// Does what follows from an answer of the store.
    fn apply_step(
        &self,
        step: BeliefStep,
        fetched: Option<&Rc<ForwardConfig>>,
        sent_at: ClockTime,
        now: ClockTime,
    ) {
        self.store_answered.notify(usize::MAX);
        match (step, fetched) {
            (BeliefStep::Take, Some(config)) => {
                self.activate(config, ConfigSource::Store, now.since(sent_at));
            }
            (BeliefStep::Disown, _) => self.roll_back(),
            _ => {}
        }
    }

    fn activate(&self, config: &Rc<ForwardConfig>, source: ConfigSource, age: ClockSpan) {
        let before = self.current.replace(Some(Rc::clone(config)));
        let draft = EventDraft::new("config.in_force")
            .field("version", config.version)
            .field("before", before.map_or(0, |held| held.version))
            .field("source", source.as_str())
            .field("age_ms", age.as_millis())
            .field("organisations", config.organisations.len());
        self.log.emit(draft);
        metrics::gauge!("guavawell_forward_config_version").set(fraction(config.version));
    }

    /// Goes back to what the store told last.
    fn roll_back(&self) {
        let stored = self.stored.borrow();
        let replacement = stored.as_ref().map(|stored| Rc::clone(&stored.config));
        let version = |config: Option<&Rc<ForwardConfig>>| config.map_or(0, |held| held.version);
        let before = self.current.replace(replacement.clone());
        let draft = EventDraft::new("config.disowned")
            .field("version", version(before.as_ref()))
            .field("instead", version(replacement.as_ref()));
        self.log.emit(draft);
    }
}

impl fmt::Debug for ConfigTracker {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ConfigDesk")
    }
}
