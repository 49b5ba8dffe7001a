//! Shuts the process down: announces it, waits for requests, returns grants.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use guavawell_core::clock::ClockTime;
use guavawell_fleet::event::EventDraft;
use smol::Timer;

use crate::clock::timer_span;
use crate::router::ForwardRouter;
use crate::router::RouterPhase;

/// Interval of checks whether all requests have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

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
    let timeout = async {
        Timer::after(timer_span(times.give_back)).await;
    };
    router.budgets.give_back().or(timeout).await;
    wait_for_requests(router, router.exit_at().unwrap_or(began)).await;
    let unfinished = router.unfinished_requests();
    let draft = EventDraft::new("process.left").field("unfinished", unfinished);
    router.log.emit(draft);
    unfinished == 0
}

/// Waits until no request is being received or served, for `end` at the latest.
async fn wait_for_requests(router: &ForwardRouter, end: ClockTime) {
    while router.unfinished_requests() > 0 && router.clock.now() < end {
        Timer::after(POLL_INTERVAL).await;
    }
}
