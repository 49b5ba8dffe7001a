//! Rates of operations on the platform.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

const MILLI: u64 = 1_000;

/// A rate of writes or reads, in thousandths of an operation per second.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PlatformRate(u64);

impl PlatformRate {
    /// No operations.
    pub const ZERO: Self = Self(0);

    /// Creates a rate from whole operations per second.
    #[must_use]
    pub const fn per_second(operations: u64) -> Self {
        Self(operations.saturating_mul(MILLI))
    }

    /// Creates a rate from thousandths of an operation per second.
    #[must_use]
    pub const fn from_milli(milli: u64) -> Self {
        Self(milli)
    }

    /// The rate in thousandths of an operation per second.
    #[must_use]
    pub const fn as_milli(self) -> u64 {
        self.0
    }

    /// The rate times `dividend / divisor`; a divisor of 0 counts as 1.
    #[must_use]
    pub const fn fraction(self, dividend: u64, divisor: u64) -> Self {
        let divisor = if divisor == 0 { 1 } else { divisor };
        Self(self.0.saturating_mul(dividend) / divisor)
    }

    /// The sum of two rates, limited to the largest rate.
    #[must_use]
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// The rate minus `other`, at least zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for PlatformRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{:03}/s", self.0 / MILLI, self.0 % MILLI)
    }
}
