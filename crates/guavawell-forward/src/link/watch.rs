//! Looks at the use of the link at intervals: decides on readiness and reports.

use std::cell::RefCell;
use std::rc::Rc;

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::KeeperView;
use guavawell_core::forward::LinkBytes;
use guavawell_core::number::fraction;
use guavawell_core::number::whole;
use guavawell_fleet::event::EventDraft;
use smol::Timer;

use super::LinkControl;
use crate::clock::timer_span;
use crate::router::ForwardRouter;

/// Interval between two looks at the demand.
const CHECK_INTERVAL: ClockSpan = ClockSpan::from_millis(100);
/// Looks between two lines of the log.
const CHECKS_PER_REPORT: u32 = 10;
/// Part of the link above which its use is logged, in percent.
const LOGGED_PERCENT: u64 = 50;

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
        decide_on_load(&router, control, now);
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

/// Decides whether the load that fills the link is kept, or taken back.
fn decide_on_load(router: &ForwardRouter, control: &RefCell<LinkControl>, now: ClockTime) {
    let control = &mut *control.borrow_mut();
    let keeper = &mut control.keeper;
    if control.readiness.is_demand_high() {
        keeper.note_full(now);
    }
    let budgets = &router.budgets;
    let outage = budgets.store_outage();
    let was_kept = keeper.is_kept();
    let needs_load = outage.is_some() || was_kept;
    let load = keeper.load().filter(|_| needs_load).cloned();
    let tokens = load
        .as_ref()
        .map_or(0, |load| budgets.tokens_left(&load.organisation));
    let view = KeeperView {
        store_outage: outage,
        tokens,
        is_demand_high: control.readiness.is_demand_high(),
        is_away: control.readiness.is_away(),
    };
    let is_kept = keeper.decide(&view, now);
    control.readiness.set_load_kept(is_kept, now);
    if was_kept == is_kept {
        return;
    }
    let (kind, cause) = match outage {
        _ if is_kept => ("link.kept", "store_away"),
        Some(_) => ("link.released", "tokens_short"),
        None => ("link.released", "store_answers"),
    };
    let mut draft = EventDraft::new(kind)
        .field("cause", cause)
        .field("tokens_left", tokens);
    if let Some(load) = &load {
        draft = draft
            .organisation(&load.organisation)
            .field("tokens_per_second", whole(load.tokens_per_second));
    }
    let outage = outage.unwrap_or_default();
    router
        .log
        .emit(draft.field("store_away_ms", outage.as_millis()));
    if is_kept {
        metrics::counter!("guavawell_forward_loads_kept_total").increment(1);
    }
}

fn observe_demand(router: &ForwardRouter, control: &RefCell<LinkControl>, now: ClockTime) {
    let mut control = control.borrow_mut();
    let was_ready = control.readiness.is_ready();
    let demand = control.admission.demand(now);
    // The load balancer moves connections to instances of the same zone only.
    let others_may_take = router.peers.has_zone_neighbour();
    control.readiness.observe(demand, others_may_take, now);
    if control.readiness.is_ready() != was_ready {
        let kind = if was_ready { "link.full" } else { "link.open" };
        let draft = EventDraft::new(kind)
            .field("demand_percent", whole(demand * 100.0))
            .field(
                "outstanding_ms",
                control.admission.outstanding().as_millis(),
            )
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
