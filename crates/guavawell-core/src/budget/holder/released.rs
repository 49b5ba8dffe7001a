//! Attempts that were given back, so that a reservation of one that arrives
//! late is not held: nobody would run it, and nobody would give it back again.

use std::collections::VecDeque;

use super::SlotHolder;
use crate::budget::message::ReleaseRequest;
use crate::clock::ClockTime;
use crate::id::AttemptId;

/// An attempt that was given back.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ReleasedAttempt {
    since: ClockTime,
    attempt: AttemptId,
}

/// Attempts that were given back in this tenure, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct ReleasedAttempts {
    attempts: VecDeque<ReleasedAttempt>,
    /// The same attempts, sorted: each reservation looks here.
    sorted: Vec<AttemptId>,
}

impl ReleasedAttempts {
    fn add(&mut self, attempt: AttemptId, now: ClockTime) {
        let Err(place) = self.sorted.binary_search(&attempt) else {
            return;
        };
        self.sorted.insert(place, attempt);
        self.attempts.push_back(ReleasedAttempt {
            since: now,
            attempt,
        });
    }

    fn forget_oldest(&mut self) {
        let oldest = self.attempts.pop_front();
        let place = oldest.map(|oldest| self.sorted.binary_search(&oldest.attempt));
        if let Some(Ok(place)) = place {
            self.sorted.remove(place);
        }
    }
}

impl SlotHolder {
    /// Remembers that an attempt is not to be reserved in this tenure.
    pub(super) fn remember_released(&mut self, release: &ReleaseRequest, now: ClockTime) {
        if release.applies_to(self.ledger.tenure) {
            self.released.add(release.attempt, now);
        }
    }

    /// Whether an attempt was given back in this tenure.
    pub(super) fn is_released(&self, attempt: AttemptId) -> bool {
        self.released.sorted.binary_search(&attempt).is_ok()
    }

    /// Forgets attempts for which no reservation can be on its way any more.
    pub(super) fn forget_released(&mut self, now: ClockTime) {
        while let Some(oldest) = self.released.attempts.front() {
            let is_old = now.since(oldest.since) >= self.settings.released_for;
            let is_over = self.released.sorted.len() > self.settings.released_most;
            if !is_old && !is_over {
                return;
            }
            self.released.forget_oldest();
        }
    }
}
