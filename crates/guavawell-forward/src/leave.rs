//! The end of the process: announce, finish what is held, give back, exit.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use guavawell_core::clock::ClockTime;
use guavawell_fleet::event::EventDraft;
use smol::Timer;

use crate::clock::timer_span;
use crate::router::ForwardRouter;
use crate::router::RouterPhase;

/// Pause between looks at whether all requests have ended.
const TICK: Duration = Duration::from_millis(50);

/// Leaves: from now on the process is not ready and ends connections after
/// their present answer; returns once the process may exit. Returns whether
/// every request had ended.
pub async fn leave(router: &Rc<ForwardRouter>) -> bool {
    let times = &router.settings.times;
    let began = router.clock.now();
    router.phase.set(RouterPhase::Leaving(began));
    let draft = EventDraft::new("process.leaving").field("held", router.held_requests.get());
    router.log.emit(draft);
    let announced = async {
        Timer::after(timer_span(times.announce)).await;
    };
    let told = async {
        router.budgets.deregister().await;
        std::future::pending::<()>().await;
    };
    announced.or(told).await;
    let end = router.cut_at().unwrap_or(began);
    wait_for_requests(router, end).await;
    // From here on callers are sent elsewhere, so that none is cut by the end.
    router.phase.set(RouterPhase::Closing(began));
    let late = async {
        Timer::after(timer_span(times.give_back)).await;
    };
    router.budgets.give_back().or(late).await;
    wait_for_requests(router, end).await;
    let finished = router.held_requests.get() == 0;
    let draft = EventDraft::new("process.left").field("unfinished", router.held_requests.get());
    router.log.emit(draft);
    finished
}

/// Waits until no request is held, or until `end`.
async fn wait_for_requests(router: &ForwardRouter, end: ClockTime) {
    while router.held_requests.get() > 0 && router.clock.now() < end {
        Timer::after(TICK).await;
    }
}
