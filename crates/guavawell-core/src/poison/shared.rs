//! What instances tell each other of suspected requests.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::poison::CrashedServers;
use crate::poison::OrganisationTag;
use crate::poison::RequestFingerprint;
use crate::poison::SuspicionMark;

/// What one instance believes of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedSuspicion {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Whose it is.
    pub organisation: OrganisationTag,
    /// How far it is suspected.
    pub mark: SuspicionMark,
    /// The servers whose crashes the mark counts.
    pub servers: CrashedServers,
    /// How long the mark had not changed when this was told.
    pub age: ClockSpan,
}

/// Several of them, told at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspicionList {
    /// The store's steady time when this was told, where it lies in the store.
    pub told_at: Option<ClockTime>,
    /// The suspicions.
    pub entries: Vec<SharedSuspicion>,
}

impl SuspicionList {
    /// The entries with their ages at the store's time `now`; those of a list
    /// that was told at no known time count as just told.
    pub fn aged(&self, now: Option<ClockTime>) -> impl Iterator<Item = SharedSuspicion> {
        let passed = match (self.told_at, now) {
            (Some(told), Some(now)) => now.since(told),
            _ => ClockSpan::default(),
        };
        self.entries.iter().map(move |entry| SharedSuspicion {
            age: ClockSpan::from_millis(entry.age.as_millis().saturating_add(passed.as_millis())),
            ..*entry
        })
    }
}
