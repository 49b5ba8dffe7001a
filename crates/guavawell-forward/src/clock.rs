//! The monotonic clock. Only this module reads the system's clocks.

use std::fs::File;
use std::os::unix::fs::FileExt;
use std::time::Duration;
use std::time::Instant;

use event_listener::Event;
use event_listener::EventListener;
use futures_lite::FutureExt;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ProcessorTime;
use rustix::time::ClockId;
use rustix::time::clock_gettime;
use smol::Timer;

/// Monotonic time since the process started. It does not advance while the
/// machine is suspended, and changes of the wall clock do not affect it.
#[derive(Clone, Copy, Debug)]
pub struct SteadyClock {
    origin: Instant,
}

impl SteadyClock {
    /// Starts a clock at [`SteadyClock::ORIGIN`].
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The time at which the clock starts. It is far from zero so that times
    /// before the start of the process can be represented.
    pub const ORIGIN: ClockTime = ClockTime::from_millis(1_000_000);

    /// The current time.
    #[must_use]
    pub fn now(&self) -> ClockTime {
        let millis = self.origin.elapsed().as_millis();
        Self::ORIGIN + ClockSpan::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    /// The time since the machine started, including suspensions. It measures
    /// the age of cached data, which also grows while the machine is suspended.
    /// Do not compare it with [`now`](Self::now).
    #[must_use]
    pub fn boot_now(&self) -> ClockTime {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let millis = u64::try_from(time.tv_nsec / 1_000_000).unwrap_or_default();
        ClockTime::from_millis(seconds * 1_000 + millis)
    }

    /// The time left until `end`, zero if it has passed.
    #[must_use]
    pub fn left(&self, end: ClockTime) -> ClockSpan {
        end.since(self.now())
    }
}

/// Where the system tells how long the present thread ran and waited for a processor.
const THREAD_TIMES: &str = "/proc/thread-self/schedstat";
/// Size of the largest text in it, in bytes: three numbers.
const THREAD_TIMES_BYTES: usize = 64;
/// Nanoseconds of a millisecond.
const NANOS_PER_MILLI: u64 = 1_000_000;

/// The processor time of the thread that opened it.
#[derive(Debug)]
pub struct ProcessorClock {
    /// `None` if the system does not tell.
    file: Option<File>,
}

impl ProcessorClock {
    /// Opens the clock of the present thread.
    #[must_use]
    pub fn open() -> Self {
        let file = File::open(THREAD_TIMES);
        if let Err(error) = &file {
            log::warn!("suspensions are not noticed, as {THREAD_TIMES} is missing: {error}");
        }
        let clock = Self { file: file.ok() };
        if clock.file.is_some() && clock.read().is_none() {
            log::warn!("suspensions are not noticed, as {THREAD_TIMES} tells no times");
        }
        clock
    }

    /// The times until now; `None` if the system does not tell.
    #[must_use]
    pub fn read(&self) -> Option<ProcessorTime> {
        let mut buffer = [0; THREAD_TIMES_BYTES];
        let length = self.file.as_ref()?.read_at(&mut buffer, 0).ok()?;
        let text = std::str::from_utf8(buffer.get(..length)?).ok()?;
        let mut numbers = text.split_whitespace().map(|part| part.parse::<u64>().ok());
        let (used, waited, runs) = (numbers.next()??, numbers.next()??, numbers.next()??);
        // A system that does not measure waits counts no runs.
        (runs > 0).then(|| ProcessorTime {
            used: ClockSpan::from_millis(used / NANOS_PER_MILLI),
            waited: ClockSpan::from_millis(waited / NANOS_PER_MILLI),
        })
    }
}

/// Converts a span to the type that timers take.
#[must_use]
pub const fn timer_span(span: ClockSpan) -> Duration {
    Duration::from_millis(span.as_millis())
}

/// Waits for a notification, for `limit` at most.
pub async fn wait_until(notification: EventListener, limit: Duration) {
    let timeout = async {
        Timer::after(limit).await;
    };
    notification.or(timeout).await;
}

/// Waits while `condition` holds, for `max_wait` at most. Returns whether it
/// stopped holding in time. `changed` must be notified whenever the condition
/// may have changed.
pub async fn wait_while(
    clock: &SteadyClock,
    changed: &Event,
    max_wait: ClockSpan,
    condition: impl Fn() -> bool,
) -> bool {
    let until = clock.now() + max_wait;
    while condition() {
        let notification = changed.listen();
        let rest = clock.left(until);
        if rest == ClockSpan::ZERO {
            return false;
        }
        wait_until(notification, timer_span(rest)).await;
    }
    true
}

/// Waits until the time that `due` returns. `changed` must be notified whenever
/// that time may have changed.
pub async fn wait_due(clock: &SteadyClock, changed: &Event, due: impl Fn() -> Option<ClockTime>) {
    loop {
        let notification = changed.listen();
        let Some(at) = due() else {
            notification.await;
            continue;
        };
        let rest = clock.left(at);
        if rest == ClockSpan::ZERO {
            return;
        }
        wait_until(notification, timer_span(rest)).await;
    }
}
