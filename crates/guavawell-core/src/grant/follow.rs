//! Limits how many changes of budget rows an instance reads.
//!
//! Load pattern: 79 instances write the rows of 24 organisations, and each
//! change contains the whole row. This makes more than 900 KB in the 2.5 s
//! between two polls, for which a link of 10 Mbit/s takes 800 ms. An instance
//! that polls for every change since its last complete answer never gets an
//! answer within the time limit of a call, asks for more each time, and
//! saturates its own link: 65 of 79 instances read 900 KB in 800 ms again and
//! again.
//!
//! An instance learns of a change that it did not read when one of its own
//! writes is rejected. So it reads only as much as its link can carry easily:
//! the changes in a window of time before each poll. The window is halved when
//! an answer is slow and doubled when answers are fast.

use crate::clock::ClockSpan;

/// When the window shrinks, and how far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowSettings {
    /// Accepted latency of an answer beyond the store's usual one: a tenth of
    /// the poll interval in a fleet of 79 instances.
    pub max_extra: ClockSpan,
    /// Length of the smallest window: changes of two or three rows in such a
    /// fleet.
    pub min_window: ClockSpan,
}

impl Default for FollowSettings {
    fn default() -> Self {
        Self {
            max_extra: ClockSpan::from_millis(150),
            min_window: ClockSpan::from_millis(30),
        }
    }
}

/// The window of time before each poll whose changes are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowWindow {
    settings: FollowSettings,
    /// Length of the window. If it is at least the poll interval, all changes
    /// are read.
    window: ClockSpan,
}

impl FollowWindow {
    /// Starts with the smallest window: right after the whole fleet starts,
    /// rows change most often.
    #[must_use]
    pub const fn new(settings: FollowSettings) -> Self {
        Self {
            window: settings.min_window,
            settings,
        }
    }

    /// The part of the poll `interval` whose changes are not read.
    #[must_use]
    pub const fn skipped_span(&self, interval: ClockSpan) -> ClockSpan {
        ClockSpan::from_millis(interval.as_millis().saturating_sub(self.window.as_millis()))
    }

    /// Adjusts the window after an answer that took `extra` longer than the
    /// store usually takes.
    pub fn answered(&mut self, extra: ClockSpan, interval: ClockSpan) {
        let max_extra = self.settings.max_extra;
        let window = self.window.as_millis();
        let next = if extra > max_extra {
            window / 2
        } else if extra.as_millis() <= max_extra.as_millis() / 3 {
            // Up to twice the interval, to cover longer gaps between polls.
            (window * 2).min(interval.as_millis() * 2)
        } else {
            window
        };
        self.window = ClockSpan::from_millis(next).max(self.settings.min_window);
    }

    /// Shrinks the window after a poll without an answer in time: the answer
    /// may have been too large.
    pub const fn failed(&mut self) {
        self.window = self.settings.min_window;
    }
}
