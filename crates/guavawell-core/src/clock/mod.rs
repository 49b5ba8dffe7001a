//! Time points and durations in milliseconds, shared by the whole project.
//!
//! This module never reads a clock: callers pass the time in, and choose the
//! epoch that it counts from.

use std::fmt;
use std::num::ParseIntError;
use std::ops::Add;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// A point in time, in milliseconds since an epoch.
///
/// In production this is the Unix epoch; tests start at zero.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClockTime(u64);

/// A duration, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClockSpan(u64);

impl ClockTime {
    /// The time `millis` milliseconds after the epoch.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the epoch.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Time passed since `earlier`, or zero if `earlier` is later than `self`.
    #[must_use]
    pub const fn since(self, earlier: Self) -> ClockSpan {
        ClockSpan(self.0.saturating_sub(earlier.0))
    }

    /// The time `span` before this one; the epoch if there is none.
    #[must_use]
    pub const fn before(self, span: ClockSpan) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl ClockSpan {
    /// The empty duration.
    pub const ZERO: Self = Self(0);

    /// A duration of `millis` milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// The duration in milliseconds.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }
}

impl Add<ClockSpan> for ClockTime {
    type Output = Self;

    fn add(self, span: ClockSpan) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Add for ClockSpan {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for ClockTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for ClockTime {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

impl fmt::Display for ClockSpan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms", self.0)
    }
}

impl FromStr for ClockSpan {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.strip_suffix("ms").unwrap_or(text).trim();
        digits.parse().map(Self)
    }
}
