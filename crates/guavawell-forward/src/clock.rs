//! The steady clock: the only place that reads it.

use std::time::Duration;
use std::time::Instant;

use event_listener::Event;
use event_listener::EventListener;
use futures_lite::FutureExt;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use rustix::time::ClockId;
use rustix::time::clock_gettime;
use smol::Timer;

/// Steady time since this process started. It stands still while the machine
/// is suspended and never jumps with the time of day.
#[derive(Clone, Copy, Debug)]
pub struct SteadyClock {
    origin: Instant,
}

impl SteadyClock {
    /// A clock that starts at [`SteadyClock::ORIGIN`].
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The first time: far from zero, so that spans before it can be told.
    pub const ORIGIN: ClockTime = ClockTime::from_millis(1_000_000);

    /// The time now.
    #[must_use]
    pub fn now(&self) -> ClockTime {
        let millis = self.origin.elapsed().as_millis();
        Self::ORIGIN + ClockSpan::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    /// The time since the machine's start, suspensions included: what is known
    /// ages in them as well. Not to be compared with [`now`](Self::now).
    #[must_use]
    pub fn boot_now(&self) -> ClockTime {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let millis = u64::try_from(time.tv_nsec / 1_000_000).unwrap_or_default();
        ClockTime::from_millis(seconds * 1_000 + millis)
    }

    /// The time left until `end`.
    #[must_use]
    pub fn left(&self, end: ClockTime) -> ClockSpan {
        end.since(self.now())
    }
}

/// A span for timers.
#[must_use]
pub const fn timer_span(span: ClockSpan) -> Duration {
    Duration::from_millis(span.as_millis())
}

/// Waits until a bell rings, for `limit` at most.
pub async fn wait_until(notification: EventListener, limit: Duration) {
    let late = async {
        Timer::after(limit).await;
    };
    notification.or(late).await;
}

/// Waits while a condition holds, for `patience` at most; whether it ended.
/// `changed` rings whenever it may have.
pub async fn wait_while(
    clock: &SteadyClock,
    changed: &Event,
    patience: ClockSpan,
    condition: impl Fn() -> bool,
) -> bool {
    let until = clock.now() + patience;
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

/// Waits until something is due. `changed` rings whenever that may have changed.
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
