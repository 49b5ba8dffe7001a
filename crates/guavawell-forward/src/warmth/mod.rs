//! Asks servers whether they are cold, where nobody can tell any more which zones
//! were taken back.
//!
//! A question counts as a request to a server that may be cold. So for each server
//! only the instances ask that share its limit, and tell all others what it answered.
//! The answer holds as an entry of the server would that is newer than the changes
//! which were known before it was asked.

mod question;
mod report;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::ServerEntry;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::SlowStartLimit;
use smol::LocalExecutor;
use smol::Timer;

use self::question::ask_server;
use self::report::HeardAnswer;
use self::report::tell_answers;
use crate::clock::wait_until;
use crate::eligible::fleet_view;
use crate::router::ForwardRouter;

pub(crate) use self::report::learn_warmth;

/// Interval of checks which servers are to be asked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which answers are collected before other instances are told them.
const REPORT_DELAY: Duration = Duration::from_millis(10);
/// Most questions of this instance that are open at the same time.
const MAX_OPEN_QUESTIONS: usize = 64;

/// A server to be asked.
#[derive(Clone, Debug)]
struct QueryTarget {
    server: ServerIncarnation,
    address: SocketAddr,
    /// `None` if the servers of its service answer no questions.
    path: Option<Box<str>>,
    limit: SlowStartLimit,
}

/// Which servers this instance has asked, and what they answered.
#[derive(Debug, Default)]
pub struct WarmthQueries {
    /// Servers that have a question to answer, sorted.
    asked: RefCell<Vec<ServerIncarnation>>,
    /// Answers that other instances were not told yet.
    heard: RefCell<Vec<HeardAnswer>>,
}

impl WarmthQueries {
    /// Whether a server has no question to answer and one more may be open; from now
    /// on it has one.
    fn claim(&self, server: &ServerIncarnation) -> bool {
        let mut asked = self.asked.borrow_mut();
        match asked.binary_search(server) {
            Err(place) if asked.len() < MAX_OPEN_QUESTIONS => {
                asked.insert(place, server.clone());
                true
            }
            _ => false,
        }
    }

    /// Records that the question to a server has ended.
    fn release(&self, server: &ServerIncarnation) {
        let mut asked = self.asked.borrow_mut();
        if let Ok(place) = asked.binary_search(server) {
            asked.remove(place);
        }
    }
}

/// Asks the servers that count as cold only because changes of evacuated zones are
/// unread, until all of them have said whether they are, or no longer count as cold.
pub(crate) async fn ask_servers(router: &Rc<ForwardRouter>, executor: &LocalExecutor<'static>) {
    loop {
        let changed = router.zone_history.listen();
        let unheard = unheard_servers(router);
        tell_answers(router, executor);
        if unheard.is_empty() {
            return;
        }
        for target in unheard {
            if let Some(path) = target.path.clone()
                && claim_question(router, &target)
            {
                let question = ask_server(Rc::clone(router), target, path);
                executor.spawn(question).detach();
            }
        }
        wait_until(changed, CHECK_INTERVAL).await;
        Timer::after(REPORT_DELAY).await;
    }
}

/// Number of servers that count as cold until they say whether they are.
pub(crate) fn count_unheard(router: &ForwardRouter) -> usize {
    unheard_servers(router).len()
}

fn unheard_servers(router: &ForwardRouter) -> Vec<QueryTarget> {
    let Some(config) = router.configs.current() else {
        return Vec::new();
    };
    let now = router.clock.now();
    let servers = router.servers.borrow();
    let mut unheard = Vec::new();
    for service in &config.services {
        let Some(slow_start) = service.slow_start else {
            continue;
        };
        let limit = router.settings.slow_start.limit(slow_start);
        let target = |entry: &ServerEntry| QueryTarget {
            server: entry.incarnation.clone(),
            address: entry.address,
            path: service.health_path.clone(),
            limit,
        };
        let of_service = servers.unheard(&service.id, slow_start.span, now);
        unheard.extend(of_service.map(target));
    }
    unheard
}

/// The newest revision that this instance knows the store to have had.
fn known_revision(router: &ForwardRouter) -> u64 {
    let servers = router.servers.borrow();
    let evacuations = servers.evacuations();
    let zones = evacuations.known_revision();
    let unread = evacuations.returns().unread_to();
    zones.max(unread).max(router.server_revision.get())
}

/// Whether this instance may ask a server now. If so, the question counts towards the
/// server's limits, so it must be sent next.
fn claim_question(router: &ForwardRouter, target: &QueryTarget) -> bool {
    let now = router.clock.now();
    let may_ask = fleet_view(router, |fleet| {
        let servers = router.servers.borrow();
        let Some(entry) = servers.get(&target.server) else {
            return false;
        };
        let share = target.limit.query_share(&target.server.id, fleet);
        let wait = entry.limit.wait(&target.server.id, fleet, now);
        entry.warmth.has_share(share, now) && wait == ClockSpan::ZERO
    });
    if !may_ask || !router.warmth_queries.claim(&target.server) {
        return false;
    }
    if let Some(entry) = router.servers.borrow_mut().get_mut(&target.server) {
        entry.warmth.note_send(now);
        entry.limit.note_send(now);
    }
    true
}
