//! How old something may be that is read again and again from the platform's store.
//!
//! Load pattern: a process does not run for seconds. When it does again, the
//! store's answer from before and callers' requests are read in one go. The answer
//! is as old as its question, and what it does not tell may hold since.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// How much later than meant a process that runs looks whether an answer came.
const CHECK_DELAY: ClockSpan = ClockSpan::from_millis(300);

/// The age of what is known. Times are of a clock that counts suspensions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedAge {
    /// When the latest question was sent that was answered.
    checked_at: Option<ClockTime>,
    /// The store is known not to answer now.
    store_unreachable: bool,
}

impl FeedAge {
    /// The age of what was asked for at `at`.
    #[must_use]
    pub const fn checked(at: ClockTime) -> Self {
        Self {
            checked_at: Some(at),
            store_unreachable: false,
        }
    }

    /// The store answered a question sent at `asked`.
    pub fn check(&mut self, asked: ClockTime) {
        if self.checked_at < Some(asked) {
            *self = Self::checked(asked);
        }
    }

    /// Another instance knew as much at a time `at`. That the store answers it says
    /// nothing of the own way there.
    pub fn check_by_instance(&mut self, at: ClockTime) {
        self.checked_at = self.checked_at.max(Some(at));
    }

    /// For how long something newer may exist without being known here; `None`
    /// while nothing is known.
    #[must_use]
    pub fn at(&self, now: ClockTime) -> Option<ClockSpan> {
        Some(now.since(self.checked_at?))
    }

    /// Whether a request waits a moment for an answer that is overdue: a process
    /// that did not run is answered at once when it does again. Where the store is
    /// known to be away nobody waits.
    #[must_use]
    pub fn is_awaited(&self, overdue_after: ClockSpan, now: ClockTime) -> bool {
        !self.store_unreachable && self.at(now).is_some_and(|age| age > overdue_after)
    }

    /// A request waited in vain.
    pub const fn wait_timed_out(&mut self) {
        self.store_unreachable = true;
    }

    /// A question sent at `asked` has no answer. That says something of the store
    /// only if the process ran meanwhile: it should have come by `due_after`.
    pub fn unanswered(&mut self, asked: ClockTime, due_after: ClockSpan, now: ClockTime) {
        let was_running = now.since(asked) <= due_after + CHECK_DELAY;
        self.store_unreachable = self.store_unreachable || was_running;
    }
}
