//! One request at a slot as a sequential object: free, held by one attempt,
//! charged, or sealed.

use guavawell_core::id::AttemptId;
use todc_utils::Specification;

/// What a request may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MoneySlot {
    /// Nothing runs.
    Free,
    /// This attempt may run.
    Held(AttemptId),
    /// This attempt was charged.
    Charged(AttemptId),
    /// Nothing runs any more.
    Sealed,
}

/// One operation with its answer. What got no clear answer may have had its
/// effect at any later time, or never.
#[derive(Clone, Copy, Debug)]
pub enum MoneyCall {
    /// The attempt may run; whether a float pays it.
    Granted(AttemptId, bool),
    /// A reservation without a clear answer.
    MaybeGranted(AttemptId),
    /// The rest did not cover the attempt.
    Refused,
    /// A reservation was told that this attempt runs, or was charged: the
    /// asker reads along in both cases, so they are one answer.
    Followed(AttemptId),
    /// A reservation was told that the request is sealed.
    FoundSealed,
    /// The attempt was charged.
    Settled(AttemptId),
    /// A charge that its holder has alone, or without a clear answer.
    MaybeSettled(AttemptId),
    /// A charge was told that another attempt was charged.
    FoundSettled(AttemptId),
    /// A charge was told that nothing is known of the attempt.
    Unknown(AttemptId),
    /// The attempt runs no more.
    Released(AttemptId),
    /// A release without a clear answer.
    MaybeReleased(AttemptId),
    /// Nothing runs from now on.
    Sealed,
    /// A seal without a clear answer.
    MaybeSealed,
    /// A seal was refused: an attempt runs, waits for tokens or was charged.
    FoundRunning,
}

impl MoneyCall {
    pub const fn is_unclear(&self) -> bool {
        matches!(
            self,
            Self::MaybeGranted(_)
                | Self::MaybeSettled(_)
                | Self::MaybeReleased(_)
                | Self::MaybeSealed
        )
    }
}

/// The specification of witnessed money: a request is one object.
pub struct MoneySpec;

impl Specification for MoneySpec {
    type State = MoneySlot;
    type Operation = MoneyCall;

    fn init() -> MoneySlot {
        MoneySlot::Free
    }

    fn apply(call: &MoneyCall, state: &MoneySlot) -> (bool, MoneySlot) {
        let next = step(*call, *state);
        (next.is_some(), next.unwrap_or(*state))
    }
}

/// The state after a call; `None` if its answer does not fit the state.
pub fn step(call: MoneyCall, state: MoneySlot) -> Option<MoneySlot> {
    use MoneySlot::Charged;
    use MoneySlot::Free;
    use MoneySlot::Held;
    let next = match call {
        MoneyCall::Granted(attempt, _) if state == Free || state == Held(attempt) => Held(attempt),
        MoneyCall::MaybeGranted(attempt) if state == Free => Held(attempt),
        MoneyCall::Settled(attempt) if is_named(attempt, state) => Charged(attempt),
        MoneyCall::MaybeSettled(attempt) if state == Held(attempt) => Charged(attempt),
        MoneyCall::Released(attempt) | MoneyCall::MaybeReleased(attempt)
            if state == Held(attempt) =>
        {
            Free
        }
        MoneyCall::Sealed | MoneyCall::MaybeSealed if state == Free => MoneySlot::Sealed,
        _ => return changes_nothing(call, state).then_some(state),
    };
    Some(next)
}

fn is_named(attempt: AttemptId, state: MoneySlot) -> bool {
    state == MoneySlot::Held(attempt) || state == MoneySlot::Charged(attempt)
}

/// Whether a call's answer fits a state that it leaves as it is.
fn changes_nothing(call: MoneyCall, state: MoneySlot) -> bool {
    match call {
        MoneyCall::Refused
        | MoneyCall::MaybeGranted(_)
        | MoneyCall::MaybeSettled(_)
        | MoneyCall::MaybeReleased(_)
        | MoneyCall::MaybeSealed => true,
        MoneyCall::Followed(attempt) => is_named(attempt, state),
        MoneyCall::Unknown(attempt) => !is_named(attempt, state),
        MoneyCall::FoundSettled(attempt) => state == MoneySlot::Charged(attempt),
        MoneyCall::Released(attempt) => state != MoneySlot::Charged(attempt),
        MoneyCall::FoundSealed | MoneyCall::Sealed => state == MoneySlot::Sealed,
        MoneyCall::FoundRunning => state != MoneySlot::Sealed,
        MoneyCall::Granted(..) | MoneyCall::Settled(_) => false,
    }
}
