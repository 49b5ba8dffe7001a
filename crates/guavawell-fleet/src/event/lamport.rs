//! The Lamport clock, shared by all threads of a process.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use guavawell_core::clock::ClockTime;

/// A Lamport clock: an effect's order is past its cause's.
#[derive(Debug, Default)]
pub struct LamportClock {
    order: AtomicU64,
}

impl LamportClock {
    /// A clock that starts at the wall clock, in milliseconds.
    ///
    /// A process that restarts, or that hears of no other, would sort before
    /// everything else if it began at zero.
    #[must_use]
    pub const fn start(now: ClockTime) -> Self {
        Self {
            order: AtomicU64::new(now.as_millis()),
        }
    }

    /// Raises the clock for an event or a message sent; returns its order.
    pub fn raise(&self) -> u64 {
        self.order.fetch_add(1, Ordering::AcqRel) + 1
    }

    /// Moves the clock to the order that a received message carried, so that
    /// the next event comes after it.
    pub fn merge(&self, seen: u64) {
        self.order.fetch_max(seen, Ordering::AcqRel);
    }

    /// The order of the latest event.
    #[must_use]
    pub fn now(&self) -> u64 {
        self.order.load(Ordering::Acquire)
    }
}
