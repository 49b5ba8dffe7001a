//! A queue model of a model engine: slots and a bounded queue by priority.

use std::cmp::Reverse;

/// Requests that may wait for each slot.
const QUEUE_PER_SLOT: usize = 2;
const PREFILL_MS: u64 = 100;
const TOKEN_MS: u64 = 30;

/// One request at an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineJob {
    pub number: usize,
    pub tokens: u64,
    /// Higher goes first in the engine's queue.
    pub priority: u8,
}

/// A request that has started, with its first token and its end.
#[derive(Clone, Copy, Debug)]
pub struct EngineRun {
    pub number: usize,
    pub started: u64,
    pub first: u64,
    pub done: u64,
}

/// One engine.
pub struct ModelEngine {
    pub slots: usize,
    slowness: u64,
    /// Sorted by number.
    pub running: Vec<EngineRun>,
    pub waiting: Vec<EngineJob>,
}

impl ModelEngine {
    pub fn new(slots: usize, slowness: u64) -> Self {
        Self {
            slots,
            slowness: slowness.max(1),
            running: Vec::new(),
            waiting: Vec::new(),
        }
    }

    /// Slots that nothing runs in.
    pub fn free(&self) -> usize {
        self.slots - self.running.len()
    }

    /// Takes a request; false with its queue full.
    pub fn offer(&mut self, job: EngineJob) -> bool {
        if self.waiting.len() >= self.slots * QUEUE_PER_SLOT {
            return false;
        }
        let rank = Reverse(job.priority);
        let place = self
            .waiting
            .partition_point(|other| Reverse(other.priority) <= rank);
        self.waiting.insert(place, job);
        true
    }

    /// Starts what waits in the free slots.
    pub fn advance(&mut self, now: u64) -> Vec<EngineRun> {
        let count = self.free().min(self.waiting.len());
        let jobs: Vec<_> = self.waiting.drain(..count).collect();
        let start = |job: EngineJob| {
            let first = now + PREFILL_MS * self.slowness;
            EngineRun {
                number: job.number,
                started: now,
                first,
                done: first + TOKEN_MS * self.slowness * job.tokens,
            }
        };
        let runs: Vec<_> = jobs.into_iter().map(start).collect();
        self.running.extend(&runs);
        self.running.sort_by_key(|run| run.number);
        runs
    }

    /// Takes a request away; returns its run if it had started.
    pub fn remove(&mut self, number: usize) -> Option<EngineRun> {
        self.waiting.retain(|job| job.number != number);
        let place = self.running.binary_search_by_key(&number, |run| run.number);
        Some(self.running.remove(place.ok()?))
    }
}
