//! Bounds on the time of the store's monotonic clock.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Allowance for a local clock that runs fast: one part in this many. Clocks of
/// machines drift by less than one part in 5,000.
const DRIFT_DIVISOR: u64 = 500;

/// The least time that can have elapsed while the local clock advanced by
/// `passed`.
const fn min_elapsed(passed: ClockSpan) -> ClockSpan {
    let millis = passed.as_millis();
    ClockSpan::from_millis(millis - millis / DRIFT_DIVISOR)
}

/// An upper bound on the store's time when this process started. The previous
/// process of the instance had ended by then, so the bound also limits what it
/// can have spent.
///
/// Only answers to calls that were sent after the start count: the store reads
/// its clock after a call was sent, so such a reading is never earlier than the
/// end of the previous process. The local time between the start and the call
/// is subtracted from the reading. The bound therefore gets no later if the
/// store cannot be reached for seconds after a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartBound {
    started: ClockTime,
    bound: Option<ClockTime>,
}

impl StartBound {
    /// Creates an unknown bound for a process that started at the local time
    /// `started`.
    #[must_use]
    pub const fn new(started: ClockTime) -> Self {
        Self {
            started,
            bound: None,
        }
    }

    /// Records the store's time from the answer to a call that was sent at the
    /// local time `sent_at`, which must not be before the start: an earlier
    /// reading would charge the previous process for too little.
    pub fn observe(&mut self, store: ClockTime, sent_at: ClockTime) {
        let passed = min_elapsed(sent_at.since(self.started)).as_millis();
        let bound = ClockTime::from_millis(store.as_millis().saturating_sub(passed));
        self.bound = Some(self.bound.map_or(bound, |known| known.min(bound)));
    }

    /// The bound, or `None` before the first answer.
    #[must_use]
    pub const fn get(&self) -> Option<ClockTime> {
        self.bound
    }
}

/// A lower bound on the store's current time.
///
/// It adds local monotonic time to the store's time in an answer, starting when
/// the answer was received. A suspended process only falls behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreClock {
    /// The store's time from an answer, and the local time at which it was
    /// received.
    observed: Option<(ClockTime, ClockTime)>,
}

impl StoreClock {
    /// Records the store's time from an answer received at the local time
    /// `now`.
    pub fn observe(&mut self, store: ClockTime, now: ClockTime) {
        if self.now(now).is_none_or(|known| store > known) {
            self.observed = Some((store, now));
        }
    }

    /// The bound, or `None` before the first answer.
    #[must_use]
    pub fn now(&self, now: ClockTime) -> Option<ClockTime> {
        let (store, received) = self.observed?;
        Some(store + min_elapsed(now.since(received)))
    }
}
