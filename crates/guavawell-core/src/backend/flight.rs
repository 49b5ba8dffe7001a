//! Own requests in flight to one server, with a short history.
//!
//! A load report tells the load of a moment in the past. To add what this
//! router did since, the history must tell how many of its own requests were
//! in flight at that moment.

use crate::atomic::AtomicI64;
use crate::atomic::AtomicU64;
use crate::atomic::Ordering;
use crate::clock::ClockTime;

/// [`BUCKET_COUNT`] as time is counted.
const BUCKETS: u64 = BUCKET_COUNT as u64;
/// Width of a bucket, in milliseconds; the history spans 6.4 s.
const BUCKET_MILLIS: u64 = 100;
/// Length of the history, in buckets.
const BUCKET_COUNT: usize = 64;
/// Numbers further ahead are leftovers from before the numbers wrapped.
const MOST_AHEAD: u32 = 65_536;

/// Own requests in flight, now and over the last seconds.
#[derive(Debug)]
pub(super) struct FlightCount {
    current: AtomicI64,
    /// Per bucket: the bucket's number (upper half), the net change in it
    /// (lower half, signed).
    history: [AtomicU64; BUCKET_COUNT],
}

impl Default for FlightCount {
    fn default() -> Self {
        Self {
            current: AtomicI64::new(0),
            history: std::array::from_fn(|_| AtomicU64::new(0)),
        }
    }
}

impl FlightCount {
    /// Requests in flight now.
    pub(super) fn current(&self) -> i64 {
        self.current.load(Ordering::Relaxed)
    }

    /// One request more.
    pub(super) fn begin(&self, now: ClockTime) {
        self.change(now, 1);
    }

    /// One request less.
    pub(super) fn finish(&self, now: ClockTime) {
        self.change(now, -1);
    }

    /// Requests that were in flight at `past`, as far as the history reaches.
    pub(super) fn at(&self, past: ClockTime, now: ClockTime) -> i64 {
        let first = bucket_number(past) + 1;
        let last = bucket_number(now);
        let oldest = last.saturating_sub(BUCKETS - 1);
        let since: i64 = (first.max(oldest)..=last)
            .map(|number| self.net(number))
            .sum();
        self.current() - since
    }

    fn change(&self, now: ClockTime, step: i32) {
        self.current.fetch_add(i64::from(step), Ordering::Relaxed);
        let number = bucket_number(now);
        let cell = &self.history[place(number)];
        let _ = cell.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |packed| {
            let (held, net) = unpack(packed);
            if is_newer(held, low_half(number)) {
                return None;
            }
            let base = if held == low_half(number) { net } else { 0 };
            Some(pack(low_half(number), base + step))
        });
    }

    fn net(&self, number: u64) -> i64 {
        let (held, net) = unpack(self.history[place(number)].load(Ordering::Relaxed));
        if held == low_half(number) {
            i64::from(net)
        } else {
            0
        }
    }
}

fn bucket_number(time: ClockTime) -> u64 {
    time.as_millis() / BUCKET_MILLIS
}

/// Whether a bucket's number is ahead of a late writer's, whose thread was
/// paused for longer than the history reaches. Numbers wrap.
fn is_newer(held: u32, number: u32) -> bool {
    (1..MOST_AHEAD).contains(&held.wrapping_sub(number))
}

fn place(number: u64) -> usize {
    usize::try_from(number % BUCKETS).unwrap_or(0)
}

fn low_half(number: u64) -> u32 {
    u32::try_from(number & u64::from(u32::MAX)).unwrap_or(0)
}

fn pack(number: u32, net: i32) -> u64 {
    (u64::from(number) << 32) | u64::from(net.cast_unsigned())
}

fn unpack(packed: u64) -> (u32, i32) {
    (low_half(packed >> 32), low_half(packed).cast_signed())
}
