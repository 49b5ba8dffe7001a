//! How much of what other instances write to budgets' rows one reads.
//!
//! Load pattern: 79 instances write the rows of 24 organisations, and each
//! change of a row comes whole: more than 900 KB for the 2.5 s between two
//! questions, as much as a link of 10 Mbit/s carries in 800 ms. An instance that
//! asks for every change since its last whole answer never gets one within the
//! time limit of a call, asks for ever more, and its own questions fill its link:
//! 65 of 79 instances read 900 KB in 800 ms again and again.
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
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowWindow {
    settings: FollowSettings,
    /// The time before a question whose changes it asks for; as long as the
    /// time between two questions or longer, everything is read.
    window: ClockSpan,
}

impl FollowWindow {
    /// The smallest window: right after a start of the whole fleet the changes
    /// are most.
    #[must_use]
    pub const fn new(settings: FollowSettings) -> Self {
        Self {
            window: settings.least_window,
            settings,
        }
    }

    /// The part of the time between two questions, `interval`, that is passed
    /// over.
    #[must_use]
    pub const fn passed_over(&self, interval: ClockSpan) -> ClockSpan {
        ClockSpan::from_millis(interval.as_millis().saturating_sub(self.window.as_millis()))
    }

    /// A question was answered, `extra` later than the store usually answers.
    pub fn answered(&mut self, extra: ClockSpan, interval: ClockSpan) {
        let most = self.settings.most_extra;
        let window = self.window.as_millis();
        let next = if extra > most {
            window / 2
        } else if extra.as_millis() <= most.as_millis() / 3 {
            // One step beyond what is needed, for longer pauses to come.
            (window * 2).min(interval.as_millis() * 2)
        } else {
            window
        };
        self.window = ClockSpan::from_millis(next).max(self.settings.least_window);
    }

    /// A question was not answered in time: its answer may have been too long.
    pub const fn failed(&mut self) {
        self.window = self.settings.least_window;
    }
}
