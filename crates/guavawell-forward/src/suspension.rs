//! Lets requests for servers that may be cold wait for the store after a suspension of the
//! process: what was read of evacuated zones before it counts as old until it is read
//! again.

use std::cell::Cell;

use event_listener::Event;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::SuspensionWatch;
use guavawell_core::forward::ZoneDoubt;
use guavawell_core::id::ServiceId;
use guavawell_fleet::event::EventDraft;

use crate::clock::ProcessorClock;
use crate::clock::wait_while;
use crate::router::ForwardRouter;

/// A request waits at most its remaining time divided by this number.
const MAX_WAIT_DIVISOR: u64 = 4;

/// Whether the process was suspended, and has not read the evacuated zones since.
#[derive(Debug)]
pub struct SuspensionMonitor {
    processor: ProcessorClock,
    watch: Cell<SuspensionWatch>,
    doubt: Cell<ZoneDoubt>,
    /// Notified when a doubt begins or ends.
    changed: Event,
}

impl SuspensionMonitor {
    /// Monitors the present thread.
    #[must_use]
    pub fn start() -> Self {
        Self {
            processor: ProcessorClock::open(),
            watch: Cell::default(),
            doubt: Cell::default(),
            changed: Event::new(),
        }
    }
}

impl ForwardRouter {
    /// Notices whether the process was suspended since the last call. It must be called
    /// several times within the longest idle time.
    pub fn observe_suspension(&self) {
        let monitor = &self.suspension;
        let Some(time) = monitor.processor.read() else {
            return;
        };
        let now = self.clock.boot_now();
        let mut watch = monitor.watch.get();
        let suspended = watch.observe(now, time);
        monitor.watch.set(watch);
        if let Some(span) = suspended {
            self.doubt_zones(span, now);
        }
    }

    /// Lets requests wait for the store where a service has servers that may be cold.
    fn doubt_zones(&self, suspended: ClockSpan, now: ClockTime) {
        metrics::counter!("guavawell_forward_suspensions_total").increment(1);
        let is_doubted = self.longest_cold_span().is_some();
        let draft = EventDraft::new("process.suspended")
            .field("for_ms", suspended.as_millis())
            .field("zones_doubted", is_doubted);
        self.log.emit(draft);
        if is_doubted {
            let mut doubt = self.suspension.doubt.get();
            doubt.begin(now);
            self.suspension.doubt.set(doubt);
            self.suspension.changed.notify(usize::MAX);
        }
    }

    /// Since when the evacuated zones have to be read again.
    #[must_use]
    pub fn zones_doubted_since(&self) -> Option<ClockTime> {
        let now = self.clock.boot_now();
        // A request may run before the task that observes regularly.
        if self.suspension.watch.get().is_late(now) {
            self.observe_suspension();
        }
        self.suspension.doubt.get().since(now)
    }

    /// Records that the store told the evacuated zones as of `sent_at`, or later.
    pub(crate) fn confirm_zones(&self, sent_at: ClockTime) {
        let mut doubt = self.suspension.doubt.get();
        if doubt.confirm(sent_at) {
            self.suspension.doubt.set(doubt);
            self.suspension.changed.notify(usize::MAX);
        }
    }

    /// Waits until `condition` holds, which may change when the evacuated zones are to be
    /// read again.
    pub async fn wait_for_doubt(&self, condition: impl Fn() -> bool) {
        loop {
            let changed = self.suspension.changed.listen();
            if condition() {
                return;
            }
            changed.await;
        }
    }

    /// Waits until the evacuated zones were read since the process was last suspended, if
    /// servers of a service may be cold. Waits for a limited time, and no longer than a
    /// part of the time until `deadline`.
    pub async fn await_doubted_zones(&self, service: &ServiceId, deadline: ClockTime) {
        if self.cold_span(service).is_none() {
            return;
        }
        let mut waited_for = None;
        while let Some(since) = self.zones_doubted_since()
            && waited_for != Some(since)
        {
            waited_for = Some(since);
            let share = self.clock.left(deadline).as_millis() / MAX_WAIT_DIVISOR;
            let left = self.suspension.doubt.get().left(self.clock.boot_now());
            let max_wait = left.min(ClockSpan::from_millis(share));
            let is_doubted = || self.zones_doubted_since() == waited_for;
            let changed = &self.suspension.changed;
            wait_while(&self.clock, changed, max_wait, is_doubted).await;
        }
    }
}
