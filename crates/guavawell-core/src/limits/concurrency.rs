//! Adaptive concurrency limit of one router towards one backend server.
//!
//! While the server reports free slots, the limit is at least this router's
//! requests plus its part of the free slots, and grows additively. When requests
//! queue at the server, the limit falls to this router's share of the slots, so
//! that requests wait in the fair queues of the routers instead. For a server
//! without load reports, the time to first token decides. If the server refuses a
//! request as overloaded, the limit decreases.

use crate::atomic::AtomicU32;
use crate::atomic::AtomicU64;
use crate::atomic::Ordering;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Fixed-point scale of the limit.
const SCALE: u32 = 16;
/// A decrease multiplies the limit by this over [`DECREASE_DENOMINATOR`].
const DECREASE_NUMERATOR: u32 = 9;
/// See [`DECREASE_NUMERATOR`].
const DECREASE_DENOMINATOR: u32 = 10;
/// Shortest time between two decreases.
const DECREASE_INTERVAL: ClockSpan = ClockSpan::from_millis(500);
/// How long after a decrease the reported free slots do not raise the limit at
/// once: a server that refuses requests has fewer free slots than it reports.
const OVERLOAD_BACKOFF: ClockSpan = ClockSpan::from_millis(5_000);
/// A first token is late if its latency exceeds the expected one by this factor.
const LATE_FACTOR: u64 = 2;

/// If at least one slot in this many is free, the limit grows by one request per
/// report, otherwise by one request per this many reports.
const FREE_SLOTS_DIVISOR: u32 = 4;

/// A limit on requests in flight.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    min_limit: u32,
    max_limit: u32,
    /// The limit times [`SCALE`].
    scaled_limit: AtomicU32,
    /// When the limit was last decreased, in milliseconds; 0 if it never was.
    last_decrease: AtomicU64,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at `start` and stays between `min_limit` and
    /// `max_limit`; reported free slots may raise it further.
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

    /// The current limit, in requests.
    #[must_use]
    pub fn get(&self) -> u32 {
        self.scaled_limit.load(Ordering::Relaxed) / SCALE
    }

    /// Applies a load report of a server with `slots` slots and `total` requests,
    /// of which `own` came from this router, one of `routers`.
    ///
    /// If requests queue at the server, the limit falls to this router's share of
    /// the slots. Otherwise it is raised to at least `own` plus an equal part of
    /// the free slots, unless it was decreased recently. It also grows additively
    /// while at least half of it is used.
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

    /// Applies a time to first token at a server that sends no load reports, with
    /// `own` requests of this router in flight. A late first token decreases the
    /// limit. Any other grows it while at least half of it is used.
    pub fn sample(&self, latency: ClockSpan, expected: ClockSpan, own: i64, now: ClockTime) {
        let late = latency.as_millis() > expected.as_millis() * LATE_FACTOR;
        if late {
            self.decrease(now);
        } else if own * 2 >= i64::from(self.get()) {
            self.increase(SCALE / self.get().max(1));
        }
    }

    /// Decreases the limit after the server refused a request as overloaded.
    pub fn overload(&self, now: ClockTime) {
        self.decrease(now);
    }

    /// Raises the limit to at least `limit`. All routers see the same report, so
    /// their parts of the free slots add up to no more than that.
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
        // Only one of several threads that see the same overload decreases.
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
