//! What the process looks at every half second: what it no longer needs, how old
//! its configuration may be, and whether it ran at all.

use std::rc::Rc;
use std::time::Duration;

use guavawell_core::clock::ClockSpan;
use guavawell_fleet::event::EventDraft;
use smol::Timer;

use crate::router::ForwardRouter;

/// Pause between looks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How much longer a pause may take before the process counts as one that did
/// not run.
const PAUSE_SLACK: ClockSpan = ClockSpan::from_millis(300);

/// Looks for as long as the process lives.
pub async fn run_housekeeping(router: Rc<ForwardRouter>) {
    let mut before = router.clock.boot_now();
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let now = router.clock.boot_now();
        report_pause(&router, now.since(before));
        before = now;
        sweep(&router);
        router.configs.report_age();
    }
}

/// Tells of a time in which the process did not run, or the machine was
/// suspended: what callers sent meanwhile waited.
fn report_pause(router: &ForwardRouter, passed: ClockSpan) {
    let expected = u64::try_from(CHECK_INTERVAL.as_millis()).unwrap_or(u64::MAX);
    let overrun = passed.as_millis().saturating_sub(expected);
    if overrun <= PAUSE_SLACK.as_millis() {
        return;
    }
    metrics::counter!("guavawell_forward_pauses_total").increment(1);
    let draft = EventDraft::new("process.paused").field("for_ms", overrun);
    router.log.emit(draft);
}

/// Drops idle connections, servers that left and suspicions that are over.
fn sweep(router: &ForwardRouter) {
    let now = router.clock.now();
    router.pool.borrow_mut().sweep(now);
    router.servers.borrow_mut().sweep(now);
    router.poison.sweep();
}
