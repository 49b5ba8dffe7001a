//! The system clock: the only place that reads it.

use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;

/// Milliseconds since the Unix epoch that never go back.
///
/// The wall clock is read once, at the start; from then on the monotonic
/// clock counts. A wall clock that is set later is not followed, so times of
/// two processes may differ; nothing that is promised depends on that.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    started_at: ClockTime,
    started: Instant,
}

impl SystemClock {
    /// Reads the wall clock and starts counting.
    #[must_use]
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started_at: ClockTime::from_millis(millis(since_epoch)),
            started: Instant::now(),
        }
    }

    /// The time now.
    #[must_use]
    pub fn now(&self) -> ClockTime {
        self.started_at + ClockSpan::from_millis(millis(self.started.elapsed()))
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::start()
    }
}

/// The time now by the process's one [`SystemClock`], started at the first call.
#[must_use]
pub fn now() -> ClockTime {
    static PROCESS_CLOCK: OnceLock<SystemClock> = OnceLock::new();
    PROCESS_CLOCK.get_or_init(SystemClock::start).now()
}

/// A span as the standard library's type, for timers.
#[must_use]
pub const fn duration(span: ClockSpan) -> Duration {
    Duration::from_millis(span.as_millis())
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
