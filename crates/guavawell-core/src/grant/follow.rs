//! How much of what other instances write to budgets' rows one reads.
//!
//! Load pattern: 79 instances write the rows of 24 organisations, and each
//! change of a row comes whole, half a megabyte a second in all. That is nearly
//! all that a link of 10 Mbit/s carries. An instance that asks for every change
//! since its last whole answer never gets one within the time limit of a call,
//! asks for ever more, and its own questions fill its link: 65 of 79 instances
//! read 900 KB in 800 ms again and again.
//!
//! What an instance does not read shows when a write of its own is turned down.
//! So it reads as large a part of the time as its link carries with ease: a
//! window before each question, which halves when an answer takes long and
//! doubles again when answers are quick.

use crate::clock::ClockSpan;

/// Bounds of the part that is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowSettings {
    /// Time beyond the store's usual answer that an answer may take: a tenth of
    /// the time between two questions of a fleet of 79 instances.
    pub most_extra: ClockSpan,
    /// The smallest window: changes of two or three rows in such a fleet.
    pub least_window: ClockSpan,
}

impl Default for FollowSettings {
    fn default() -> Self {
        Self {
            most_extra: ClockSpan::from_millis(150),
            least_window: ClockSpan::from_millis(30),
        }
    }
}

/// The part of the time whose changes are read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowWindow {
    /// The window before a question; `None` reads everything.
    window: Option<ClockSpan>,
}

impl FollowWindow {
    /// The part of the time between two questions, `interval`, that is passed
    /// over.
    #[must_use]
    pub fn passed_over(&self, interval: ClockSpan) -> ClockSpan {
        let window = self.window.unwrap_or(interval);
        ClockSpan::from_millis(interval.as_millis().saturating_sub(window.as_millis()))
    }

    /// A question was answered, `extra` later than the store usually answers.
    pub fn answered(&mut self, extra: ClockSpan, interval: ClockSpan, settings: &FollowSettings) {
        let window = self.window.unwrap_or(interval).as_millis();
        let next = if extra > settings.most_extra {
            window / 2
        } else if extra.as_millis() <= settings.most_extra.as_millis() / 3 {
            window * 2
        } else {
            window
        };
        let next = ClockSpan::from_millis(next).max(settings.least_window);
        self.window = (next < interval).then_some(next);
    }

    /// A question was not answered in time: its answer may have been too long.
    pub fn failed(&mut self, settings: &FollowSettings) {
        self.window = Some(settings.least_window);
    }
}
