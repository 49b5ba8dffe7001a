//! The attempts that a backend server remembers.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;

use guavawell_core::id::AttemptId;

use crate::attempt::entry::AttemptEntry;
use crate::attempt::entry::AttemptRecord;
use crate::lock::lock;

/// Shards keep the sorted vectors short and the locks apart.
const SHARDS: usize = 64;

/// Attempts by id, the oldest forgotten beyond a limit.
#[derive(Debug)]
pub(crate) struct AttemptRegistry {
    shards: Box<[Mutex<RegistryShard>]>,
    shard_limit: usize,
}

#[derive(Debug, Default)]
struct RegistryShard {
    /// Sorted by attempt.
    entries: Vec<Arc<AttemptEntry>>,
    /// In order of arrival.
    arrivals: VecDeque<AttemptId>,
}

impl AttemptRegistry {
    /// Remembers about `limit` attempts.
    pub(crate) fn new(limit: usize) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Self {
            shards,
            shard_limit: limit.div_ceil(SHARDS),
        }
    }

    /// Remembers a new attempt; the error is the one already known by its id.
    pub(crate) fn insert(&self, entry: &Arc<AttemptEntry>) -> Result<(), Arc<AttemptEntry>> {
        let attempt = entry.source.attempt;
        let mut shard = lock(self.shard(attempt));
        match shard.find(attempt) {
            Ok(index) => return Err(Arc::clone(&shard.entries[index])),
            Err(index) => shard.entries.insert(index, Arc::clone(entry)),
        }
        shard.arrivals.push_back(attempt);
        if shard.entries.len() > self.shard_limit {
            shard.forget_oldest();
        }
        Ok(())
    }

    pub(crate) fn get(&self, attempt: AttemptId) -> Option<Arc<AttemptEntry>> {
        let shard = lock(self.shard(attempt));
        let index = shard.find(attempt).ok()?;
        Some(Arc::clone(&shard.entries[index]))
    }

    /// Forgets an attempt that was not taken on.
    pub(crate) fn remove(&self, attempt: AttemptId) {
        let mut shard = lock(self.shard(attempt));
        if let Ok(index) = shard.find(attempt) {
            shard.entries.remove(index);
        }
        // It arrived a moment ago, so it stands near the end.
        if let Some(index) = shard.arrivals.iter().rposition(|id| *id == attempt) {
            shard.arrivals.remove(index);
        }
    }

    /// Cancels an attempt, or marks one that was never seen.
    pub(crate) fn cancel(&self, attempt: AttemptId) -> AttemptRecord {
        let mark = Arc::new(AttemptEntry::cancelled_mark(attempt));
        match self.insert(&mark) {
            Ok(()) => mark.record(),
            Err(known) => {
                known.cancel();
                known.record()
            }
        }
    }

    /// Cancels every attempt.
    pub(crate) fn cancel_all(&self) {
        for shard in &self.shards {
            for entry in &lock(shard).entries {
                entry.cancel();
            }
        }
    }

    fn shard(&self, attempt: AttemptId) -> &Mutex<RegistryShard> {
        // The low bits of an attempt are random; the cast keeps them.
        #[allow(clippy::cast_possible_truncation)]
        let low = attempt.get() as usize;
        &self.shards[low % SHARDS]
    }
}

impl RegistryShard {
    fn find(&self, attempt: AttemptId) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&attempt, |entry| entry.source.attempt)
    }

    fn forget_oldest(&mut self) {
        while let Some(oldest) = self.arrivals.pop_front() {
            if let Ok(index) = self.find(oldest) {
                self.entries.remove(index);
                return;
            }
        }
    }
}
