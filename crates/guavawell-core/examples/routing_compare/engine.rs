//! A queue model of a model engine: slots, a bounded queue, a prefix cache.
//!
//! Prefill and tokens slow down with the slots in use at the start. As the
//! queue is first in, first out, a request's times are known on arrival.

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

/// When a request gives its first token and ends, and its time per token.
pub struct EngineTimes {
    pub first: u64,
    pub done: u64,
    pub token: u64,
}

/// One engine; `slowness` is how many times slower than others it is.
#[derive(Default)]
pub struct ModelEngine {
    pub slowness: u64,
    pub dead: bool,
    pub leaving_since: Option<u64>,
    /// Ends of accepted requests, sorted.
    ends: Vec<u64>,
    cache: VecDeque<PrefixHash>,
    pub events: Vec<CacheEvent>,
    pub event_count: u64,
}

impl ModelEngine {
    /// Requests running or queued.
    pub fn load(&mut self, now: u64) -> usize {
        let ended = self.ends.partition_point(|end| *end <= now);
        self.ends.drain(..ended);
        self.ends.len()
    }

    /// Takes a request, or refuses it with its queue full.
    pub fn offer(&mut self, now: u64, prefix: PrefixHash, tokens: u64) -> Option<EngineTimes> {
        let load = self.load(now);
        if load >= SLOTS + QUEUE {
            return None;
        }
        let start = if load < SLOTS {
            now
        } else {
            self.ends[load - SLOTS]
        };
        let busy = load.min(SLOTS) as u64;
        let full = SLOTS as u64;
        let slowness = self.slowness.max(1);
        let prefill = if self.touch(prefix) {
            PREFILL_MS / 4
        } else {
            PREFILL_MS
        };
        let first = start + prefill * slowness * (4 * full + busy) / (4 * full);
        let token = TOKEN_MS * slowness * (2 * full + busy) / (2 * full);
        let done = first + token * tokens;
        let place = self.ends.partition_point(|end| *end <= done);
        self.ends.insert(place, done);
        Some(EngineTimes { first, done, token })
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
