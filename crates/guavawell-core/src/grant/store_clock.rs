//! A lower bound on the store's steady clock.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Allowance for a local clock that runs fast: one part in this many. Clocks of
/// machines drift by less than one part in 5,000.
const DRIFT_PARTS: u64 = 500;

/// The part of a local span that surely passed.
const fn sure(passed: ClockSpan) -> ClockSpan {
    let millis = passed.as_millis();
    ClockSpan::from_millis(millis - millis / DRIFT_PARTS)
}

/// An upper bound on the store's time at a process's start, and so on when the
/// process before it in the same place ended.
///
/// An answer's time was told after its question was sent, and between the start
/// and that moment so much time passed at least. A store that cannot be reached
/// for seconds after a start makes the bound no later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartBound {
    started: ClockTime,
    bound: Option<ClockTime>,
}

impl StartBound {
    /// No bound yet for a process that started at a local time.
    #[must_use]
    pub const fn new(started: ClockTime) -> Self {
        Self {
            started,
            bound: None,
        }
    }

    /// An answer to a question sent at the local time `asked` told the store's
    /// time.
    pub fn tell(&mut self, store: ClockTime, asked: ClockTime) {
        let passed = sure(asked.since(self.started)).as_millis();
        let bound = ClockTime::from_millis(store.as_millis().saturating_sub(passed));
        self.bound = Some(self.bound.map_or(bound, |known| known.min(bound)));
    }

    /// The bound, once an answer told the time.
    #[must_use]
    pub const fn get(&self) -> Option<ClockTime> {
        self.bound
    }
}

/// The store's time as far as it is proved.
///
/// It is never ahead of the store: it counts local steady time from the moment
/// an answer was received, and a suspended process only falls behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreClock {
    told: Option<(ClockTime, ClockTime)>,
}

impl StoreClock {
    /// An answer received at the local time `now` told the store's time.
    pub fn tell(&mut self, store: ClockTime, now: ClockTime) {
        if self.now(now).is_none_or(|known| store > known) {
            self.told = Some((store, now));
        }
    }

    /// The store's time, or `None` before the first answer.
    #[must_use]
    pub fn now(&self, now: ClockTime) -> Option<ClockTime> {
        let (store, received) = self.told?;
        Some(store + sure(now.since(received)))
    }
}
