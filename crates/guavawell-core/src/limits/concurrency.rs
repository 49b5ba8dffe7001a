//! Adaptive concurrency of one router towards one backend server.
//!
//! Additive increase while the server has free slots by its reports; once
//! requests wait there, back to the own share of its slots, so that waiting
//! happens in the routers' fair queues. Servers that send no reports are judged
//! by the time to first token; a refusal always decreases the limit.

use crate::atomic::AtomicU32;
use crate::atomic::AtomicU64;
use crate::atomic::Ordering;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Fixed-point scale of the limit.
const SCALE: u32 = 16;
/// A decrease keeps this many parts of [`DECREASE_WHOLE`].
const DECREASE_PARTS: u32 = 9;
/// See [`DECREASE_PARTS`].
const DECREASE_WHOLE: u32 = 10;
/// At most one decrease in this span.
const DECREASE_PAUSE: ClockSpan = ClockSpan::from_millis(500);
/// A first token later than this many times the expected one is late.
const LATE_FACTOR: u64 = 2;

/// A server with at least one part in this many free lets the limit grow by a
/// whole request a report, otherwise by one part of it.
const FREE_PARTS: u32 = 4;

/// The limit, in requests in flight.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    least: u32,
    most: u32,
    /// The limit times [`SCALE`].
    scaled: AtomicU32,
    decreased: AtomicU64,
}

impl ConcurrencyLimit {
    /// A limit between `least` and `most`.
    #[must_use]
    pub fn new(least: u32, start: u32, most: u32) -> Self {
        let least = least.max(1);
        let most = most.max(least);
        Self {
            least,
            most,
            scaled: AtomicU32::new(start.clamp(least, most) * SCALE),
            decreased: AtomicU64::new(0),
        }
    }

    /// The limit.
    #[must_use]
    pub fn get(&self) -> u32 {
        self.scaled.load(Ordering::Relaxed) / SCALE
    }

    /// A load report came: `total` requests at a server with `slots` slots, of
    /// which `own` were this router's. Where requests wait at the server, the
    /// own share of its slots is the limit; where slots are free and the limit
    /// is used, it grows by a part of a request.
    pub fn report(&self, total: u32, slots: u32, own: u32) {
        if total > slots {
            let part = own * SCALE / total * slots;
            let floor = self.least * SCALE;
            self.scaled.fetch_min(part.max(floor), Ordering::Relaxed);
        } else if own * 2 >= self.get() {
            let ample = (slots - total) * FREE_PARTS >= slots;
            self.increase(if ample { SCALE } else { SCALE / FREE_PARTS });
        }
    }

    /// A first token came after `latency` at a server that sends no reports,
    /// with `own` requests of this router.
    pub fn sample(&self, latency: ClockSpan, expected: ClockSpan, own: i64, now: ClockTime) {
        let late = latency.as_millis() > expected.as_millis() * LATE_FACTOR;
        if late {
            self.decrease(now);
        } else if own * 2 >= i64::from(self.get()) {
            self.increase(SCALE / self.get().max(1));
        }
    }

    /// The server refused a request as overloaded.
    pub fn overload(&self, now: ClockTime) {
        self.decrease(now);
    }

    fn increase(&self, step: u32) {
        let most = self.most * SCALE;
        let _ = self
            .scaled
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |scaled| {
                Some((scaled + step.max(1)).min(most))
            });
    }

    fn decrease(&self, now: ClockTime) {
        let seen = self.decreased.load(Ordering::Relaxed);
        let last = ClockTime::from_millis(seen);
        let pausing = last != ClockTime::default() && now.since(last) < DECREASE_PAUSE;
        if pausing {
            return;
        }
        // Of threads that meet the same overload, one decreases.
        let taken = self.decreased.compare_exchange(
            seen,
            now.as_millis(),
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        if taken.is_err() {
            return;
        }
        let floor = self.least * SCALE;
        let _ = self
            .scaled
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |scaled| {
                Some((scaled * DECREASE_PARTS / DECREASE_WHOLE).max(floor))
            });
    }
}
