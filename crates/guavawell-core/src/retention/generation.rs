//! Rules for deleting the claims of a generation, and for the attempts that may
//! still write a claim.

use crate::id::ClaimGeneration;

/// Key of the table row with the generation in force; absent while it is 0.
///
/// Every write of a claim compares the row's revision.
pub const GENERATION_KEY: &str = "retention/generation";

/// Key of the table row with the sweep's progress.
pub const SWEEP_KEY: &str = "retention/sweep";

/// Number of whole generations for which a claim is kept. Together they are as
/// long as the retention time.
pub const KEPT_GENERATIONS: u64 = 8;

/// Number of generations that may end between the start of an attempt and its
/// write.
const GRACE_GENERATIONS: u64 = 1;

/// Whether claims last written in `generation` may be deleted in `current`.
///
/// An attempt that starts at most [`KEPT_GENERATIONS`] after the claim's
/// generation and writes at most [`GRACE_GENERATIONS`] after its start still
/// finds the claim.
#[must_use]
pub const fn may_sweep(generation: ClaimGeneration, current: ClaimGeneration) -> bool {
    current.get() > generation.get() + KEPT_GENERATIONS + GRACE_GENERATIONS
}

/// When an attempt with a request id started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct AttemptStart {
    /// The last generation that the router knew when it read the request. It
    /// may be older than the one in force: the attempt may then only write for
    /// a shorter time.
    pub started_in: ClaimGeneration,
    /// The generation in which the id was first used, if the client states it.
    pub first_used_in: Option<ClaimGeneration>,
}

impl AttemptStart {
    /// An attempt that starts in `started_in` with an id of unknown age.
    #[must_use]
    pub const fn new(started_in: ClaimGeneration) -> Self {
        Self {
            started_in,
            first_used_in: None,
        }
    }

    /// Whether the attempt may still write in `current`.
    ///
    /// After that, a claim that another attempt wrote in the meantime may have
    /// been deleted, and this attempt would not notice it.
    #[must_use]
    pub const fn may_write(&self, current: ClaimGeneration) -> bool {
        current.get() <= self.started_in.get() + GRACE_GENERATIONS
    }

    /// Whether a claim of the id may have been deleted by `current`. Always
    /// `false` if the client did not state the id's age.
    #[must_use]
    pub fn may_be_swept(&self, current: ClaimGeneration) -> bool {
        self.first_used_in
            .is_some_and(|first_used_in| may_sweep(first_used_in, current))
    }
}
