//! Polls under way, so that no backend server has two.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use guavawell_core::id::BackendId;

/// The servers whose poll is under way, so that none has two.
///
/// Of two polls the later may end first; the earlier one's cache events would
/// then look like those of a server that began anew.
#[derive(Clone, Default)]
pub struct PollRounds(Arc<Mutex<Vec<BackendId>>>);

/// A poll under way; ended when dropped.
pub struct PollRound {
    rounds: PollRounds,
    server: BackendId,
}

impl PollRounds {
    /// Begins a poll; `None` while the last one is under way.
    #[must_use]
    pub fn begin(&self, server: &BackendId) -> Option<PollRound> {
        let mut polled = self.lock();
        if polled.contains(server) {
            return None;
        }
        polled.push(server.clone());
        Some(PollRound {
            rounds: self.clone(),
            server: server.clone(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Vec<BackendId>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for PollRound {
    fn drop(&mut self) {
        self.rounds.lock().retain(|server| *server != self.server);
    }
}
