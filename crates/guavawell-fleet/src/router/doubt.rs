//! Attempts of this router whose outcome is in doubt.
//!
//! Their reservations stay held at the worst case until the backend server's
//! record tells, just as those of routers that are gone.

use std::sync::Mutex;
use std::sync::PoisonError;

use guavawell_core::id::AttemptId;

use crate::slot::OrphanedAttempt;

/// Attempts in doubt, sorted by attempt.
#[derive(Debug, Default)]
pub struct DoubtBook(Mutex<Vec<OrphanedAttempt>>);

impl DoubtBook {
    /// Notes an attempt.
    pub fn add(&self, doubt: OrphanedAttempt) {
        let mut doubts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let attempt = doubt.held.attempt;
        match doubts.binary_search_by_key(&attempt, |other| other.held.attempt) {
            Ok(place) => doubts[place] = doubt,
            Err(place) => doubts.insert(place, doubt),
        }
    }

    /// Everything in doubt now.
    #[must_use]
    pub fn list(&self) -> Vec<OrphanedAttempt> {
        let doubts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        doubts.clone()
    }

    /// The outcome of an attempt is known.
    pub fn remove(&self, attempt: AttemptId) {
        let mut doubts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Ok(place) = doubts.binary_search_by_key(&attempt, |other| other.held.attempt) {
            doubts.remove(place);
        }
    }
}
