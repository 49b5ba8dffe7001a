//! A queue model of a model engine: slots, a bounded queue, a prefix cache.
//!
//! Prefill and tokens slow down with the slots in use at the start. The queue
//! is ordered by priority, then by arrival.

use std::cmp::Reverse;
use std::collections::VecDeque;

use guavawell_core::backend::CacheChange;
use guavawell_core::backend::CacheEvent;
use guavawell_core::backend::PrefixHash;

/// Requests run at a time.
pub const SLOTS: usize = 16;
const QUEUE: usize = 32;
const CACHE: usize = 12;
/// Prefill of an uncached prompt on an idle engine; a cached one takes a quarter.
const PREFILL_MS: u64 = 120;
const TOKEN_MS: u64 = 20;

/// One request at an engine.
pub struct EngineJob {
    pub number: usize,
    pub prefix: PrefixHash,
    pub tokens: u64,
    /// Higher goes first in the engine's queue.
    pub priority: u8,
}

/// When a request that has started gives its first token and ends, and its
/// time per token.
pub struct EngineTimes {
    pub number: usize,
    pub first: u64,
    pub done: u64,
    pub token: u64,
}

/// A request in the queue, with its prefill on an idle engine.
struct WaitingJob {
    job: EngineJob,
    prefill: u64,
}

/// One engine; `slowness` is how many times slower than others it is.
#[derive(Default)]
pub struct ModelEngine {
    pub slowness: u64,
    pub dead: bool,
    pub leaving_since: Option<u64>,
    /// Ends of running requests, sorted.
    ends: Vec<u64>,
    waiting: VecDeque<WaitingJob>,
    cache: VecDeque<PrefixHash>,
    pub events: Vec<CacheEvent>,
    pub event_count: u64,
}

impl ModelEngine {
    /// Requests running or queued.
    pub fn load(&self) -> usize {
        self.ends.len() + self.waiting.len()
    }

    /// Ends what is done, and returns what starts in its place.
    pub fn advance(&mut self, now: u64) -> Vec<EngineTimes> {
        let mut started = Vec::new();
        while self.ends.first().is_some_and(|end| *end <= now) {
            let end = self.ends.remove(0);
            if let Some(waiting) = self.waiting.pop_front() {
                started.push(self.start(end, SLOTS, &waiting));
            }
        }
        started
    }

    /// Takes a request, or refuses it with its queue full; what starts is
    /// added to `started`. Call [`advance`](Self::advance) before.
    pub fn offer(&mut self, now: u64, job: EngineJob, started: &mut Vec<EngineTimes>) -> bool {
        if self.load() >= SLOTS + QUEUE {
            return false;
        }
        let cached = self.touch(job.prefix);
        let prefill = if cached { PREFILL_MS / 4 } else { PREFILL_MS };
        let waiting = WaitingJob { job, prefill };
        let busy = self.ends.len();
        if busy < SLOTS {
            started.push(self.start(now, busy, &waiting));
        } else {
            let rank = Reverse(waiting.job.priority);
            let order = |other: &WaitingJob| Reverse(other.job.priority) <= rank;
            let place = self.waiting.partition_point(order);
            self.waiting.insert(place, waiting);
        }
        true
    }

    fn start(&mut self, start: u64, busy: usize, waiting: &WaitingJob) -> EngineTimes {
        let (busy, full) = (busy as u64, SLOTS as u64);
        let slowness = self.slowness.max(1);
        let first = start + waiting.prefill * slowness * (4 * full + busy) / (4 * full);
        let token = TOKEN_MS * slowness * (2 * full + busy) / (2 * full);
        let done = first + token * waiting.job.tokens;
        let place = self.ends.partition_point(|end| *end <= done);
        self.ends.insert(place, done);
        let number = waiting.job.number;
        EngineTimes {
            number,
            first,
            done,
            token,
        }
    }

    /// Moves a prefix to the front of the cache; says whether it was there.
    fn touch(&mut self, prefix: PrefixHash) -> bool {
        let held = self.cache.iter().position(|other| *other == prefix);
        if let Some(place) = held {
            self.cache.remove(place);
        } else {
            self.note(CacheChange::Stored, prefix);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHE
            && let Some(oldest) = self.cache.pop_front()
        {
            self.note(CacheChange::Evicted, oldest);
        }
        held.is_some()
    }

    fn note(&mut self, kind: CacheChange, prefix: PrefixHash) {
        self.event_count += 1;
        let seq = self.event_count;
        self.events.push(CacheEvent { seq, kind, prefix });
    }
}
