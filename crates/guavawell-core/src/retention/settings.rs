//! Retention settings.

use super::generation::KEPT_GENERATIONS;
use crate::clock::ClockSpan;

/// How long claims are kept, and how often progress is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionSettings {
    /// Minimum time for which a claim is kept after its last write; zero keeps
    /// claims forever.
    pub claims: ClockSpan,
    /// Maximum time between two writes of the sweep's progress.
    pub checkpoint_interval: ClockSpan,
}

impl Default for RetentionSettings {
    fn default() -> Self {
        Self {
            claims: ClockSpan::default(),
            checkpoint_interval: ClockSpan::from_millis(600_000),
        }
    }
}

impl RetentionSettings {
    /// Length of a generation.
    #[must_use]
    pub const fn generation(&self) -> ClockSpan {
        ClockSpan::from_millis(self.claims.as_millis().div_ceil(KEPT_GENERATIONS))
    }

    /// Whether claims are swept at all.
    #[must_use]
    pub const fn sweeps_claims(&self) -> bool {
        self.claims.as_millis() > 0
    }
}
