//! What the process looks at every half second: what it no longer needs, how old
//! its configuration may be, and whether it ran at all.

use std::rc::Rc;
use std::time::Duration;

use guavawell_core::clock::ClockSpan;
use guavawell_fleet::event::EventDraft;
use smol::Timer;

use crate::router::ForwardRouter;

/// Pause between looks.
const TICK: Duration = Duration::from_millis(500);
/// How much longer a pause may take before the process counts as one that did
/// not run.
const PAUSE_SLACK: ClockSpan = ClockSpan::from_millis(300);

/// Looks for as long as the process lives.
pub async fn watch(router: Rc<ForwardRouter>) {
    let mut before = router.clock.boot_now();
    loop {
        Timer::after(TICK).await;
        let now = router.clock.boot_now();
        note_pause(&router, now.since(before));
        before = now;
        sweep(&router);
        router.configs.report_age();
    }
}

/// Tells of a time in which the process did not run, or the machine was
/// suspended: what callers sent meanwhile waited.
fn note_pause(router: &ForwardRouter, passed: ClockSpan) {
    let meant = u64::try_from(TICK.as_millis()).unwrap_or(u64::MAX);
    let lost = passed.as_millis().saturating_sub(meant);
    if lost <= PAUSE_SLACK.as_millis() {
        return;
    }
    metrics::counter!("guavawell_forward_pauses_total").increment(1);
    let draft = EventDraft::new("process.paused").field("for_ms", lost);
    router.log.emit(draft);
}

/// Drops idle connections, servers that left and suspicions that are over.
fn sweep(router: &ForwardRouter) {
    let now = router.clock.now();
    router.pool.borrow_mut().sweep(now);
    router.servers.borrow_mut().sweep(now);
    router.poison.sweep();
}
