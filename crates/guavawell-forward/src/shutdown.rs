//! Shuts the process down: announces it, waits for requests, returns grants.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_fleet::event::EventDraft;
use smol::Timer;

use crate::clock::timer_span;
use crate::router::ForwardRouter;
use crate::router::RouterPhase;

/// Interval of checks whether all requests have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Part of the grace period in which the last requests are refused and the
/// connections closed.
const LAST_CHECK_TIME: ClockSpan = ClockSpan::from_millis(100);

/// Shuts down: the process is no longer ready and closes each connection after
/// its current response. Returns when the process may exit, with whether all
/// requests had ended.
pub async fn shut_down(router: &Rc<ForwardRouter>) -> bool {
    let times = &router.settings.times;
    let began = router.clock.now();
    router.phase.set(RouterPhase::Leaving(began));
    let draft = EventDraft::new("process.leaving").field("held", router.held_requests.get());
    router.log.emit(draft);
    let announced = async {
        Timer::after(timer_span(times.announce)).await;
    };
    let announced_to_peers = async {
        router.budgets.deregister().await;
        std::future::pending::<()>().await;
    };
    announced.or(announced_to_peers).await;
    let end = router.abort_at().unwrap_or(began);
    wait_for_requests(router, end).await;
    router.begin_closing(began);
    let exit_at = router.exit_at().unwrap_or(began);
    let limit = give_back_time(router, exit_at);
    let timeout = async {
        Timer::after(timer_span(limit)).await;
    };
    router.budgets.give_back().or(timeout).await;
    let unfinished = close_connections(router, exit_at).await;
    let draft = EventDraft::new("process.left").field("unfinished", unfinished);
    router.log.emit(draft);
    unfinished == 0
}

/// The time for returning grants in a process that ends at `exit_at`.
fn give_back_time(router: &ForwardRouter, exit_at: ClockTime) -> ClockSpan {
    let left = router.clock.left(exit_at).as_millis();
    let rest = left.saturating_sub(LAST_CHECK_TIME.as_millis());
    let times = &router.settings.times;
    times.give_back.min(ClockSpan::from_millis(rest))
}

/// Waits until no request is being received or served, for `end` at the latest.
async fn wait_for_requests(router: &ForwardRouter, end: ClockTime) {
    while router.unfinished_requests() > 0 && router.clock.now() < end {
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Closes the listening socket, and each connection on which no request waits or runs.
/// A paused process finds requests in its sockets that no task has seen yet. Returns the
/// number of requests that are unfinished at `end`; a process that is late takes
/// [`LAST_CHECK_TIME`].
async fn close_connections(router: &ForwardRouter, end: ClockTime) -> usize {
    let end = end.max(router.clock.now() + LAST_CHECK_TIME);
    let timeout = async {
        Timer::after(timer_span(router.clock.left(end))).await;
    };
    router.callers.stop_accepting().or(timeout).await;
    loop {
        let mut unfinished = router.unfinished_requests();
        if unfinished == 0 {
            unfinished = router.callers.close_idle();
        }
        if unfinished == 0 || router.clock.now() >= end {
            return unfinished;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}
