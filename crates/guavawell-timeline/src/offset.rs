//! Estimates how far the instances' wall clocks lie apart.
//!
//! Where two events of one request follow each other on two instances, the
//! second's time less the first's is the clocks' offset plus the time between
//! the events. The least such difference in each direction bounds the offset
//! from both sides, as in the network time protocol; the estimate is their
//! middle. Memory is bounded: one slot a request, by hash, the latest wins.

use std::hash::BuildHasher;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;

use guavawell_core::clock::ClockTime;
use guavawell_core::event::EventRecord;
use guavawell_core::id::InstanceId;
use serde::Serialize;

/// Requests remembered at once.
const REQUEST_SLOTS: usize = 1 << 16;

/// The estimated offset of one instance's clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct OffsetEstimate {
    /// The instance.
    pub instance: InstanceId,
    /// Its events.
    pub events: u64,
    /// Milliseconds that its clock is ahead of the reference's; `None` where
    /// no chain of requests links the two in both directions.
    pub ahead_ms: Option<i64>,
    /// How far off the estimate may be, in milliseconds.
    pub error_ms: Option<i64>,
}

#[derive(Clone, Copy)]
struct LastSeen {
    request: u64,
    instance: usize,
    at: ClockTime,
}

/// Least differences seen between two instances, `low` before `high`.
#[derive(Clone, Copy, Default)]
struct PairBound {
    low: usize,
    high: usize,
    forward: Option<i64>,
    backward: Option<i64>,
}

/// Collects what is needed for the estimates.
pub struct OffsetEstimator {
    instances: Vec<InstanceCount>,
    pairs: Vec<PairBound>,
    slots: Vec<Option<LastSeen>>,
}

struct InstanceCount {
    instance: InstanceId,
    number: usize,
    events: u64,
}

impl Default for OffsetEstimator {
    fn default() -> Self {
        Self {
            instances: Vec::new(),
            pairs: Vec::new(),
            slots: vec![None; REQUEST_SLOTS],
        }
    }
}

impl OffsetEstimator {
    /// Takes the next event of the time line in.
    pub fn add(&mut self, record: &EventRecord) {
        let instance = self.count(&record.instance);
        let Some(request) = &record.request else {
            return;
        };
        let hasher = BuildHasherDefault::<DefaultHasher>::default();
        let request = hasher.hash_one((&record.organisation, request));
        #[expect(clippy::cast_possible_truncation, reason = "any bits will do")]
        let slot = request as usize % REQUEST_SLOTS;
        let at = record.at;
        let seen = LastSeen {
            request,
            instance,
            at,
        };
        let last = self.slots[slot].replace(seen);
        if let Some(last) = last
            && last.request == request
            && last.instance != instance
        {
            self.bound(last, seen);
        }
    }

    /// The estimates, sorted by instance; the instance with most events is
    /// the reference.
    #[must_use]
    pub fn estimates(&self) -> Vec<OffsetEstimate> {
        let reference = self.instances.iter().max_by_key(|count| count.events);
        let Some(reference) = reference else {
            return Vec::new();
        };
        let known = self.spread_from(reference.number);
        let estimate = |count: &InstanceCount| OffsetEstimate {
            instance: count.instance.clone(),
            events: count.events,
            ahead_ms: known[count.number].map(|known| known.ahead),
            error_ms: known[count.number].map(|known| known.error),
        };
        self.instances.iter().map(estimate).collect()
    }

    fn count(&mut self, instance: &InstanceId) -> usize {
        let found = self
            .instances
            .binary_search_by(|count| count.instance.cmp(instance));
        let number = self.instances.len();
        let place = found.unwrap_or_else(|place| {
            let instance = instance.clone();
            let count = InstanceCount {
                instance,
                number,
                events: 0,
            };
            self.instances.insert(place, count);
            place
        });
        self.instances[place].events += 1;
        self.instances[place].number
    }

    fn bound(&mut self, first: LastSeen, second: LastSeen) {
        let low = first.instance.min(second.instance);
        let high = first.instance.max(second.instance);
        let found = self
            .pairs
            .binary_search_by_key(&(low, high), |pair| (pair.low, pair.high));
        let place = found.unwrap_or_else(|place| {
            let pair = PairBound {
                low,
                high,
                ..PairBound::default()
            };
            self.pairs.insert(place, pair);
            place
        });
        let difference = millis(second.at) - millis(first.at);
        let pair = &mut self.pairs[place];
        let bound = if first.instance == low {
            &mut pair.forward
        } else {
            &mut pair.backward
        };
        *bound = Some(bound.map_or(difference, |known| known.min(difference)));
    }

    /// Offsets along the links from the reference, the fewest links first.
    fn spread_from(&self, reference: usize) -> Vec<Option<KnownOffset>> {
        let mut known = vec![None; self.instances.len()];
        known[reference] = Some(KnownOffset::default());
        let mut reached = vec![reference];
        let mut next = 0;
        while next < reached.len() {
            let from = reached[next];
            next += 1;
            for pair in &self.pairs {
                let Some((to, step)) = pair.step_from(from) else {
                    continue;
                };
                if known[to].is_none() {
                    known[to] = known[from].map(|base: KnownOffset| base.plus(step));
                    reached.push(to);
                }
            }
        }
        known
    }
}

#[derive(Clone, Copy, Default)]
struct KnownOffset {
    ahead: i64,
    error: i64,
}

impl KnownOffset {
    fn plus(self, step: Self) -> Self {
        Self {
            ahead: self.ahead + step.ahead,
            error: self.error + step.error,
        }
    }
}

impl PairBound {
    /// The other end of this link and its offset, if bounded on both sides.
    fn step_from(&self, from: usize) -> Option<(usize, KnownOffset)> {
        let (forward, backward) = (self.forward?, self.backward?);
        let ahead = (forward - backward) / 2;
        let error = ((forward + backward).abs() + 1) / 2;
        if from == self.low {
            return Some((self.high, KnownOffset { ahead, error }));
        }
        if from == self.high {
            let ahead = -ahead;
            return Some((self.low, KnownOffset { ahead, error }));
        }
        None
    }
}

fn millis(time: ClockTime) -> i64 {
    time.as_millis().cast_signed()
}
