//! Tracks which configuration version is in force, where it came from, and when
//! it was last known to be the newest.
//!
//! Guards against treating an old version as the newest: a process may be
//! suspended for seconds, or lose its connection to the store, while the
//! operator changes the configuration. However late a response is read, it
//! confirms a version only as of the time at which the poll was sent.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::forward::FeedAge;

/// Where a configuration came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigSource {
    /// This process read it from the platform's store.
    Store,
    /// Another instance sent it, which had read it from the store. The store
    /// has not confirmed it to this process.
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

/// What to do after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigAction {
    /// Put the received version into force.
    Apply,
    /// Keep the version that is in force.
    Keep,
    /// Go back to the newest version that this process read from the store. The
    /// version in force came from another instance, and the store does not have
    /// it.
    Revert,
}

/// The version in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CurrentVersion {
    version: u64,
    source: ConfigSource,
    /// When it came into force at this instance.
    applied_at: ClockTime,
}

/// What an instance knows of the configuration's versions. Times are of a clock
/// that includes suspensions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionTracker {
    current: Option<CurrentVersion>,
    /// The newest version that this process read from the store.
    newest_stored: Option<u64>,
    /// How long ago the version in force was known to be the newest.
    age: FeedAge,
    /// Revision of the newest row of the store that could not be decoded.
    unreadable_revision: Option<u64>,
    /// Revision of the newest row of the store that could be decoded.
    readable_revision: Option<u64>,
    /// A version from another instance that the store did not have.
    rejected: Option<u64>,
}

impl VersionTracker {
    /// The version in force.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.current.map(|current| current.version)
    }

    /// The version that may be sent to other instances: only one that this
    /// process read from the store, so that a false version does not spread.
    #[must_use]
    pub fn confirmed_version(&self) -> Option<u64> {
        let confirmed = self
            .current
            .filter(|current| current.source == ConfigSource::Store);
        confirmed.map(|current| current.version)
    }

    /// How long newer versions may have existed without being known here.
    #[must_use]
    pub const fn age(&self) -> &FeedAge {
        &self.age
    }

    /// Mutable access to [`age`](Self::age), for recording polls without a
    /// response.
    pub const fn age_mut(&mut self) -> &mut FeedAge {
        &mut self.age
    }

    /// Whether another instance that announces `version` has a newer one. A
    /// version that the store did not have does not count.
    #[must_use]
    pub fn is_behind(&self, version: u64) -> bool {
        self.rejected != Some(version) && self.version().is_none_or(|current| current < version)
    }

    /// Records the store's response to a poll sent at `sent_at`: `version`, in a
    /// row of the given revision.
    pub fn store_answered(
        &mut self,
        version: u64,
        revision: u64,
        sent_at: ClockTime,
        now: ClockTime,
    ) -> ConfigAction {
        self.readable_revision = self.readable_revision.max(Some(revision));
        self.confirm_version(version, sent_at, now)
    }

    fn confirm_version(
        &mut self,
        version: u64,
        sent_at: ClockTime,
        now: ClockTime,
    ) -> ConfigAction {
        self.newest_stored = self.newest_stored.max(Some(version));
        let Some(current) = self.current.filter(|current| current.version >= version) else {
            return self.apply(version, ConfigSource::Store, sent_at, now);
        };
        if current.version == version {
            self.set_current(version, ConfigSource::Store, current.applied_at);
        } else if current.source == ConfigSource::Instance && sent_at > current.applied_at {
            // Other instances send only what they read from the store, so the
            // store would still return this version or a newer one.
            return self.revert(current, sent_at, now);
        }
        self.age.confirm(sent_at);
        ConfigAction::Keep
    }

    /// Records the store's response to a poll sent at `sent_at`: nothing has
    /// changed since its previous response. This confirms the newest stored
    /// version, unless the row changed to one that could not be decoded.
    pub fn store_unchanged(&mut self, sent_at: ClockTime, now: ClockTime) -> ConfigAction {
        match self.newest_stored {
            Some(version) if self.unreadable_revision < self.readable_revision => {
                self.confirm_version(version, sent_at, now)
            }
            _ => ConfigAction::Keep,
        }
    }

    /// Records a response with a row that could not be decoded: the version in
    /// force is not the newest.
    pub fn store_unreadable(&mut self, revision: u64) {
        self.unreadable_revision = self.unreadable_revision.max(Some(revision));
    }

    /// Records another instance's response to a request sent at `sent_at`: a
    /// version that it read from the store, and that was known to be the newest
    /// `age` before.
    pub fn instance_answered(
        &mut self,
        version: u64,
        age: ClockSpan,
        sent_at: ClockTime,
        now: ClockTime,
    ) -> ConfigAction {
        let confirmed_at = sent_at.as_millis().saturating_sub(age.as_millis());
        let confirmed_at = ClockTime::from_millis(confirmed_at);
        if self.is_behind(version) {
            return self.apply(version, ConfigSource::Instance, confirmed_at, now);
        }
        if self.version() == Some(version) {
            self.age.confirm_by_instance(confirmed_at);
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
            ConfigSource::Store => self.age.confirm(confirmed_at),
            ConfigSource::Instance => self.age.confirm_by_instance(confirmed_at),
        }
        ConfigAction::Apply
    }

    fn revert(
        &mut self,
        current: CurrentVersion,
        sent_at: ClockTime,
        now: ClockTime,
    ) -> ConfigAction {
        self.rejected = Some(current.version);
        self.current = None;
        if let Some(version) = self.newest_stored {
            self.set_current(version, ConfigSource::Store, now);
        }
        self.age = FeedAge::confirmed(sent_at);
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
