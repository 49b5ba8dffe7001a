//! One claim as a sequential object: free, held by one attempt, or sealed.

use guavawell_core::id::AttemptId;
use todc_utils::Specification;

/// The state of one request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClaimSlot {
    /// Nobody holds it.
    Free,
    /// This attempt alone may run.
    Held(AttemptId),
    /// Nothing runs any more.
    Sealed,
}

/// One operation with its answer. What got no clear answer may have had its
/// effect at any later time, or never.
#[derive(Clone, Copy, Debug)]
pub enum ClaimCall {
    /// The attempt was told that it alone may run.
    Held(AttemptId),
    /// A claim was told that this attempt has the id.
    TakenBy(AttemptId),
    /// A claim was told that the id is sealed.
    FoundSealed,
    /// A claim without a clear answer.
    MaybeHeld(AttemptId),
    /// The id was freed, at once or later.
    Freed(AttemptId),
    /// A caller was told `not_run`.
    Sealed,
    /// A held attempt was sealed.
    SealedHeld(AttemptId),
    /// A seal without a clear answer.
    MaybeSealed,
    /// A seal of a held attempt without a clear answer.
    MaybeSealedHeld(AttemptId),
    /// A refusal was told that an attempt may run.
    FoundRunning,
}

/// The sequential specification.
pub struct ClaimSpec;

impl Specification for ClaimSpec {
    type State = ClaimSlot;
    type Operation = ClaimCall;

    fn init() -> ClaimSlot {
        ClaimSlot::Free
    }

    fn apply(call: &ClaimCall, state: &ClaimSlot) -> (bool, ClaimSlot) {
        let state = *state;
        let next = match *call {
            ClaimCall::Held(attempt) if state == ClaimSlot::Free => Some(ClaimSlot::Held(attempt)),
            ClaimCall::TakenBy(attempt) if state == ClaimSlot::Held(attempt) => Some(state),
            ClaimCall::FoundSealed if state == ClaimSlot::Sealed => Some(state),
            ClaimCall::Sealed if !matches!(state, ClaimSlot::Held(_)) => Some(ClaimSlot::Sealed),
            ClaimCall::SealedHeld(attempt) if state == ClaimSlot::Held(attempt) => {
                Some(ClaimSlot::Sealed)
            }
            ClaimCall::FoundRunning if matches!(state, ClaimSlot::Held(_)) => Some(state),
            ClaimCall::MaybeHeld(attempt) => Some(match state {
                ClaimSlot::Free => ClaimSlot::Held(attempt),
                other => other,
            }),
            ClaimCall::Freed(attempt) => Some(match state {
                ClaimSlot::Held(held) if held == attempt => ClaimSlot::Free,
                other => other,
            }),
            ClaimCall::MaybeSealed => Some(match state {
                ClaimSlot::Free => ClaimSlot::Sealed,
                other => other,
            }),
            ClaimCall::MaybeSealedHeld(attempt) => Some(match state {
                ClaimSlot::Held(held) if held == attempt => ClaimSlot::Sealed,
                other => other,
            }),
            _ => None,
        };
        (next.is_some(), next.unwrap_or(state))
    }
}
