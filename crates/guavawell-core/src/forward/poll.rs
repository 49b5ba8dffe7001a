//! When a question for changes is asked again.
//!
//! Load pattern: a connection to the store goes silent, without a word and for
//! good, while new ones work; at times the one after it does as well. A change
//! that is confirmed right after is known only from a later question.

use crate::clock::ClockSpan;

/// Time beyond a question's wait in which the store usually answers, also one
/// that is slow; after it another question is begun beside the first.
const HEDGE_MARGIN: ClockSpan = ClockSpan::from_millis(250);
/// Time beyond a question's wait after which it counts as failed.
const TIMEOUT_MARGIN: ClockSpan = ClockSpan::from_millis(600);
/// Time after which an answer is overdue that would have counted as late: by then
/// a process that ran knows that the store does not answer.
const OVERDUE_MARGIN: ClockSpan = ClockSpan::from_millis(100);
/// Longest pause after a failure.
const MAX_FAULT_PAUSE: ClockSpan = ClockSpan::from_millis(200);
/// Part of the time in which a change is to be in force that a question waits
/// for it, as one part in so many.
const WAIT_DIVISOR: u64 = 4;
/// Bounds of that wait. Shorter ones cost calls, longer ones leave a silent
/// connection unnoticed.
const MIN_WAIT_MS: u64 = 250;
/// See [`MIN_WAIT_MS`].
const MAX_WAIT_MS: u64 = 1_000;

/// When a question for changes is asked again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollTiming {
    /// How long a question waits for a change.
    pub wait: ClockSpan,
    /// Pause after an answer.
    pub pause: ClockSpan,
    /// Further pause for each instance of the fleet, which asks the same.
    pub pause_per_instance: ClockSpan,
}

impl PollTiming {
    /// A pace at which a change is in force within `bound`: one silent
    /// connection takes half of it at most, two in a row all.
    #[must_use]
    pub fn within(bound: ClockSpan) -> Self {
        let wait = (bound.as_millis() / WAIT_DIVISOR).clamp(MIN_WAIT_MS, MAX_WAIT_MS);
        Self::without_pause(ClockSpan::from_millis(wait))
    }

    /// A pace at which each question follows the answer before it at once.
    #[must_use]
    pub const fn without_pause(wait: ClockSpan) -> Self {
        Self {
            wait,
            pause: ClockSpan::ZERO,
            pause_per_instance: ClockSpan::ZERO,
        }
    }

    /// The pause after an answer in a fleet of so many instances.
    #[must_use]
    pub fn pause_for_fleet(self, instances: usize) -> ClockSpan {
        let each = self.pause_per_instance.as_millis() * instances as u64;
        self.pause + ClockSpan::from_millis(each)
    }

    /// The time from a question until another one is begun beside it, on a
    /// connection of its own.
    #[must_use]
    pub fn hedge_after(self) -> ClockSpan {
        self.wait + HEDGE_MARGIN
    }

    /// The time from a question until it counts as failed, with whatever was
    /// begun beside it.
    #[must_use]
    pub fn poll_timeout(self) -> ClockSpan {
        self.wait + TIMEOUT_MARGIN
    }

    /// The pause after a failure: between half of the longest and all of it, so
    /// that instances which lost the store together do not come back at one
    /// moment. `draw` is uniform over all `u16`.
    #[must_use]
    pub fn fault_pause(self, draw: u16) -> ClockSpan {
        let half = MAX_FAULT_PAUSE.as_millis() / 2;
        let part = half * u64::from(draw) / u64::from(u16::MAX);
        ClockSpan::from_millis(half + part)
    }

    /// The age of what is known beyond which an answer is overdue, also at a
    /// store that is slow: it counts from the question before the open one.
    #[must_use]
    pub fn overdue_after(self, instances: usize) -> ClockSpan {
        self.poll_timeout() + self.wait + self.pause_for_fleet(instances) + OVERDUE_MARGIN
    }
}
