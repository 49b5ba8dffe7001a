//! The configuration in force at this instance, and how old it may be.
//!
//! `guavawell_core::forward::VersionTracker` decides what comes into force; this
//! folder keeps the configuration itself and what the store holds of it, and asks
//! other instances while the store does not answer.

mod others;

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use event_listener::Event;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ConfigAction;
use guavawell_core::forward::ConfigSource;
use guavawell_core::forward::ForwardConfig;
use guavawell_core::forward::PollTiming;
use guavawell_core::forward::VersionTracker;
use guavawell_core::number::fraction;
use guavawell_fleet::event::EventDraft;
use guavawell_fleet::event::EventLog;

use crate::clock::SteadyClock;
use crate::clock::wait_due;
use crate::clock::wait_while;

pub use self::others::ask_others;

/// How long after another instance spoke of a newer version the store may take
/// to tell it: in a calm fleet all know a change within milliseconds.
const HEARD_PATIENCE: ClockSpan = ClockSpan::from_millis(300);

/// Decodes a configuration as the platform's store holds it; the text says what
/// cannot be read.
pub type ConfigDecoder = Box<dyn Fn(&[u8]) -> Result<ForwardConfig, Box<str>>>;

/// What an answer of the store tells of the configuration.
#[derive(Clone, Copy, Debug)]
pub enum ConfigTold<'a> {
    /// The row's bytes and its revision.
    Row(&'a [u8], u64),
    /// Why the row of this revision cannot be read.
    Unreadable(&'a str, u64),
    /// It is still what the store told last.
    Unchanged,
}

/// What an instance tells another one of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigAnswer {
    /// The version that the store told it last.
    pub version: u64,
    /// How long ago that was surely the newest.
    pub age: ClockSpan,
    /// The row as the store holds it; empty if the asker knows it.
    pub bytes: Vec<u8>,
}

/// A configuration that the store told.
#[derive(Clone, Debug)]
struct StoredConfig {
    config: Rc<ForwardConfig>,
    bytes: Box<[u8]>,
}

/// The configuration of one process.
pub struct ConfigDesk {
    clock: SteadyClock,
    log: EventLog,
    decode: ConfigDecoder,
    belief: RefCell<VersionTracker>,
    /// What is in force.
    current: RefCell<Option<Rc<ForwardConfig>>>,
    /// What the store told last.
    stored: RefCell<Option<StoredConfig>>,
    /// Age beyond which an answer of the store is overdue.
    overdue_after: ClockSpan,
    /// Time from a question until it counts as failed.
    poll_timeout: ClockSpan,
    /// The store answered.
    answered: Event,
    /// Since when a question to the store has no answer when it should, or
    /// another instance speaks of a newer version.
    doubted_since: Cell<Option<ClockTime>>,
    doubted: Event,
}

