//! Claims and seals: what makes a non-idempotent request run at most once.
//!
//! Both lie at one place in the table, `claim/{organisation}/{request}`, so
//! that the table's conditional writes decide between them. A claim names the
//! one attempt that may run; a seal says that none ever will. A released row
//! frees the id again and, because it is a write, keeps any late claim of the
//! released attempt out. Rows are replaced, never deleted, while the id lives;
//! `crate::retention` sweeps those of old generations, and every write names
//! the generation that has to be in force.

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
/// An idempotent request may run twice, and a minted id has one attempt only.
#[must_use]
pub const fn needs_claim(identity: &RequestIdentity, idempotent: bool) -> bool {
    !identity.minted && !idempotent
}
