//! Closes some new connections unread while the processor of the instance is full, or its
//! memory nearly is.

use std::cell::Cell;
use std::rc::Rc;

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::AcceptShare;
use guavawell_core::forward::admits_connection;
use guavawell_fleet::event::EventDraft;
use smol::Timer;

use crate::clock::timer_span;
use crate::router::ForwardRouter;

/// Interval between two measurements of the delay of tasks.
const MEASURE_INTERVAL: ClockSpan = ClockSpan::from_millis(20);

/// How full the processor is, and what was closed because of that.
#[derive(Debug, Default)]
pub struct ProcessorLoad {
    share: Cell<AcceptShare>,
    /// Connections that were closed unread since some are.
    closed: Cell<u64>,
}

impl ProcessorLoad {
    /// Whether callers are better served by other instances.
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        !self.share.get().takes_all()
    }
}

/// Whether to close a new connection unread, so that its caller opens one to another
/// instance. A single instance takes all.
pub(crate) fn is_shed(router: &ForwardRouter) -> bool {
    if router.peers.count() == 0 {
        return false;
    }
    let load = &router.processor_load;
    let (held, bytes) = (router.held_requests.get(), router.held_bytes.get());
    let cause = if !admits_connection(&router.settings.admission, held, bytes) {
        "memory"
    } else if !load.share.get().takes(fastrand::u8(..)) {
        "processor"
    } else {
        return false;
    };
    load.closed.set(load.closed.get() + 1);
    metrics::counter!("guavawell_forward_connections_shed_total", "cause" => cause).increment(1);
    true
}

/// Measures the delay of tasks, and notices suspensions, until the process ends. It must
/// run in the queue of requests, whose delay it measures.
pub async fn watch_processor(router: Rc<ForwardRouter>) {
    loop {
        let due = router.clock.now() + MEASURE_INTERVAL;
        Timer::after(timer_span(MEASURE_INTERVAL)).await;
        router.observe_suspension();
        let now = router.clock.now();
        let delay = now.since(due);
        let load = &router.processor_load;
        let was_overloaded = load.is_overloaded();
        let mut share = load.share.get();
        share.observe(delay, now);
        load.share.set(share);
        if was_overloaded != load.is_overloaded() {
            let kind = if was_overloaded {
                "processor.free"
            } else {
                "processor.full"
            };
            let draft = EventDraft::new(kind)
                .field("delay_ms", delay.as_millis())
                .field("held", router.held_requests.get())
                .field("closed", load.closed.take());
            router.log.emit(draft);
        }
    }
}
