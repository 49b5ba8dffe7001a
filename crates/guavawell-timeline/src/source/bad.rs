//! Lines that hold no event, counted, the first ones kept with their place.

use std::fmt;

use super::EventPlace;

/// Bad lines kept with their place; further ones are only counted.
const KEPT_LINES: usize = 20;

/// Why a line holds no event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BadReason {
    /// The log ends within the line, as after a crash.
    Truncated,
    /// The line is longer than any event.
    TooLong,
    /// The line is no event, for this reason.
    Malformed(Box<str>),
    /// The log could not be read further.
    Unreadable(Box<str>),
}

impl fmt::Display for BadReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Truncated => formatter.write_str("the log ends within this line"),
            Self::TooLong => formatter.write_str("longer than any event"),
            Self::Malformed(why) => write!(formatter, "no event: {why}"),
            Self::Unreadable(why) => write!(formatter, "the log cannot be read further: {why}"),
        }
    }
}

/// One bad line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadLine {
    /// Where it stands.
    pub place: EventPlace,
    /// Why it holds no event.
    pub reason: BadReason,
}

/// All bad lines of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BadLineList {
    kept: Vec<BadLine>,
    count: u64,
}

impl BadLineList {
    /// Counts a bad line.
    pub fn push(&mut self, line: BadLine) {
        self.count += 1;
        if self.kept.len() < KEPT_LINES {
            self.kept.push(line);
        }
    }

    /// How many there were.
    #[must_use]
    pub const fn count(&self) -> u64 {
        self.count
    }

    /// The first ones.
    #[must_use]
    pub fn kept(&self) -> &[BadLine] {
        &self.kept
    }
}
