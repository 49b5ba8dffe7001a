//! Load reports on their way to the routers that use them.
//!
//! The poller of a server sends its report to the server's other routers, each
//! datagram with all that is due for its receiver. They are not gossiped: a
//! lost one is followed by the next, and each router hears only of its own
//! servers, so that the bytes do not grow with the fleet.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use guavawell_core::backend::LoadReport;
use guavawell_core::backend::PassedReport;
use guavawell_core::backend::ReportBundle;
use guavawell_core::id::BackendId;
use guavawell_core::id::InstanceId;
use smol::Timer;

use super::core::RouterCore;
use super::fetch::apply;
use crate::clock;
use crate::gossip::GossipDriver;

/// Time in which reports gather, so that several go in one datagram.
const GATHERING: Duration = Duration::from_millis(20);

/// What waits to be sent, and what was sent last.
#[derive(Default)]
struct PostState {
    /// Sorted by server.
    passed: Vec<(BackendId, PassedReport)>,
    /// Sorted by receiver.
    waiting: Vec<(InstanceId, ReportBundle)>,
    sending: bool,
}

/// Reports that this router passes on.
pub struct ReportPost {
    core: Arc<RouterCore>,
    gossip: GossipDriver,
    state: Mutex<PostState>,
}

impl ReportPost {
    /// Nothing passed on yet.
    pub fn new(core: Arc<RouterCore>, gossip: GossipDriver) -> Self {
        Self {
            core,
            gossip,
            state: Mutex::default(),
        }
    }

    /// Passes a report on to the server's other routers, unless it tells them
    /// nothing.
    pub async fn pass(&self, server: &BackendId, report: &LoadReport) {
        if !self.is_news(server, report) {
            return;
        }
        let receivers = self.receivers(server);
        if self.queue(server, report, receivers) {
            Timer::after(GATHERING).await;
            self.send_waiting().await;
        }
    }

    fn is_news(&self, server: &BackendId, report: &LoadReport) -> bool {
        let now = clock::now();
        let passed = PassedReport::new(report, now);
        let mut state = self.lock();
        let place = state.passed.binary_search_by(|(id, _)| id.cmp(server));
        match place {
            Ok(place) if !state.passed[place].1.is_outdated_by(report, now) => return false,
            Ok(place) => state.passed[place].1 = passed,
            Err(place) => state.passed.insert(place, (server.clone(), passed)),
        }
        true
    }

    /// The routers that send to the server, without this one.
    fn receivers(&self, server: &BackendId) -> Vec<InstanceId> {
        let own = &self.core.life.instance;
        let table = self.core.backends.load();
        let routers: Vec<InstanceId> = if let Some(subset) = table.subset() {
            let first = subset.first(server, table.sharers(server));
            first.into_iter().cloned().collect()
        } else {
            let view = self.gossip.view();
            let all = view.routable().map(|router| router.instance.clone());
            all.collect()
        };
        let others = routers.into_iter().filter(|router| router != own);
        others.collect()
    }

    /// Queues a report; true if the caller has to see to the sending.
    fn queue(&self, server: &BackendId, report: &LoadReport, receivers: Vec<InstanceId>) -> bool {
        let mut state = self.lock();
        for receiver in receivers {
            let place = state.waiting.binary_search_by(|(id, _)| id.cmp(&receiver));
            let place = place.unwrap_or_else(|place| {
                let bundle = ReportBundle::new(report.at);
                state.waiting.insert(place, (receiver, bundle));
                place
            });
            let _full = state.waiting[place].1.add(server, report);
        }
        let idle = !state.sending;
        state.sending = true;
        idle
    }

    async fn send_waiting(&self) {
        let waiting = {
            let mut state = self.lock();
            state.sending = false;
            std::mem::take(&mut state.waiting)
        };
        let view = self.gossip.view();
        for (receiver, bundle) in waiting {
            let Some(member) = view.find(&receiver) else {
                continue;
            };
            if let Ok(bytes) = bundle.encode() {
                self.gossip.send_report(member.gossip_address, &bytes).await;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, PostState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes the reports that other routers pass on.
pub async fn take_reports(core: Arc<RouterCore>, gossip: GossipDriver) {
    while let Ok(bytes) = gossip.next_report().await {
        let Ok(bundle) = ReportBundle::decode(&bytes) else {
            metrics::counter!("guavawell_load_reports_malformed_total").increment(1);
            continue;
        };
        let table = core.backends.load_full();
        for (mark, report) in bundle.reports() {
            if let Some(server) = table.marked(mark) {
                apply(&core, server, &report);
            }
        }
    }
}
