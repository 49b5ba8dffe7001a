//! Ids and numbers that the fleet assigns.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Wraps a plain number.
            #[must_use]
            pub const fn new(number: $inner) -> Self {
                Self(number)
            }

            /// The plain number.
            #[must_use]
            pub const fn get(self) -> $inner {
                self.0
            }

            /// The number after this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    };
}

number_id!(
    /// A shard. Organisations are assigned to shards by hash.
    ShardId,
    u16
);
number_id!(
    /// The epoch of a slot. It increases with every change of holder or witness.
    SlotEpoch,
    u64
);
number_id!(
    /// Identifies one run of an instance's process. Generated at each start; a later
    /// run has a greater id, unless the clock was set back.
    IncarnationId,
    u64
);
number_id!(
    /// The version of an accepted manifest.
    ManifestVersion,
    u64
);
number_id!(
    /// A generation of claims. The fleet starts a new one from time to time, so that
    /// the age of a claim is known.
    ClaimGeneration,
    u64
);
number_id!(
    /// A fencing token carried by commands to model engines.
    FenceNumber,
    u64
);

/// Identifies one attempt to run a request. Unique across the fleet and its
/// restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct AttemptId(u128);

impl AttemptId {
    /// Wraps a 128-bit number, which the caller draws at random.
    #[must_use]
    pub const fn new(number: u128) -> Self {
        Self(number)
    }

    /// The plain number.
    #[must_use]
    pub const fn get(self) -> u128 {
        self.0
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl FromStr for AttemptId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl TryFrom<Box<str>> for AttemptId {
    type Error = ParseIntError;

    fn try_from(text: Box<str>) -> Result<Self, ParseIntError> {
        text.parse()
    }
}

impl From<AttemptId> for Box<str> {
    fn from(id: AttemptId) -> Self {
        id.to_string().into()
    }
}
