//! Age of data that is polled from the platform's store.
//!
//! Guards against wrong conclusions after a suspension: when the process
//! resumes after seconds, it reads the store's response from before and new
//! requests of callers in one pass. The response confirms the data only as of
//! the time at which the poll was sent; the data may have changed since.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// How late a running process may notice that a response is missing. After a
/// longer delay the process counts as suspended meanwhile.
const CHECK_DELAY: ClockSpan = ClockSpan::from_millis(300);

/// Age of polled data. Times are of a clock that includes suspensions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedAge {
    /// The time as of which the data was last confirmed: when the latest
    /// answered poll was sent, by this instance or by another one.
    confirmed_at: Option<ClockTime>,
    /// Whether the store is known not to respond at present.
    store_unreachable: bool,
}

impl FeedAge {
    /// The age of data that the store confirmed as of `at`.
    #[must_use]
    pub const fn confirmed(at: ClockTime) -> Self {
        Self {
            confirmed_at: Some(at),
            store_unreachable: false,
        }
    }

    /// Records a response to a poll sent at `sent_at`. The response to an earlier
    /// poll than the latest answered one changes nothing.
    pub fn confirm(&mut self, sent_at: ClockTime) {
        if self.confirmed_at < Some(sent_at) {
            *self = Self::confirmed(sent_at);
        }
    }

    /// Records that another instance confirmed the data as of `at`. This does
    /// not show that the store responds to this instance.
    pub fn confirm_by_instance(&mut self, at: ClockTime) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// How long newer data may have existed without being known here; `None`
    /// before the first response.
    #[must_use]
    pub fn at(&self, now: ClockTime) -> Option<ClockSpan> {
        Some(now.since(self.confirmed_at?))
    }

    /// Whether a request should wait briefly for an overdue response. After a
    /// suspension, the response comes as soon as the process runs again. No
    /// request waits for a store that is known not to respond.
    #[must_use]
    pub fn is_awaited(&self, overdue_after: ClockSpan, now: ClockTime) -> bool {
        !self.store_unreachable && self.at(now).is_some_and(|age| age > overdue_after)
    }

    /// Records that a request waited and no response came.
    pub const fn wait_timed_out(&mut self) {
        self.store_unreachable = true;
    }

    /// Records that a poll sent at `sent_at` has no response, which was due
    /// `due_after` later. This shows that the store does not respond only if
    /// the process was running at that time.
    pub fn unanswered(&mut self, sent_at: ClockTime, due_after: ClockSpan, now: ClockTime) {
        let was_running = now.since(sent_at) <= due_after + CHECK_DELAY;
        self.store_unreachable = self.store_unreachable || was_running;
    }
}
