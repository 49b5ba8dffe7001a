//! The weaker specification of money with a solo float.
//!
//! What a float paid is its holder's alone. Other holders may not know of it,
//! and a holder that was taken over unheard goes on with its float and names
//! what it knew. So a float attempt may run beside others, and may be forgotten
//! by anybody at any time; an attempt that is named was asked for and not
//! refused. Among witnessed attempts the rules stay as they are.

use guavawell_core::id::AttemptId;
use todc_utils::Specification;

use super::spec::MoneyCall;
use super::spec::MoneySlot;
use super::spec::step;

/// One of the states that a request may be in.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FloatState {
    slot: MoneySlot,
    /// Attempts granted so far, or perhaps granted.
    known: Vec<AttemptId>,
    /// Those of them that a float may have paid.
    floats: Vec<AttemptId>,
}

/// The specification; its state is every state that the request may be in.
pub struct FloatSpec;

impl Specification for FloatSpec {
    type State = Vec<FloatState>;
    type Operation = MoneyCall;

    fn init() -> Vec<FloatState> {
        vec![FloatState {
            slot: MoneySlot::Free,
            known: Vec::new(),
            floats: Vec::new(),
        }]
    }

    fn apply(call: &MoneyCall, states: &Vec<FloatState>) -> (bool, Vec<FloatState>) {
        let mut next: Vec<FloatState> = Vec::new();
        for state in states.iter().flat_map(FloatState::or_forgotten) {
            for after in state.after(*call) {
                if !next.contains(&after) {
                    next.push(after);
                }
            }
        }
        (!next.is_empty(), next)
    }
}

impl FloatState {
    /// The state itself, and the one in which a float attempt is forgotten.
    fn or_forgotten(&self) -> Vec<Self> {
        let is_float = match self.slot {
            MoneySlot::Held(attempt) | MoneySlot::Charged(attempt) => {
                self.floats.contains(&attempt)
            }
            MoneySlot::Free | MoneySlot::Sealed => false,
        };
        let forgotten = is_float.then(|| self.with(MoneySlot::Free));
        [Some(self.clone()), forgotten]
            .into_iter()
            .flatten()
            .collect()
    }

    fn with(&self, slot: MoneySlot) -> Self {
        Self {
            slot,
            ..self.clone()
        }
    }

    /// The states after a call: as of a witnessed one, or beside the slot if a
    /// float's holder alone answered.
    fn after(&self, call: MoneyCall) -> Vec<Self> {
        let beside = self.is_beside(call).then_some(self.slot);
        let mut slots: Vec<MoneySlot> = step(call, self.slot).into_iter().collect();
        slots.extend(beside.filter(|slot| !slots.contains(slot)));
        let mut states: Vec<Self> = slots.into_iter().map(|slot| self.with(slot)).collect();
        for state in &mut states {
            state.learn(call);
        }
        states
    }

    fn is_beside(&self, call: MoneyCall) -> bool {
        match call {
            MoneyCall::Granted(_, is_float) => is_float,
            MoneyCall::Followed(attempt) => self.known.contains(&attempt),
            MoneyCall::Settled(attempt)
            | MoneyCall::FoundSettled(attempt)
            | MoneyCall::Unknown(attempt)
            | MoneyCall::Released(attempt) => self.floats.contains(&attempt),
            _ => false,
        }
    }

    fn learn(&mut self, call: MoneyCall) {
        let (attempt, is_float) = match call {
            MoneyCall::Granted(attempt, is_float) => (attempt, is_float),
            MoneyCall::MaybeGranted(attempt) => (attempt, true),
            _ => return,
        };
        note(&mut self.known, attempt);
        if is_float {
            note(&mut self.floats, attempt);
        }
    }
}

fn note(attempts: &mut Vec<AttemptId>, attempt: AttemptId) {
    if let Err(place) = attempts.binary_search(&attempt) {
        attempts.insert(place, attempt);
    }
}
