//! The prefix cache and its late and gappy events.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

/// Events kept for readers that come late.
const MAX_EVENTS: usize = 10_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum CacheKind {
    Stored,
    Evicted,
}

#[derive(Debug)]
struct DatedEvent {
    at: Instant,
    seq: u64,
    kind: CacheKind,
    prefix: u64,
}

/// One event as readers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct CacheEvent {
    seq: u64,
    kind: CacheKind,
    prefix: Box<str>,
}

/// The answer to `GET /v1/cache-events`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct CacheReport {
    events: Vec<CacheEvent>,
    next: u64,
}

/// Prefixes in order of their last use, the latest last.
#[derive(Debug)]
pub(super) struct PrefixCache {
    limit: usize,
    prefixes: Vec<u64>,
    events: VecDeque<DatedEvent>,
    last_seq: u64,
}

impl PrefixCache {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            prefixes: Vec::new(),
            events: VecDeque::new(),
            last_seq: 0,
        }
    }

    /// Uses a prefix and stores it; true if it was cached.
    pub(super) fn touch(&mut self, prefix: u64, now: Instant) -> bool {
        let known = self.prefixes.iter().rposition(|other| *other == prefix);
        if let Some(index) = known {
            self.prefixes[index..].rotate_left(1);
            return true;
        }
        if self.limit == 0 {
            return false;
        }
        if self.prefixes.len() == self.limit {
            let evicted = self.prefixes.remove(0);
            self.publish(CacheKind::Evicted, evicted, now);
        }
        self.prefixes.push(prefix);
        self.publish(CacheKind::Stored, prefix, now);
        false
    }

    /// Events after `after` that are at least `lag` old, without the lost ones.
    ///
    /// A number of an earlier life may be above the last one; the next number
    /// then goes back, so that the asker sees the new life.
    pub(super) fn report(&self, after: u64, lag: Duration, gap: u64, now: Instant) -> CacheReport {
        let published = self
            .events
            .iter()
            .filter(|event| event.seq > after && now.duration_since(event.at) >= lag);
        let next = published
            .clone()
            .next_back()
            .map_or(after.min(self.last_seq), |event| event.seq);
        let events = published
            .filter(|event| gap == 0 || event.seq % gap != 0)
            .map(|event| CacheEvent {
                seq: event.seq,
                kind: event.kind,
                prefix: format!("{:016x}", event.prefix).into(),
            })
            .collect();
        CacheReport { events, next }
    }

    fn publish(&mut self, kind: CacheKind, prefix: u64, now: Instant) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.last_seq += 1;
        self.events.push_back(DatedEvent {
            at: now,
            seq: self.last_seq,
            kind,
            prefix,
        });
    }
}
