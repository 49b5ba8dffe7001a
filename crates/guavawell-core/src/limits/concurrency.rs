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
/// A decrease keeps this many parts of [`DECREASE_DENOMINATOR`].
const DECREASE_NUMERATOR: u32 = 9;
/// See [`DECREASE_NUMERATOR`].
const DECREASE_DENOMINATOR: u32 = 10;
/// At most one decrease in this span.
const DECREASE_INTERVAL: ClockSpan = ClockSpan::from_millis(500);
/// A server that refused a request is not believed to have as many free slots
/// as it reports, for this span.
const OVERLOAD_BACKOFF: ClockSpan = ClockSpan::from_millis(5_000);
/// A first token later than this many times the expected one is late.
const LATE_FACTOR: u64 = 2;

/// A server with at least one part in this many free lets the limit grow by a
/// whole request a report, otherwise by one part of it.
const FREE_SLOTS_DIVISOR: u32 = 4;

/// The limit, in requests in flight.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    min_limit: u32,
    max_limit: u32,
    /// The limit times [`SCALE`].
    scaled_limit: AtomicU32,
    last_decrease: AtomicU64,
}

impl ConcurrencyLimit {
    /// A limit between `min_limit` and `max_limit`; reported free slots may raise it
    /// further.
    #[must_use]
    pub fn new(min_limit: u32, start: u32, max_limit: u32) -> Self {
        let min_limit = min_limit.max(1);
        let max_limit = max_limit.max(min_limit);
        Self {
            min_limit,
            max_limit,
            scaled_limit: AtomicU32::new(start.clamp(min_limit, max_limit) * SCALE),
            last_decrease: AtomicU64::new(0),
        }
    }

    /// The limit.
    #[must_use]
    pub fn get(&self) -> u32 {
        self.scaled_limit.load(Ordering::Relaxed) / SCALE
    }

    /// A load report came: `total` requests at a server with `slots` slots, of
    /// which `own` were this router's, one of `routers`. Where requests wait at
    /// the server, the own share of its slots is the limit. Where slots are
    /// free, the limit is no less than the own requests and the own part of
    /// those unless the server refused lately, and grows by a part of a request
    /// while it is used.
    pub fn report(&self, total: u32, slots: u32, own: u32, routers: u32, now: ClockTime) {
        if total > slots {
            let share = u64::from(own) * u64::from(slots) * u64::from(SCALE) / u64::from(total);
            let share = u32::try_from(share).unwrap_or(u32::MAX);
            let floor = self.min_limit * SCALE;
            self.scaled_limit
                .fetch_min(share.max(floor), Ordering::Relaxed);
            return;
        }
        let free = slots - total;
        if !self.decreased_within(OVERLOAD_BACKOFF, now) {
            self.raise(own.saturating_add(free / routers.max(1)));
        }
        if own.saturating_mul(2) >= self.get() {
            let many_free = free.saturating_mul(FREE_SLOTS_DIVISOR) >= slots;
            self.increase(if many_free {
                SCALE
            } else {
                SCALE / FREE_SLOTS_DIVISOR
            });
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
        let scaled_limit = limit.saturating_mul(SCALE);
        self.scaled_limit.fetch_max(scaled_limit, Ordering::Relaxed);
    }

    fn increase(&self, step: u32) {
        let max_scaled = self.max_limit * SCALE;
        let _ =
            self.scaled_limit
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |scaled_limit| {
                    Some((scaled_limit + step.max(1)).min(max_scaled.max(scaled_limit)))
                });
    }

    fn decreased_within(&self, span: ClockSpan, now: ClockTime) -> bool {
        let last = ClockTime::from_millis(self.last_decrease.load(Ordering::Relaxed));
        last != ClockTime::default() && now.since(last) < span
    }

    fn decrease(&self, now: ClockTime) {
        let previous = self.last_decrease.load(Ordering::Relaxed);
        let last = ClockTime::from_millis(previous);
        let too_soon = last != ClockTime::default() && now.since(last) < DECREASE_INTERVAL;
        if too_soon {
            return;
        }
        // Of threads that meet the same overload, one decreases.
        let swapped = self.last_decrease.compare_exchange(
            previous,
            now.as_millis(),
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        if swapped.is_err() {
            return;
        }
        let floor = self.min_limit * SCALE;
        let _ =
            self.scaled_limit
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |scaled_limit| {
                    Some((scaled_limit * DECREASE_NUMERATOR / DECREASE_DENOMINATOR).max(floor))
                });
    }
}
