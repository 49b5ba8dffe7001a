//! Which client is given up to make room for others.

use std::cmp::Ordering;

use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Since when a client has kept the instance waiting, and how long it may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientWait {
    /// When the wait began.
    pub since: ClockTime,
    /// How long the client may take.
    pub limit: ClockSpan,
}

impl ClientWait {
    /// Compares the parts of their limits that two clients have used.
    fn compare(&self, other: &Self, now: ClockTime) -> Ordering {
        let used = |wait: &Self| u128::from(now.since(wait.since).as_millis());
        let limit = |wait: &Self| u128::from(wait.limit.as_millis().max(1));
        let (own, others) = (used(self) * limit(other), used(other) * limit(self));
        own.cmp(&others)
    }
}

/// The client whose connection is closed so that another one can be taken: the one that
/// has used most of the time that it may take. Returns its place in `waits`, where `None`
/// stands for a connection whose request is served.
#[must_use]
pub fn wait_to_end(
    waits: impl Iterator<Item = Option<ClientWait>>,
    now: ClockTime,
) -> Option<usize> {
    let waiting = waits.enumerate();
    let waiting = waiting.filter_map(|(place, wait)| Some((place, wait?)));
    // Of equal ones the first, which was taken first.
    let longest = waiting.reduce(|best, next| {
        if next.1.compare(&best.1, now).is_gt() {
            next
        } else {
            best
        }
    });
    longest.map(|(place, _)| place)
}

/// What is held of a head that is being received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldHead {
    /// Its bytes in memory.
    pub bytes: usize,
    /// When its first byte was received.
    pub since: ClockTime,
}

impl HeldHead {
    /// How much memory it has used for how long, in bytes times milliseconds.
    fn cost(&self, now: ClockTime) -> u128 {
        let held_for = now.since(self.since).as_millis() + 1;
        self.bytes as u128 * u128::from(held_for)
    }
}

/// The head that is given up once heads take too much memory: the one that has taken most
/// for longest. Returns its place in `heads`, where `None` stands for a connection without
/// one.
#[must_use]
pub fn head_to_drop(
    heads: impl Iterator<Item = Option<HeldHead>>,
    now: ClockTime,
) -> Option<usize> {
    let held = heads.enumerate();
    let held = held.filter_map(|(place, head)| Some((place, head?.cost(now))));
    let costliest = held.max_by_key(|(_, cost)| *cost);
    costliest.map(|(place, _)| place)
}
