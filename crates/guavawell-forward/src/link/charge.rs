//! Decides whether the link carries a request, and charges it for its bytes until it ends.

use std::cell::Cell;
use std::rc::Rc;

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::ForwardRefusal;
use guavawell_core::forward::LinkRequest;
use guavawell_core::number::whole;

use super::ByteMeter;
use crate::refusal::RefusalResponse;
use crate::router::ForwardRouter;

/// Retry-After of callers that reach another instance when they come back, beside the time
/// until they are moved: the load balancer's checks are not that exact.
const RETRY_PAUSE: ClockSpan = ClockSpan::from_millis(100);
/// Over how many milliseconds their return is spread, so that they do not fill the link of
/// the other instance together.
const RETRY_SPREAD: f64 = 400.0;

/// The charge of an accepted request, until it ends.
#[derive(Debug)]
pub struct LinkCharge {
    router: Rc<ForwardRouter>,
    route: Box<str>,
    /// Bytes of the response that it is charged for.
    expected: f64,
    /// The caller's connection, and its bytes when the request was accepted.
    meter: Rc<ByteMeter>,
    sent_before: u64,
    complete: Cell<bool>,
}

impl LinkCharge {
    /// Records that the response was complete.
    pub fn complete(&self) {
        self.complete.set(true);
    }
}

impl Drop for LinkCharge {
    fn drop(&mut self) {
        let Some(control) = &self.router.link.control else {
            return;
        };
        let actual = self.meter.sent().saturating_sub(self.sent_before);
        let admission = &mut control.borrow_mut().admission;
        admission.settle(&self.route, self.expected, actual, self.complete.get());
    }
}

/// Decides whether the link carries a request. `meter` counts the bytes of the caller's
/// connection.
///
/// # Errors
///
/// The refusal, with the time after which there may be room.
pub fn charge_link(
    router: &Rc<ForwardRouter>,
    request: &LinkRequest<'_>,
    meter: &Rc<ByteMeter>,
) -> Result<Option<LinkCharge>, RefusalResponse> {
    let Some(control) = &router.link.control else {
        return Ok(None);
    };
    let now = router.clock.now();
    let counts = &router.link.counts;
    let mut control = control.borrow_mut();
    let draw = fastrand::f64();
    let admitted = control.admission.admit(request, draw, now);
    let until_moved = control.readiness.time_until_moved(now);
    drop(control);
    match admitted {
        Ok(expected) => {
            counts.accepted.set(counts.accepted.get() + 1);
            Ok(Some(LinkCharge {
                router: Rc::clone(router),
                route: request.route.into(),
                expected,
                sent_before: meter.sent(),
                meter: Rc::clone(meter),
                complete: Cell::new(false),
            }))
        }
        Err(span) => {
            counts.refused.set(counts.refused.get() + 1);
            // Where the load balancer moves the caller to another instance, there is room.
            let spread = ClockSpan::from_millis(whole(draw * RETRY_SPREAD));
            let span = until_moved.map_or(span, |moved| moved + RETRY_PAUSE + spread);
            Err(RefusalResponse::new(ForwardRefusal::LinkFull).after(span))
        }
    }
}
