//! Which versions of the software the servers of a service had.
//!
//! If all servers of a service had one version for as long as a stream can last, every
//! stream of the service began at that version.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::forward::ServerEntry;
use crate::id::ServiceId;
use crate::stream::SoftwareVersion;

/// Former versions that are remembered.
const MAX_FORMER: usize = 256;

/// A version that a server had until it was removed, or changed its version.
#[derive(Clone, Debug, PartialEq, Eq)]
struct FormerVersion {
    service: ServiceId,
    version: SoftwareVersion,
    /// When the server was found to have it no longer; `None` until the next sweep.
    ended_at: Option<ClockTime>,
}

/// The versions of servers that are no longer listed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct VersionHistory {
    /// Since when all versions are known.
    complete_from: Option<ClockTime>,
    /// One entry for each service and version.
    former: Vec<FormerVersion>,
}

impl VersionHistory {
    /// Records that the list of servers was read in full, so that earlier servers may
    /// be unknown.
    pub(super) const fn restart(&mut self, now: ClockTime) {
        self.complete_from = Some(now);
    }

    /// Records that a server no longer has the version of its entry.
    pub(super) fn note_end(&mut self, entry: &ServerEntry) {
        let is_same = |known: &&mut FormerVersion| {
            known.service == entry.service && known.version == entry.version
        };
        if let Some(known) = self.former.iter_mut().find(is_same) {
            known.ended_at = None;
            return;
        }
        self.former.push(FormerVersion {
            service: entry.service.clone(),
            version: entry.version.clone(),
            ended_at: None,
        });
    }

    /// Notes the time of the ends since the last call, and drops the oldest versions if
    /// there are too many.
    pub(super) fn sweep(&mut self, now: ClockTime) {
        for former in &mut self.former {
            former.ended_at.get_or_insert(now);
        }
        if self.former.len() > MAX_FORMER {
            self.former
                .sort_by_key(|former| std::cmp::Reverse(former.ended_at));
            let dropped = self.former.split_off(MAX_FORMER);
            let last = dropped.iter().filter_map(|former| former.ended_at).max();
            self.complete_from = self.complete_from.max(last);
        }
    }

    /// Whether no server of the service had another version within `span`.
    pub(super) fn held_only(
        &self,
        service: &ServiceId,
        version: &SoftwareVersion,
        span: ClockSpan,
        now: ClockTime,
    ) -> bool {
        let is_past = |at: Option<ClockTime>| at.is_some_and(|at| now.since(at) >= span);
        let is_other = |former: &&FormerVersion| {
            former.service == *service && former.version != *version && !is_past(former.ended_at)
        };
        is_past(self.complete_from) && !self.former.iter().any(|former| is_other(&former))
    }
}
