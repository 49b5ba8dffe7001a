//! Notices that the process did not run, and what it can't know after that.
//!
//! Guards against requests that a process sends by what it read before it was
//! suspended: they have come in meanwhile and are sent at once, before the store's
//! next response is read. A zone may have been evacuated and taken back meanwhile, so
//! that its servers are cold.
//!
//! Load pattern: a full processor. Timers are late then as well, though what was read
//! is no older than usual. A thread that is ready to run uses the processor or waits for
//! it; a suspended one does neither.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Time of a thread that neither ran nor waited for a processor above which the process
/// counts as suspended. What it read is then clearly older than what a running process
/// knows, which polls all the time.
const MAX_IDLE: ClockSpan = ClockSpan::from_millis(300);
/// Longest time for which requests wait for the store after a suspension: a response
/// usually takes less, and a store without one must not keep them for long.
const MAX_DOUBT: ClockSpan = ClockSpan::from_millis(250);

/// What the system tells of a thread since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessorTime {
    /// Time on a processor.
    pub used: ClockSpan,
    /// Time for which it was ready and waited for a processor.
    pub waited: ClockSpan,
}

/// Detects suspensions from regular observations. Times are of a clock that includes
/// suspensions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SuspensionWatch {
    last: Option<(ClockTime, ProcessorTime)>,
}

impl SuspensionWatch {
    /// Whether the last observation is so long ago that the process may have been
    /// suspended since.
    #[must_use]
    pub fn is_late(&self, now: ClockTime) -> bool {
        self.last.is_some_and(|(at, _)| now.since(at) > MAX_IDLE)
    }

    /// Records an observation. Returns for how long the process did not run since the
    /// last one, if it was suspended. A running process must make several observations
    /// within the longest idle time.
    pub fn observe(&mut self, now: ClockTime, time: ProcessorTime) -> Option<ClockSpan> {
        let (at, before) = self.last.replace((now, time))?;
        let used = time
            .used
            .as_millis()
            .saturating_sub(before.used.as_millis());
        let waited = time
            .waited
            .as_millis()
            .saturating_sub(before.waited.as_millis());
        let idle = now.since(at).as_millis().saturating_sub(used + waited);
        Some(ClockSpan::from_millis(idle)).filter(|idle| *idle > MAX_IDLE)
    }
}

/// A doubt whether zones were evacuated and taken back while the process was suspended.
/// It ends with the response to a query that was sent later, or after some time: a store
/// that does not respond keeps no request waiting. Times are of a clock that includes
/// suspensions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneDoubt {
    since: Option<ClockTime>,
}

impl ZoneDoubt {
    /// Records that the process runs again.
    pub const fn begin(&mut self, now: ClockTime) {
        self.since = Some(now);
    }

    /// Records the response to a query that was sent at `sent_at`. Returns whether it
    /// ends the doubt.
    pub fn confirm(&mut self, sent_at: ClockTime) -> bool {
        let is_later = self.since.is_some_and(|since| sent_at >= since);
        if is_later {
            self.since = None;
        }
        is_later
    }

    /// Since when there is a doubt; `None` if there is none or it has ended.
    #[must_use]
    pub fn since(&self, now: ClockTime) -> Option<ClockTime> {
        self.since.filter(|since| now.since(*since) < MAX_DOUBT)
    }

    /// How much longer the doubt lasts.
    #[must_use]
    pub fn left(&self, now: ClockTime) -> ClockSpan {
        let since = self.since(now);
        since.map_or(ClockSpan::ZERO, |since| (since + MAX_DOUBT).since(now))
    }
}
