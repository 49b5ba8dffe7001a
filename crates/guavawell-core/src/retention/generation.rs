//! Which generation's claims may be gone, and which tries may still write.

use crate::id::ClaimGeneration;

/// The table's row of the generation in force; absent while it is 0.
///
/// Every write of a claim compares its revision.
pub const GENERATION_KEY: &str = "retention/generation";

/// The table's row of the sweep's progress.
pub const SWEEP_KEY: &str = "retention/sweep";

/// Whole generations for which a claim is kept; the retention is as long as
/// this many generations.
pub const KEPT_GENERATIONS: u64 = 8;

/// Generations that a try may see end before it writes.
const GRACE_GENERATIONS: u64 = 1;

/// Whether claims last written in `generation` may be deleted in `current`.
///
/// A try that begins less than [`KEPT_GENERATIONS`] after a claim's own, and
/// that writes at most [`GRACE_GENERATIONS`] later than it began, still meets the claim.
#[must_use]
pub const fn may_sweep(generation: ClaimGeneration, current: ClaimGeneration) -> bool {
    current.get() > generation.get() + KEPT_GENERATIONS + GRACE_GENERATIONS
}

/// When a try of an id began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct AttemptStart {
    /// The generation that the router thought in force when it read the
    /// request. An older one than the true one is safe.
    pub started_in: ClaimGeneration,
    /// The generation in which the id was first used, if the caller names it.
    pub first_used_in: Option<ClaimGeneration>,
}

impl AttemptStart {
    /// A try that begins in `started_in`, without the caller's word on the id's age.
    #[must_use]
    pub const fn new(started_in: ClaimGeneration) -> Self {
        Self {
            started_in,
            first_used_in: None,
        }
    }

    /// Whether the try may still write in `current`.
    ///
    /// A later write could come after the sweep of a claim that was written
    /// while the try was under way.
    #[must_use]
    pub const fn may_write(&self, current: ClaimGeneration) -> bool {
        current.get() <= self.started_in.get() + GRACE_GENERATIONS
    }

    /// Whether a claim of the id may have been swept by `current`.
    #[must_use]
    pub fn may_be_swept(&self, current: ClaimGeneration) -> bool {
        self.first_used_in
            .is_some_and(|first_used_in| may_sweep(first_used_in, current))
    }
}
