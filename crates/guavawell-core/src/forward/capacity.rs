//! What the settings say that an instance has: network link, processor, memory and
//! file descriptors.

use std::fmt;
use std::num::ParseFloatError;
use std::str::FromStr;

use thiserror::Error;

/// Bytes in a second that one megabit in a second is.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Why a text is not the rate of a link.
#[derive(Debug, Error)]
pub enum LinkRateError {
    /// The text is not a number.
    #[error("not a number of megabits per second: {0}")]
    NotANumber(#[from] ParseFloatError),
    /// The number is zero, negative or infinite.
    #[error("{0} megabits per second: state a number above zero, or leave the rate out")]
    OutOfRange(f64),
}

/// How much a network link carries in each direction.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct LinkRate {
    megabits: f64,
}

impl LinkRate {
    /// A rate in megabits per second.
    ///
    /// # Errors
    ///
    /// The number is not above zero, or not finite.
    pub fn from_megabits(megabits: f64) -> Result<Self, LinkRateError> {
        if megabits.is_finite() && megabits > 0.0 {
            Ok(Self { megabits })
        } else {
            Err(LinkRateError::OutOfRange(megabits))
        }
    }

    /// The rate in bytes per second.
    #[must_use]
    pub fn bytes_per_second(self) -> f64 {
        self.megabits * BYTES_PER_MEGABIT
    }
}

impl fmt::Display for LinkRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.megabits.fmt(formatter)
    }
}

impl FromStr for LinkRate {
    type Err = LinkRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::from_megabits(text.parse()?)
    }
}

/// What the settings say that an instance has; `None` where they do not say. Processor
/// time is stated, and no decision depends on it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct InstanceCapacity {
    /// Its network link.
    pub link: Option<LinkRate>,
    /// Processor time per second, in cores.
    pub cores: Option<f64>,
    /// Memory of the process, in bytes.
    pub memory: Option<usize>,
    /// File descriptors of the process.
    pub descriptors: Option<usize>,
}
