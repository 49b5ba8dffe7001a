//! The network link of this instance: counts its bytes, and decides what it carries.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ForwardRefusal;
use guavawell_core::forward::InstanceLoad;
use guavawell_core::forward::LinkAdmission;
use guavawell_core::forward::LinkBytes;
use guavawell_core::forward::LinkReadiness;
use guavawell_core::forward::LinkRequest;
use guavawell_core::forward::LinkSettings;
use guavawell_core::forward::ReadinessSettings;
use guavawell_core::forward::wire_bytes;
use guavawell_core::number::fraction;
use guavawell_core::number::whole;
use guavawell_fleet::event::EventDraft;
use smol::Timer;

use crate::clock::timer_span;
use crate::refusal::RefusalResponse;
use crate::router::ForwardRouter;
use crate::settings::ForwardSettings;

/// Interval between two looks at the demand.
const CHECK_INTERVAL: ClockSpan = ClockSpan::from_millis(100);
/// Looks between two lines of the log.
const CHECKS_PER_REPORT: u32 = 10;
/// Part of the link above which its use is logged, in percent.
const LOGGED_PERCENT: u64 = 50;
/// For how long after a refusal the instance spares its link.
const SPARING_SPAN: ClockSpan = ClockSpan::from_millis(1_000);
/// Demand from which kept connections are ended once the instance is not ready, in parts
/// of the link.
const CLOSE_ABOVE: f64 = 0.3;

/// Counts the bytes of a kind of connection, as on the wire.
#[derive(Debug, Default)]
pub struct ByteMeter {
    received: Cell<u64>,
    sent: Cell<u64>,
}

impl ByteMeter {
    /// Counts content that was read at once.
    pub fn note_received(&self, content: usize) {
        add(&self.received, content);
    }

    /// Counts content that was written at once.
    pub fn note_sent(&self, content: usize) {
        add(&self.sent, content);
    }

    /// Bytes on the wire that were sent.
    #[must_use]
    pub const fn sent(&self) -> u64 {
        self.sent.get()
    }

    fn take(&self) -> (u64, u64) {
        (self.received.take(), self.sent.take())
    }
}

fn add(total: &Cell<u64>, content: usize) {
    let content = u64::try_from(content).unwrap_or(u64::MAX);
    total.set(total.get().saturating_add(wire_bytes(content)));
}

/// The decisions on the link, where they are called for.
#[derive(Debug)]
struct LinkControl {
    admission: LinkAdmission,
    readiness: LinkReadiness,
    /// Bytes that the link carries in a second.
    rate: f64,
}

/// What was refused and which connections ended since the last report.
#[derive(Debug, Default)]
struct LinkCounts {
    accepted: Cell<u64>,
    refused: Cell<u64>,
    /// Connections of callers that ended, and the requests that they brought.
    ended: Cell<u64>,
    brought: Cell<u64>,
}

/// The network link of this instance.
#[derive(Debug)]
pub struct InstanceLink {
    /// Connections of callers.
    pub callers: Rc<ByteMeter>,
    /// Connections to backend servers.
    pub servers: Rc<ByteMeter>,
    /// Connections to and from other instances.
    pub instances: Rc<ByteMeter>,
    control: Option<RefCell<LinkControl>>,
    counts: LinkCounts,
    /// Use of the fuller direction in the last second, in percent.
    used_percent: Cell<u8>,
}

impl InstanceLink {
    /// The link of an instance with these settings. It decides only if overload is
    /// expected and the rate of the link is stated. `instances` counts the bytes of
    /// connections to other instances.
    #[must_use]
    pub fn new(settings: &ForwardSettings, instances: Rc<ByteMeter>) -> Self {
        let rate = settings.capacity.link.filter(|_| settings.expects_overload);
        let control = rate.map(|rate| {
            RefCell::new(LinkControl {
                admission: LinkAdmission::new(LinkSettings::default(), rate),
                readiness: LinkReadiness::new(ReadinessSettings::default()),
                rate: rate.bytes_per_second(),
            })
        });
        Self {
            callers: Rc::default(),
            servers: Rc::default(),
            instances,
            control,
            counts: LinkCounts::default(),
            used_percent: Cell::new(0),
        }
    }

    /// Whether this part decides; otherwise the connection times alone show a full link.
    #[must_use]
    pub const fn decides(&self) -> bool {
        self.control.is_some()
    }

    /// Whether new connections are welcome.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let control = self.control.as_ref();
        control.is_none_or(|control| control.borrow().readiness.is_ready())
    }

    /// Whether the link is nearly full, so that nothing is sent that can be left out.
    #[must_use]
    pub fn is_spared(&self, now: ClockTime) -> bool {
        let control = self.control.as_ref();
        control.is_some_and(|control| {
            let control = control.borrow();
            !control.readiness.is_ready() || control.admission.refuses(SPARING_SPAN, now)
        })
    }

    /// Whether a caller's connection is to be ended after its present response, so that
    /// the caller opens the next one to another instance.
    #[must_use]
    pub fn hands_on(&self, now: ClockTime) -> bool {
        let Some(control) = &self.control else {
            return false;
        };
        let mut control = control.borrow_mut();
        control.readiness.is_effective(now) && control.admission.demand(now) > CLOSE_ABOVE
    }

    /// Records a caller's connection that ended after this number of requests.
    pub fn connection_ended(&self, requests: u64) {
        metrics::histogram!("guavawell_forward_connection_requests").record(fraction(requests));
        self.counts.ended.set(self.counts.ended.get() + 1);
        let brought = self.counts.brought.get() + requests;
        self.counts.brought.set(brought);
    }
}

