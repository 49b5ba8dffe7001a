//! The degree of suspicion against a request.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Consecutive crashes of one request, and how often they were reset.
///
/// Of two marks for the same request, the greater one wins. `cleared` is
/// compared first, so a reset wins over any number of earlier crashes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SuspicionMark {
    /// Number of resets of `crashes`, each by a complete answer or an operator.
    pub cleared: u32,
    /// Consecutive crashes since the last reset. Each attempt started when the
    /// previous crash was already known.
    pub crashes: u8,
}

impl SuspicionMark {
    /// The mark after a crash during an attempt that started with this mark.
    #[must_use]
    pub const fn after_crash(self) -> Self {
        Self {
            crashes: self.crashes.saturating_add(1),
            ..self
        }
    }

    /// The mark after a complete answer, which resets the crashes.
    #[must_use]
    pub const fn after_answer(self) -> Self {
        Self {
            cleared: self.cleared.saturating_add(1),
            crashes: 0,
        }
    }
}

impl fmt::Display for SuspicionMark {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.cleared, self.crashes)
    }
}
