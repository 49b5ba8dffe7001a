//! A lower bound on the store's steady clock.

use crate::clock::ClockTime;

/// Allowance for a local clock that runs fast: one part in this many.
const DRIFT_PARTS: u64 = 500;

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
        let passed = now.since(received).as_millis();
        let sure = passed - passed / DRIFT_PARTS;
        Some(ClockTime::from_millis(store.as_millis() + sure))
    }
}