/// The charge of an accepted request, until it ends.
#[derive(Debug)]
pub struct LinkClaim {
    router: Rc<ForwardRouter>,
    route: Box<str>,
    /// Bytes of the response that it is charged for.
    expected: f64,
    /// The caller's connection, and its bytes when the request was accepted.
    meter: Rc<ByteMeter>,
    sent_before: u64,
    complete: Cell<bool>,
}

impl LinkClaim {
    /// Records that the response was complete.
    pub fn complete(&self) {
        self.complete.set(true);
    }
}

impl Drop for LinkClaim {
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
pub fn claim_link(
    router: &Rc<ForwardRouter>,
    request: &LinkRequest<'_>,
    meter: &Rc<ByteMeter>,
) -> Result<Option<LinkClaim>, RefusalResponse> {
    let Some(control) = &router.link.control else {
        return Ok(None);
    };
    let now = router.clock.now();
    let counts = &router.link.counts;
    let admitted = control
        .borrow_mut()
        .admission
        .admit(request, fastrand::f64(), now);
    match admitted {
        Ok(expected) => {
            counts.accepted.set(counts.accepted.get() + 1);
            Ok(Some(LinkClaim {
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
            Err(RefusalResponse::new(ForwardRefusal::LinkFull).after(span))
        }
    }
}

impl ForwardRouter {
    /// How full this instance is.
    #[must_use]
    pub fn instance_load(&self) -> InstanceLoad {
        let processor = if self.processor_load.is_overloaded() {
            100
        } else {
            0
        };
        let held = self.held_bytes.get() * 100;
        let memory = held / self.settings.admission.body_bytes.max(1);
        InstanceLoad {
            link: self.link.used_percent.get(),
            processor,
            memory: u8::try_from(memory).unwrap_or(u8::MAX).min(100),
        }
    }
}

/// Watches the link until the process ends: reports its use, and decides on readiness.
pub async fn watch_link(router: Rc<ForwardRouter>) {
    let Some(control) = &router.link.control else {
        return;
    };
    let mut totals = [(0, 0); 3];
    let mut checks = 0;
    let mut began = router.clock.now();
    loop {
        Timer::after(timer_span(CHECK_INTERVAL)).await;
        let now = router.clock.now();
        let link = &router.link;
        let meters = [&link.callers, &link.servers, &link.instances];
        for (total, meter) in totals.iter_mut().zip(meters) {
            let (received, sent) = meter.take();
            if Rc::ptr_eq(meter, &link.instances) {
                let bytes = LinkBytes {
                    received: fraction(received),
                    sent: fraction(sent),
                };
                control.borrow_mut().admission.charge(bytes, now);
            }
            total.0 += received;
            total.1 += sent;
        }
        observe_demand(&router, control, now);
        checks += 1;
        if checks == CHECKS_PER_REPORT {
            report(&router, control, &totals, now.since(began));
            totals = [(0, 0); 3];
            checks = 0;
            began = now;
        }
    }
}

fn observe_demand(router: &ForwardRouter, control: &RefCell<LinkControl>, now: ClockTime) {
    let mut control = control.borrow_mut();
    let was_ready = control.readiness.is_ready();
    let demand = control.admission.demand(now);
    // A single instance has nobody to hand connections on to.
    let others_may_take = router.peers.count() > 0;
    control.readiness.observe(demand, others_may_take, now);
    if control.readiness.is_ready() != was_ready {
        let kind = if was_ready { "link.full" } else { "link.open" };
        let draft = EventDraft::new(kind)
            .field("demand_percent", whole(demand * 100.0))
            .field("promised_ms", control.admission.promised().as_millis())
            .field("held", router.held_requests.get());
        router.log.emit(draft);
    }
}

/// Reports the use of the link since the last report.
fn report(
    router: &ForwardRouter,
    control: &RefCell<LinkControl>,
    totals: &[(u64, u64); 3],
    span: ClockSpan,
) {
    let control = control.borrow();
    let carried = control.rate * fraction(span.as_millis().max(1)) / 1_000.0;
    let percent = |bytes: u64| whole(fraction(bytes) / carried * 100.0);
    let received: u64 = totals.iter().map(|total| total.0).sum();
    let sent: u64 = totals.iter().map(|total| total.1).sum();
    let used = percent(received.max(sent));
    let link = &router.link;
    link.used_percent.set(u8::try_from(used).unwrap_or(u8::MAX));
    metrics::gauge!("guavawell_forward_link_percent", "direction" => "received")
        .set(fraction(percent(received)));
    metrics::gauge!("guavawell_forward_link_percent", "direction" => "sent")
        .set(fraction(percent(sent)));
    let counts = &link.counts;
    let accepted = counts.accepted.take();
    let refused = counts.refused.take();
    let (ended, brought) = (counts.ended.take(), counts.brought.take());
    if used < LOGGED_PERCENT && refused == 0 {
        return;
    }
    let [callers, servers, instances] = totals;
    let draft = EventDraft::new("link.used")
        .field("received", percent(received))
        .field("sent", percent(sent))
        .field("from_callers", percent(callers.0))
        .field("to_callers", percent(callers.1))
        .field("from_servers", percent(servers.0))
        .field("to_servers", percent(servers.1))
        .field("from_instances", percent(instances.0))
        .field("to_instances", percent(instances.1))
        .field("accepted", accepted)
        .field("refused", refused)
        .field("connections_ended", ended)
        .field("requests_brought", brought)
        .field("held", router.held_requests.get());
    router.log.emit(draft);
}
