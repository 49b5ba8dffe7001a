//! What tells one start of a backend server from another.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use crate::id::BackendId;

/// When a backend server started, in milliseconds since the Unix epoch, by its
/// own clock. Only compared with other starts of the same server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StartTime(u64);

impl StartTime {
    /// Wraps milliseconds since the Unix epoch.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }
}

impl fmt::Display for StartTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for StartTime {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// One life of a backend server. A server may start again under the id that it
/// had; it then holds nothing of what it held before.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerIncarnation {
    /// The server's id.
    pub id: BackendId,
    /// When this life began; `None` where servers do not tell. Such a life is
    /// taken for earlier than any that tells.
    pub born: Option<StartTime>,
}

impl fmt::Display for ServerIncarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born {
            Some(born) => write!(formatter, "{}@{born}", self.id),
            None => write!(formatter, "{}", self.id),
        }
    }
}
