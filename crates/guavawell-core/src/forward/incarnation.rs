//! Identifies one run of a backend server.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use crate::id::BackendId;

/// When a backend server started, in milliseconds since the Unix epoch by its
/// own clock. Only compared with other starts of the same server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StartTime(u64);

impl StartTime {
    /// Creates a time from milliseconds since the Unix epoch.
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

/// One run of a backend server, from its start to its end. A server may start
/// again under the same id; nothing of its former state is left then.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerIncarnation {
    /// Id of the server, the same in all its incarnations.
    pub id: BackendId,
    /// When this incarnation started; `None` if the server does not state it.
    /// `None` counts as earlier than any stated time.
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
