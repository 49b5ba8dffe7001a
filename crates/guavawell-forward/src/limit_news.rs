//! Tells other instances which rate limits servers state, and when they are lifted.
//!
//! Only instances that have a share of a limit tell it, and only what they heard from
//! the server. An instance that misses a message checks the limit itself later.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use event_listener::Event;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::LimitChange;
use guavawell_core::forward::RequestRate;
use guavawell_core::forward::ServerIncarnation;
use guavawell_fleet::event::EventDraft;
use smol::LocalExecutor;

use crate::eligible::fleet_view;
use crate::peer::LimitReport;
use crate::peer::PeerRequest;
use crate::router::ForwardRouter;

/// Reports that wait to be sent. More servers rarely change their limits at once; the
/// oldest ones are dropped.
const MAX_WAITING: usize = 64;
/// Counter of reports that did not reach an instance.
const UNTOLD: &str = "guavawell_forward_limits_untold_total";

/// Changes of limits that were not yet told.
#[derive(Debug, Default)]
pub struct LimitNews {
    waiting: RefCell<VecDeque<(ServerIncarnation, Option<RequestRate>, ClockTime)>>,
    added: Event,
}

/// Queues a change that this instance heard from a server, if it is one of those that
/// tell it.
pub(crate) fn queue_change(
    router: &ForwardRouter,
    server: &ServerIncarnation,
    rate: Option<RequestRate>,
) {
    let now = router.clock.now();
    let may_tell = fleet_view(router, |fleet| {
        let mut servers = router.servers.borrow_mut();
        let entry = servers.get_mut(server);
        entry.is_some_and(|entry| entry.limit.should_tell(&server.id, fleet, now))
    });
    if !may_tell {
        return;
    }
    let mut waiting = router.limit_news.waiting.borrow_mut();
    if waiting.len() >= MAX_WAITING {
        waiting.pop_front();
    }
    waiting.push_back((server.clone(), rate, now));
    drop(waiting);
    router.limit_news.added.notify(usize::MAX);
}

/// Tells changes of limits to other instances until the process ends.
pub async fn tell_limits(router: Rc<ForwardRouter>, executor: Rc<LocalExecutor<'static>>) {
    loop {
        let added = router.limit_news.added.listen();
        let next = router.limit_news.waiting.borrow_mut().pop_front();
        let Some((server, rate, heard_at)) = next else {
            added.await;
            continue;
        };
        for (_, address) in router.peers.addresses() {
            let report = LimitReport {
                server: server.clone(),
                rate,
                age: router.clock.now().since(heard_at),
            };
            let router = Rc::clone(&router);
            let request = PeerRequest::Limit(report);
            let send = async move { router.peers.tell(address, &request, UNTOLD).await };
            executor.spawn(send).detach();
        }
    }
}

/// Applies what another instance heard from a server.
pub(crate) fn learn_limit(router: &ForwardRouter, report: &LimitReport) {
    let now = router.clock.now();
    let heard_at = now.before(report.age);
    let mut servers = router.servers.borrow_mut();
    let Some(entry) = servers.get_mut(&report.server) else {
        return;
    };
    let change = entry.limit.learn(now, heard_at, report.rate);
    drop(servers);
    if let Some(change) = change {
        log_limit(router, &report.server, change, "instance");
    }
}

/// Logs a change of a server's limit, and from whom it is known.
pub(crate) fn log_limit(
    router: &ForwardRouter,
    server: &ServerIncarnation,
    change: LimitChange,
    source: &str,
) {
    metrics::counter!("guavawell_forward_limit_changes_total").increment(1);
    let draft = match change {
        LimitChange::Stated(rate) => {
            EventDraft::new("server.limited").field("requests_per_second", rate)
        }
        LimitChange::Lifted(sends) => EventDraft::new("server.limit_lifted").field("sends", sends),
    };
    router
        .log
        .emit(draft.field("server", server).field("source", source));
}
