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
pub enum ConfigAction {
    /// It comes into force.
    Apply,
    /// What is in force stays.
    Keep,
    /// What is in force was told by another instance, and the store has no such
    /// version: back to what the store told last.
    Revert,
}

/// The version in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CurrentVersion {
    version: u64,
    source: ConfigSource,
    /// When it came into force here.
    applied_at: ClockTime,
}

/// What an instance knows of the configuration's version. Times are of a clock
/// that counts suspensions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionTracker {
    current: Option<CurrentVersion>,
    /// The newest version that the store told this process.
    newest_stored: Option<u64>,
    /// How long ago no newer version than the held one existed.
    age: FeedAge,
    /// Revision of the newest row of the store that could not be read.
    unreadable_revision: Option<u64>,
    /// Revision of the newest one that could.
    readable_revision: Option<u64>,
    /// A version that the store did not have.
    rejected: Option<u64>,
}

impl VersionTracker {
    /// The version in force.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.current.map(|current| current.version)
    }

    /// The version that may be told to other instances: one that the store told
    /// this process. A false one reaches nobody else.
    #[must_use]
    pub fn confirmed_version(&self) -> Option<u64> {
        let confirmed = self
            .current
            .filter(|current| current.source == ConfigSource::Store);
        confirmed.map(|current| current.version)
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
        self.rejected != Some(version) && self.version().is_none_or(|current| current < version)
    }

    /// The store answered a question sent at `asked` with a version, in a row of
    /// the given revision.
    pub fn store_answered(
        &mut self,
        version: u64,
        revision: u64,
        asked: ClockTime,
        now: ClockTime,
    ) -> ConfigAction {
        self.readable_revision = self.readable_revision.max(Some(revision));
        self.confirm_version(version, asked, now)
    }

    fn confirm_version(&mut self, version: u64, asked: ClockTime, now: ClockTime) -> ConfigAction {
        self.newest_stored = self.newest_stored.max(Some(version));
        let Some(current) = self.current.filter(|current| current.version >= version) else {
            return self.apply(version, ConfigSource::Store, asked, now);
        };
        if current.version == version {
            self.set_current(version, ConfigSource::Store, current.applied_at);
        } else if current.source == ConfigSource::Instance && asked > current.applied_at {
            // The store had it no later than whoever told it.
            return self.revert(current, asked, now);
        }
        self.age.check(asked);
        ConfigAction::Keep
    }

    /// The store answered a question sent at `asked`: nothing has changed since
    /// its answer before.
    pub fn store_unchanged(&mut self, asked: ClockTime, now: ClockTime) -> ConfigAction {
        match self.newest_stored {
            Some(version) if self.unreadable_revision < self.readable_revision => {
                self.confirm_version(version, asked, now)
            }
            _ => ConfigAction::Keep,
        }
    }

    /// The store answered with a row that cannot be read: what is in force is not
    /// the newest.
    pub fn store_unreadable(&mut self, revision: u64) {
        self.unreadable_revision = self.unreadable_revision.max(Some(revision));
    }

    /// Another instance answered a question sent at `asked` with a version that
    /// it had from the store, and that was the newest `age` before.
    pub fn instance_answered(
        &mut self,
        version: u64,
        age: ClockSpan,
        asked: ClockTime,
        now: ClockTime,
    ) -> ConfigAction {
        let confirmed_at = asked.as_millis().saturating_sub(age.as_millis());
        let confirmed_at = ClockTime::from_millis(confirmed_at);
        if self.is_behind(version) {
            return self.apply(version, ConfigSource::Instance, confirmed_at, now);
        }
        if self.version() == Some(version) {
            self.age.check_by_instance(confirmed_at);
        }
        ConfigAction::Keep
    }

    fn apply(
        &mut self,
        version: u64,
        source: ConfigSource,
        confirmed_at: ClockTime,
        now: ClockTime,
    ) -> ConfigAction {
        self.set_current(version, source, now);
        match source {
            ConfigSource::Store => self.age.check(confirmed_at),
            ConfigSource::Instance => self.age.check_by_instance(confirmed_at),
        }
        ConfigAction::Apply
    }

    fn revert(
        &mut self,
        current: CurrentVersion,
        asked: ClockTime,
        now: ClockTime,
    ) -> ConfigAction {
        self.rejected = Some(current.version);
        self.current = None;
        if let Some(version) = self.newest_stored {
            self.set_current(version, ConfigSource::Store, now);
        }
        self.age = FeedAge::checked(asked);
        ConfigAction::Revert
    }

    fn set_current(&mut self, version: u64, source: ConfigSource, applied_at: ClockTime) {
        self.current = Some(CurrentVersion {
            version,
            source,
            applied_at,
        });
    }
}
