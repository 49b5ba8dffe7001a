//! Adaptive concurrency of one router towards one backend server.
//!
//! While the server has free slots by its reports, at least the own part of
//! them, and additive increase; once requests wait there, back to the own share
//! of its slots, so that waiting happens in the routers' fair queues. Servers that send no reports are judged
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
/// A server that refused a request is not believed to have as many free slots
/// as it reports, for this span.
const REFUSAL_SPAN: ClockSpan = ClockSpan::from_millis(5_000);
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
    /// A limit between `least` and `most`; reported free slots may raise it
    /// further.
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
    /// which `own` were this router's, one of `routers`. Where requests wait at
    /// the server, the own share of its slots is the limit. Where slots are
    /// free, the limit is no less than the own requests and the own part of
    /// those unless the server refused lately, and grows by a part of a request
    /// while it is used.
    pub fn report(&self, total: u32, slots: u32, own: u32, routers: u32, now: ClockTime) {
        if total > slots {
            let part = u64::from(own) * u64::from(slots) * u64::from(SCALE) / u64::from(total);
            let part = u32::try_from(part).unwrap_or(u32::MAX);
            let floor = self.least * SCALE;
            self.scaled.fetch_min(part.max(floor), Ordering::Relaxed);
            return;
        }
        let free = slots - total;
        if !self.decreased_within(REFUSAL_SPAN, now) {
            self.raise(own.saturating_add(free / routers.max(1)));
        }
        if own.saturating_mul(2) >= self.get() {
            let ample = free.saturating_mul(FREE_PARTS) >= slots;
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

    /// Makes the limit no less than `limit`. All routers see the same report,
    /// so that their parts of what is free add up to it.
    fn raise(&self, limit: u32) {
        let scaled = limit.saturating_mul(SCALE);
        self.scaled.fetch_max(scaled, Ordering::Relaxed);
    }

    fn increase(&self, step: u32) {
        let most = self.most * SCALE;
        let _ = self
            .scaled
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |scaled| {
                Some((scaled + step.max(1)).min(most.max(scaled)))
            });
    }

    fn decreased_within(&self, span: ClockSpan, now: ClockTime) -> bool {
        let last = ClockTime::from_millis(self.decreased.load(Ordering::Relaxed));
        last != ClockTime::default() && now.since(last) < span
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
