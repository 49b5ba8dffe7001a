//! Timing of long polls for changes in the platform's store.
//!
//! Load pattern: a connection to the store goes silent for good, without an
//! error, while new connections work; at times the next connection goes silent
//! as well. A change that is committed right after a poll was sent is then seen
//! only by a later poll.

use crate::clock::ClockSpan;

/// Time after a poll's wait within which even a slow store usually responds.
/// After it, a second poll is sent while the first is still open.
const HEDGE_MARGIN: ClockSpan = ClockSpan::from_millis(250);
/// Time after a poll's wait after which the poll counts as failed.
const TIMEOUT_MARGIN: ClockSpan = ClockSpan::from_millis(600);
/// Time after the timeout of a poll after which its response is overdue. A
/// process that was running has noticed the timeout by then.
const OVERDUE_MARGIN: ClockSpan = ClockSpan::from_millis(100);
/// Longest pause after a failed poll.
const MAX_FAULT_PAUSE: ClockSpan = ClockSpan::from_millis(200);
/// A poll's wait is the time within which a change must be in force, divided by
/// this.
const MAX_WAIT_DIVISOR: u64 = 4;
/// Shortest wait of a poll; shorter ones cause more calls to the store.
const MIN_WAIT_MS: u64 = 250;
/// Longest wait of a poll; with longer ones a silent connection is noticed
/// late.
const MAX_WAIT_MS: u64 = 1_000;

/// When polls are sent, hedged and given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollTiming {
    /// How long the store holds a poll open until there is a change.
    pub wait: ClockSpan,
    /// Pause after a response.
    pub pause: ClockSpan,
    /// Additional pause for each instance of the fleet, because all of them
    /// poll the same store.
    pub pause_per_instance: ClockSpan,
}

impl PollTiming {
    /// Timing with which a change is in force within `bound`: one silent
    /// connection delays it by half of the bound at most, two in a row by all
    /// of it.
    #[must_use]
    pub fn within(bound: ClockSpan) -> Self {
        let wait = (bound.as_millis() / MAX_WAIT_DIVISOR).clamp(MIN_WAIT_MS, MAX_WAIT_MS);
        Self::without_pause(ClockSpan::from_millis(wait))
    }

    /// Timing with which each poll follows the previous response immediately.
    #[must_use]
    pub const fn without_pause(wait: ClockSpan) -> Self {
        Self {
            wait,
            pause: ClockSpan::ZERO,
            pause_per_instance: ClockSpan::ZERO,
        }
    }

    /// The pause after a response in a fleet of `instances`.
    #[must_use]
    pub fn pause_for_fleet(self, instances: usize) -> ClockSpan {
        let each = self.pause_per_instance.as_millis() * instances as u64;
        self.pause + ClockSpan::from_millis(each)
    }

    /// Time from sending a poll until a second one is sent on another
    /// connection.
    #[must_use]
    pub fn hedge_after(self) -> ClockSpan {
        self.wait + HEDGE_MARGIN
    }

    /// Time from sending a poll until it counts as failed, together with the
    /// second one.
    #[must_use]
    pub fn poll_timeout(self) -> ClockSpan {
        self.wait + TIMEOUT_MARGIN
    }

    /// The pause after a failed poll: half to all of the maximum, so that
    /// instances that lost the store together do not return at the same moment.
    /// `draw` is uniform over all `u16`.
    #[must_use]
    pub fn fault_pause(self, draw: u16) -> ClockSpan {
        let half = MAX_FAULT_PAUSE.as_millis() / 2;
        let part = half * u64::from(draw) / u64::from(u16::MAX);
        ClockSpan::from_millis(half + part)
    }

    /// Age of the data above which a response is overdue, even from a slow
    /// store. The age counts from the last answered poll, which was sent before
    /// the open one.
    #[must_use]
    pub fn overdue_after(self, instances: usize) -> ClockSpan {
        self.poll_timeout() + self.wait + self.pause_for_fleet(instances) + OVERDUE_MARGIN
    }
}
