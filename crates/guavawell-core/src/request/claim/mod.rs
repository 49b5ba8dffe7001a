//! Claims and seals, which make a non-idempotent request run at most once.
//!
//! Both are stored in one table row, `claim/{organisation}/{request}`, so that
//! the table's conditional writes decide which one wins. A claim names the only
//! attempt that may run. A seal means that no attempt will ever run. A release
//! frees the id again. Because a release is a write too, a delayed claim of the
//! released attempt no longer finds the revision that it expects.
//!
//! Rows are overwritten, not deleted, until `crate::retention` sweeps the rows
//! of old generations. Each write is conditional on the generation in force, so
//! that no try can write after a claim that it should have found was swept.

mod refusal;
mod row;
mod step;

pub use refusal::run_or_refuse;
pub use refusal::seal_refusal;
pub use row::ClaimRow;
pub use row::ClaimState;
pub use row::claim_key;
pub use step::ClaimEffect;
pub use step::ClaimEvent;
pub use step::ClaimGoal;
pub use step::ClaimOutcome;
pub use step::ClaimStep;

use super::identity::RequestIdentity;

/// Whether an attempt has to be claimed before its first byte is sent.
///
/// An idempotent request needs no claim, because it may run twice. A minted id
/// needs none, because it has only one attempt.
#[must_use]
pub const fn needs_claim(identity: &RequestIdentity, idempotent: bool) -> bool {
    !identity.minted && !idempotent
}
