//! Sizes, rates and shares that settings are given in.

use std::fmt;
use std::num::ParseIntError;
use std::path::Path;
use std::str::FromStr;

use log::LevelFilter;
use thiserror::Error;

macro_rules! count_unit {
    ($(#[$doc:meta])* $name:ident, $unit:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u64);

        impl $name {
            /// Wraps a plain number.
            #[must_use]
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// The plain number.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, concat!("{} ", $unit), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                let digits = text.strip_suffix($unit).unwrap_or(text).trim();
                digits.parse().map(Self)
            }
        }
    };
}

count_unit!(
    /// A size in bytes.
    ByteCount,
    "bytes"
);
count_unit!(
    /// A rate in bytes a second.
    ByteRate,
    "bytes/s"
);
count_unit!(
    /// A rate in writes a second.
    WriteRate,
    "writes/s"
);
count_unit!(
    /// A rate in reads a second.
    ReadRate,
    "reads/s"
);

impl ByteCount {
    /// The size as a length in memory.
    #[must_use]
    pub fn as_len(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

/// A share between 0 and 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct ShareRatio(f64);

/// A number that is no share.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is no share; give a number from 0 to 1")]
pub struct ShareError(Box<str>);

impl ShareRatio {
    /// Nothing.
    pub const ZERO: Self = Self(0.0);

    /// The share `number`, held between 0 and 1.
    #[must_use]
    pub const fn clamped(number: f64) -> Self {
        Self(number.clamp(0.0, 1.0))
    }

    /// The share as a plain number.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }

    /// The share in whole percent.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share is between 0 and 1"
    )]
    pub fn percent(self) -> u8 {
        (self.0 * 100.0).round() as u8
    }

    /// The share in whole thousandths.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share is between 0 and 1"
    )]
    pub fn per_mille(self) -> u64 {
        (self.0 * 1_000.0).round() as u64
    }
}

impl TryFrom<f64> for ShareRatio {
    type Error = ShareError;

    fn try_from(number: f64) -> Result<Self, ShareError> {
        if (0.0..=1.0).contains(&number) {
            Ok(Self(number))
        } else {
            Err(ShareError(number.to_string().into()))
        }
    }
}

impl fmt::Display for ShareRatio {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}", self.0)
    }
}

impl FromStr for ShareRatio {
    type Err = ShareError;

    fn from_str(text: &str) -> Result<Self, ShareError> {
        let number: f64 = text.parse().map_err(|_| ShareError(text.into()))?;
        Self::try_from(number)
    }
}

/// A secret given as text; it never shows in logs.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretText(Box<str>);

impl SecretText {
    /// Wraps a secret.
    #[must_use]
    pub fn new(text: impl Into<Box<str>>) -> Self {
        Self(text.into())
    }

    /// The secret itself.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for SecretText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SecretText(..)")
    }
}

/// The path of a file that settings name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FilePath(Box<Path>);

impl FilePath {
    /// Wraps a path.
    #[must_use]
    pub fn new(path: impl Into<Box<Path>>) -> Self {
        Self(path.into())
    }

    /// The path itself.
    #[must_use]
    pub fn as_path(&self) -> &Path {
        &self.0
    }

    /// Whether no path was given.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.as_os_str().is_empty()
    }
}

impl Default for FilePath {
    fn default() -> Self {
        Self(Path::new("").into())
    }
}

impl fmt::Display for FilePath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0.display())
    }
}

/// Where the event log goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventTarget {
    /// Nowhere.
    Off,
    /// Standard output.
    Stdout,
    /// Appended to a file.
    File(FilePath),
}

impl fmt::Display for EventTarget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Off => formatter.write_str("off"),
            Self::Stdout => formatter.write_str("-"),
            Self::File(path) => write!(formatter, "{path}"),
        }
    }
}

/// How much the log says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogLevel(LevelFilter);

/// A word that is no log level.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is no log level; use off, error, warn, info, debug or trace")]
pub struct LevelError(Box<str>);

impl LogLevel {
    /// Wraps a filter of the `log` crate.
    #[must_use]
    pub const fn new(filter: LevelFilter) -> Self {
        Self(filter)
    }

    /// The filter of the `log` crate.
    #[must_use]
    pub const fn filter(self) -> LevelFilter {
        self.0
    }
}

impl fmt::Display for LogLevel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0.as_str().to_ascii_lowercase())
    }
}

impl FromStr for LogLevel {
    type Err = LevelError;

    fn from_str(text: &str) -> Result<Self, LevelError> {
        let filter = text.parse().map_err(|_| LevelError(text.into()))?;
        Ok(Self(filter))
    }
}
