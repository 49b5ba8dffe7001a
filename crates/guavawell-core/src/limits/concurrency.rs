//! Adaptive concurrency of one router towards one backend server.
//!
//! Additive increase while the first token comes quickly, multiplicative
//! decrease when it comes late while the server queues, or when the server
//! refuses.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

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

    /// A first token came after `latency`, at a server with `queued` waiting
    /// requests by its last report, with `own` requests of this router.
    pub fn sample(
        &self,
        latency: ClockSpan,
        expected: ClockSpan,
        queued: u32,
        own: i64,
        now: ClockTime,
    ) {
        let late = latency.as_millis() > expected.as_millis() * LATE_FACTOR;
        if late && queued > 0 {
            self.decrease(now);
        } else if !late && own * 2 >= i64::from(self.get()) {
            self.increase();
        }
    }

    /// The server refused a request as overloaded.
    pub fn overload(&self, now: ClockTime) {
        self.decrease(now);
    }

    fn increase(&self) {
        let most = self.most * SCALE;
        let _ = self
            .scaled
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |scaled| {
                let step = (SCALE * SCALE / scaled.max(1)).max(1);
                Some((scaled + step).min(most))
            });
    }

    fn decrease(&self, now: ClockTime) {
        let last = ClockTime::from_millis(self.decreased.load(Ordering::Relaxed));
        let pausing = last != ClockTime::default() && now.since(last) < DECREASE_PAUSE;
        if pausing {
            return;
        }
        self.decreased.store(now.as_millis(), Ordering::Relaxed);
        let floor = self.least * SCALE;
        let _ = self
            .scaled
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |scaled| {
                Some((scaled * DECREASE_PARTS / DECREASE_WHOLE).max(floor))
            });
    }
}
