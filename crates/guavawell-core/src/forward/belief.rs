//! Which configuration an instance acts by, who told it, and when it was last
//! known to be the newest.
//!
//! Load pattern: a process does not run for seconds, or its way to the store is
//! silent, while the operator changes the configuration. What it holds is then
//! as old as the question that was answered last, however late the answer was
//! read.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::forward::FeedAge;

/// Who told a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigSource {
    /// The platform's store, to this process.
    Store,
    /// Another instance, which had it from the store. No confirmation.
    Instance,
}

impl ConfigSource {
    /// The name in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Instance => "instance",
        }
    }
}

/// What follows from something that was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BeliefStep {
    /// It comes into force.
    Take,
    /// What is in force stays.
    Keep,
    /// What is in force was told by another instance, and the store has no such
    /// version: back to what the store told last.
    Disown,
}

/// The version in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HeldVersion {
    version: u64,
    source: ConfigSource,
    /// When it came into force here.
    taken_at: ClockTime,
}

/// What an instance knows of the configuration's version. Times are of a clock
/// that counts suspensions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigBelief {
    held: Option<HeldVersion>,
    /// The newest version that the store told this process.
    stored: Option<u64>,
    /// How long ago no newer version than the held one existed.
    age: FeedAge,
    /// Revision of the newest row of the store that could not be read.
    unreadable: Option<u64>,
    /// Revision of the newest one that could.
    readable: Option<u64>,
    /// A version that the store did not have.
    disowned: Option<u64>,
}

impl ConfigBelief {
    /// The version in force.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.held.map(|held| held.version)
    }

    /// The version that may be told to other instances: one that the store told
    /// this process. A false one reaches nobody else.
    #[must_use]
    pub fn proved_version(&self) -> Option<u64> {
        let proved = self.held.filter(|held| held.source == ConfigSource::Store);
        proved.map(|held| held.version)
    }

    /// For how long newer versions may exist without being known here.
    #[must_use]
    pub const fn age(&self) -> &FeedAge {
        &self.age
    }

    /// The same, to be told of questions without an answer.
    pub const fn age_mut(&mut self) -> &mut FeedAge {
        &mut self.age
    }

    /// Whether another instance that speaks of a version knows more.
    #[must_use]
    pub fn is_behind(&self, version: u64) -> bool {
        self.disowned != Some(version) && self.version().is_none_or(|held| held < version)
    }

    /// The store answered a question sent at `asked` with a version, in a row of
    /// the given revision.
    pub fn store_told(
        &mut self,
        version: u64,
        revision: u64,
        asked: ClockTime,
        now: ClockTime,
    ) -> BeliefStep {
        self.readable = self.readable.max(Some(revision));
        self.store_has(version, asked, now)
    }

    fn store_has(&mut self, version: u64, asked: ClockTime, now: ClockTime) -> BeliefStep {
        self.stored = self.stored.max(Some(version));
        let Some(held) = self.held.filter(|held| held.version >= version) else {
            return self.take(version, ConfigSource::Store, asked, now);
        };
        if held.version == version {
            self.hold(version, ConfigSource::Store, held.taken_at);
        } else if held.source == ConfigSource::Instance && asked > held.taken_at {
            // The store had it no later than whoever told it.
            return self.disown(held, asked, now);
        }
        self.age.check(asked);
        BeliefStep::Keep
    }

    /// The store answered a question sent at `asked`: nothing has changed since
    /// its answer before.
    pub fn store_unchanged(&mut self, asked: ClockTime, now: ClockTime) -> BeliefStep {
        match self.stored {
            Some(version) if self.unreadable < self.readable => self.store_has(version, asked, now),
            _ => BeliefStep::Keep,
        }
    }

    /// The store answered with a row that cannot be read: what is in force is not
    /// the newest.
    pub fn store_unreadable(&mut self, revision: u64) {
        self.unreadable = self.unreadable.max(Some(revision));
    }

    /// Another instance answered a question sent at `asked` with a version that
    /// it had from the store, and that was the newest `age` before.
    pub fn instance_told(
        &mut self,
        version: u64,
        age: ClockSpan,
        asked: ClockTime,
        now: ClockTime,
    ) -> BeliefStep {
        let checked = asked.as_millis().saturating_sub(age.as_millis());
        let checked = ClockTime::from_millis(checked);
        if self.is_behind(version) {
            return self.take(version, ConfigSource::Instance, checked, now);
        }
        if self.version() == Some(version) {
            self.age.check_through_others(checked);
        }
        BeliefStep::Keep
    }

    fn take(
        &mut self,
        version: u64,
        source: ConfigSource,
        checked: ClockTime,
        now: ClockTime,
    ) -> BeliefStep {
        self.hold(version, source, now);
        match source {
            ConfigSource::Store => self.age.check(checked),
            ConfigSource::Instance => self.age.check_through_others(checked),
        }
        BeliefStep::Take
    }

    fn disown(&mut self, held: HeldVersion, asked: ClockTime, now: ClockTime) -> BeliefStep {
        self.disowned = Some(held.version);
        self.held = None;
        if let Some(version) = self.stored {
            self.hold(version, ConfigSource::Store, now);
        }
        self.age = FeedAge::checked(asked);
        BeliefStep::Disown
    }

    fn hold(&mut self, version: u64, source: ConfigSource, taken_at: ClockTime) {
        self.held = Some(HeldVersion {
            version,
            source,
            taken_at,
        });
    }
}