impl ConfigDesk {
    /// A desk that knows no configuration yet.
    #[must_use]
    pub fn new(pace: PollTiming, clock: SteadyClock, log: EventLog, decode: ConfigDecoder) -> Self {
        Self {
            overdue_after: pace.overdue_after(0),
            poll_timeout: pace.poll_timeout(),
            answered: Event::new(),
            doubted_since: Cell::new(None),
            doubted: Event::new(),
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

    /// Waits for an answer of the store that is overdue, for `patience` at most.
    pub async fn await_check(&self, patience: ClockSpan) {
        let awaited = || self.is_awaited();
        if !wait_while(&self.clock, &self.answered, patience, awaited).await {
            self.belief.borrow_mut().age_mut().wait_timed_out();
        }
    }

    /// Tells the metrics how old the configuration may be.
    pub fn report_age(&self) {
        if let Some(age) = self.age() {
            let seconds = fraction(age.as_millis()) / 1_000.0;
            metrics::gauge!("guavawell_forward_config_age_seconds").set(seconds);
        }
    }

    /// The store answered a question sent at `asked`. Returns the configuration
    /// that it told, if that could be read.
    pub fn store_answered(
        &self,
        told: ConfigTold<'_>,
        asked: ClockTime,
    ) -> Option<Rc<ForwardConfig>> {
        let now = self.clock.boot_now();
        self.doubted_since.set(None);
        let (bytes, revision) = match told {
            ConfigTold::Row(bytes, revision) => (bytes, revision),
            ConfigTold::Unreadable(error, revision) => {
                self.unreadable(error, revision);
                return None;
            }
            ConfigTold::Unchanged => {
                let step = self.belief.borrow_mut().store_unchanged(asked, now);
                self.carry_out(step, None, asked, now);
                return None;
            }
        };
        let read = self.read(bytes);
        let config = read
            .inspect_err(|error| self.unreadable(error, revision))
            .ok()?;
        let mut belief = self.belief.borrow_mut();
        let step = belief.store_answered(config.version, revision, asked, now);
        drop(belief);
        self.store(&config, bytes);
        self.carry_out(step, Some(&config), asked, now);
        Some(config)
    }

    /// What is in force stays, and is known not to be the newest.
    fn unreadable(&self, error: &str, revision: u64) {
        self.belief.borrow_mut().store_unreadable(revision);
        let draft = EventDraft::new("config.unreadable")
            .field("row", revision)
            .field("error", error);
        self.log.emit(draft);
    }

    /// The store did not answer a question sent at `asked` when it should.
    pub fn unanswered(&self, asked: ClockTime) {
        let now = self.clock.boot_now();
        let mut belief = self.belief.borrow_mut();
        belief.age_mut().unanswered(asked, self.poll_timeout, now);
        drop(belief);
        self.doubt(ClockSpan::ZERO);
    }

    /// Another instance speaks of a version.
    pub fn heard(&self, version: u64) {
        if self.belief.borrow().is_behind(version) {
            self.doubt(HEARD_PATIENCE);
        }
    }

    /// Has others asked after `patience`, unless the store answers by then.
    fn doubt(&self, patience: ClockSpan) {
        let at = self.clock.now() + patience;
        let before = self.doubted_since.get();
        self.doubted_since
            .set(Some(before.map_or(at, |since| since.min(at))));
        self.doubted.notify(usize::MAX);
    }

    /// Waits until others are to be asked.
    pub async fn wait_doubted(&self) {
        let since = || self.doubted_since.get();
        wait_due(&self.clock, &self.doubted, since).await;
    }

    /// What this instance tells another one that knows a version: only what the
    /// store told this process, so that a false version goes no further.
    #[must_use]
    pub fn tell(&self, known: u64) -> Option<ConfigAnswer> {
        let belief = self.belief.borrow();
        let version = belief.confirmed_version()?;
        let age = belief.age().at(self.clock.boot_now())?;
        let stored = self.stored.borrow();
        let stored = stored
            .as_ref()
            .filter(|held| held.config.version == version);
        let bytes = stored.filter(|_| version > known);
        Some(ConfigAnswer {
            version,
            age,
            bytes: bytes.map_or(Vec::new(), |held| held.bytes.to_vec()),
        })
    }

    /// Another instance answered a question sent at `asked`; whether it put a
    /// configuration into force.
    ///
    /// # Errors
    ///
    /// It told something that cannot be what the store holds.
    pub fn instance_answered(
        &self,
        told: &ConfigAnswer,
        asked: ClockTime,
    ) -> Result<bool, Box<str>> {
        let now = self.clock.boot_now();
        if told.bytes.is_empty() {
            let mut belief = self.belief.borrow_mut();
            if !belief.is_behind(told.version) {
                belief.instance_answered(told.version, told.age, asked, now);
            }
            return Ok(false);
        }
        let config = Rc::new((self.decode)(&told.bytes)?);
        if config.version != told.version {
            let (named, held) = (told.version, config.version);
            return Err(format!("it was named {named} and is {held}").into());
        }
        let mut belief = self.belief.borrow_mut();
        let step = belief.instance_answered(told.version, told.age, asked, now);
        drop(belief);
        if step != ConfigAction::Apply {
            return Ok(false);
        }
        let asked_ago = now.since(asked).as_millis();
        let age = ClockSpan::from_millis(told.age.as_millis() + asked_ago);
        self.put_in_force(&config, ConfigSource::Instance, age);
        Ok(true)
    }

    /// Decodes a row, unless it is the one that is held already.
    fn read(&self, bytes: &[u8]) -> Result<Rc<ForwardConfig>, Box<str>> {
        let stored = self.stored.borrow();
        match stored.as_ref().filter(|stored| *stored.bytes == *bytes) {
            Some(stored) => Ok(Rc::clone(&stored.config)),
            None => (self.decode)(bytes).map(Rc::new),
        }
    }

    fn store(&self, config: &Rc<ForwardConfig>, bytes: &[u8]) {
        let mut stored = self.stored.borrow_mut();
        let newer = |held: &StoredConfig| held.config.version >= config.version;
        if !stored.as_ref().is_some_and(newer) {
            *stored = Some(StoredConfig {
                config: Rc::clone(config),
                bytes: bytes.into(),
            });
        }
    }

    /// Does what follows from an answer of the store.
    fn carry_out(
        &self,
        step: ConfigAction,
        told: Option<&Rc<ForwardConfig>>,
        asked: ClockTime,
        now: ClockTime,
    ) {
        self.answered.notify(usize::MAX);
        match (step, told) {
            (ConfigAction::Apply, Some(config)) => {
                self.put_in_force(config, ConfigSource::Store, now.since(asked));
            }
            (ConfigAction::Revert, _) => self.disown(),
            _ => {}
        }
    }

    fn put_in_force(&self, config: &Rc<ForwardConfig>, source: ConfigSource, age: ClockSpan) {
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
    fn disown(&self) {
        let stored = self.stored.borrow();
        let instead = stored.as_ref().map(|stored| Rc::clone(&stored.config));
        let version = |config: Option<&Rc<ForwardConfig>>| config.map_or(0, |held| held.version);
        let before = self.current.replace(instead.clone());
        let draft = EventDraft::new("config.disowned")
            .field("version", version(before.as_ref()))
            .field("instead", version(instead.as_ref()));
        self.log.emit(draft);
    }
}

impl fmt::Debug for ConfigDesk {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ConfigDesk")
    }
}
