//! Periodic tasks: removes expired state, reports the age of the configuration,
//! and detects when the process was paused.

use std::rc::Rc;
use std::time::Duration;

use guavawell_core::clock::ClockSpan;
use guavawell_fleet::event::EventDraft;
use smol::Timer;

use crate::read_ahead::review_responses;
use crate::router::ForwardRouter;

/// Interval between two runs.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How late a run may be before the process counts as paused.
const PAUSE_SLACK: ClockSpan = ClockSpan::from_millis(300);

/// Runs the periodic tasks until the process ends.
pub async fn run_housekeeping(router: Rc<ForwardRouter>) {
    let mut before = router.clock.boot_now();
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let now = router.clock.boot_now();
        let was_paused = report_pause(&router, now.since(before));
        before = now;
        sweep(&router);
        review_responses(&router, was_paused);
        router.configs.report_age();
    }
}

/// Logs that the process did not run for a while, for example because the
/// machine was suspended. Callers' requests waited during that time.
/// Returns whether that was so.
fn report_pause(router: &ForwardRouter, passed: ClockSpan) -> bool {
    let expected = u64::try_from(CHECK_INTERVAL.as_millis()).unwrap_or(u64::MAX);
    let overrun = passed.as_millis().saturating_sub(expected);
    if overrun <= PAUSE_SLACK.as_millis() {
        return false;
    }
    metrics::counter!("guavawell_forward_pauses_total").increment(1);
    let draft = EventDraft::new("process.paused").field("for_ms", overrun);
    router.log.emit(draft);
    true
}

/// Removes expired idle connections, servers that have left, and expired
/// suspicions.
fn sweep(router: &ForwardRouter) {
    let now = router.clock.now();
    router.pool.borrow_mut().sweep(now);
    router.servers.borrow_mut().sweep(now);
    router.poison.sweep();
    router.origins.sweep(now);
}
