//! Suspicions as instances exchange them.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::poison::CrashedServers;
use crate::poison::OrganisationTag;
use crate::poison::RequestFingerprint;
use crate::poison::SuspicionMark;

/// The suspicion of one instance against one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedSuspicion {
    /// The suspected request.
    pub fingerprint: RequestFingerprint,
    /// The organisation that sent the request.
    pub organisation: OrganisationTag,
    /// The degree of suspicion.
    pub mark: SuspicionMark,
    /// The last servers whose crashes `mark` counts.
    pub servers: CrashedServers,
    /// Time since the mark changed or the request was last refused, when this
    /// was sent.
    pub age: ClockSpan,
}

/// Suspicions that were sent or stored together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspicionList {
    /// The store's monotonic time when the list was written. `None` in a message
    /// between instances.
    #[serde(rename = "told_at")]
    pub written_at: Option<ClockTime>,
    /// The suspicions, with their ages at that time.
    pub entries: Vec<SharedSuspicion>,
}

impl SuspicionList {
    /// The entries with their ages advanced to the store's time `now`. If either
    /// time is unknown, the ages stay as they were sent.
    pub fn aged(&self, now: Option<ClockTime>) -> impl Iterator<Item = SharedSuspicion> {
        let passed = match (self.written_at, now) {
            (Some(written), Some(now)) => now.since(written),
            _ => ClockSpan::default(),
        };
        self.entries.iter().map(move |entry| SharedSuspicion {
            age: ClockSpan::from_millis(entry.age.as_millis().saturating_add(passed.as_millis())),
            ..*entry
        })
    }
}
