//! Asks servers whether they are cold, where nobody can tell any more which zones
//! were taken back.
//!
//! A question counts as a request to a server that may be cold. So for each server
//! only the instances ask that share its limit, and tell all others what it answered.
//! The answer holds as an entry of the server would that is newer than the changes
//! which were known before it was asked.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::ServerEntry;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::SlowStartLimit;
use guavawell_fleet::event::EventDraft;
use smol::LocalExecutor;
use smol::Timer;
use thiserror::Error;

use crate::attempt::response_head;
use crate::clock::wait_until;
use crate::eligible::fleet_view;
use crate::http::ChannelError;
use crate::http::HeadWriter;
use crate::http::HttpChannel;
use crate::http::ResponseHead;
use crate::http::within;
use crate::peer::PeerRequest;
use crate::peer::ServerAnswer;
use crate::peer::WarmthReport;
use crate::pool::keep_alive_span;
use crate::router::ForwardRouter;
use crate::server_status::read_cold_span;

/// Interval of checks which servers are to be asked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which answers are collected before other instances are told them.
const REPORT_DELAY: Duration = Duration::from_millis(10);
/// Time for the answer of a server. One that runs as many requests as it can answers
/// once a slot is free.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a report to one instance.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest body of an answer, in bytes.
const MAX_ANSWER_BODY: usize = 16 * 1024;

/// Why a server did not say whether it is cold.
#[derive(Debug, Error)]
enum WarmthError {
    /// The connection failed, or the response is malformed.
    #[error(transparent)]
    Channel(#[from] ChannelError),
    /// The server is not healthy, or cannot answer now.
    #[error("the server answered with status {0}")]
    Status(u16),
    /// Another server has the address.
    #[error("another server answered")]
    OtherServer,
}

/// A server to be asked.
#[derive(Clone, Debug)]
struct QueryTarget {
    server: ServerIncarnation,
    address: SocketAddr,
    path: Box<str>,
    limit: SlowStartLimit,
}

/// An answer that other instances were not told yet, and the revision up to which the
/// store's changes were known before the question.
#[derive(Debug)]
struct HeardAnswer {
    answer: ServerAnswer,
    revision: u64,
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
    /// Whether a server has no question to answer; from now on it has.
    fn claim(&self, server: &ServerIncarnation) -> bool {
        let mut asked = self.asked.borrow_mut();
        let place = asked.binary_search(server);
        if let Err(place) = place {
            asked.insert(place, server.clone());
        }
        place.is_err()
    }

    /// Records that the question to a server has ended.
    fn release(&self, server: &ServerIncarnation) {
        let mut asked = self.asked.borrow_mut();
        if let Ok(place) = asked.binary_search(server) {
            asked.remove(place);
        }
    }

    /// Takes the answers that other instances were not told yet.
    fn take_report(&self) -> Option<WarmthReport> {
        let heard = self.heard.take();
        let revision = heard.iter().map(|heard| heard.revision).min()?;
        Some(WarmthReport {
            revision,
            answers: heard.into_iter().map(|heard| heard.answer).collect(),
        })
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
            if claim_question(router, &target) {
                let question = ask_server(Rc::clone(router), target);
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
        let Some((slow_start, path)) = service.slow_start.zip(service.health_path.as_ref()) else {
            continue;
        };
        let limit = router.settings.slow_start.limit(slow_start);
        let target = |entry: &ServerEntry| QueryTarget {
            server: entry.incarnation.clone(),
            address: entry.address,
            path: path.clone(),
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

/// Asks a server and applies its answer.
async fn ask_server(router: Rc<ForwardRouter>, target: QueryTarget) {
    metrics::counter!("guavawell_forward_warmth_questions_total").increment(1);
    let revision = known_revision(&router);
    let answer = within(ANSWER_TIMEOUT, query_health(&router, &target)).await;
    router.warmth_queries.release(&target.server);
    match answer {
        Ok(head) => match read_answer(&router, &target, &head) {
            Ok(cold) => apply_answer(&router, &target.server, cold, revision),
            Err(error) => log_unanswered(&router, &target.server, &error),
        },
        Err(error) => log_unanswered(&router, &target.server, &error.into()),
    }
}

/// Sends a question for a server's health, over an idle connection if there is one.
async fn query_health(
    router: &ForwardRouter,
    target: &QueryTarget,
) -> Result<ResponseHead, ChannelError> {
    let names = &router.settings.names;
    let max_idle = router.settings.times.idle_once;
    let now = router.clock.now();
    let idle = router.pool.borrow_mut().take(&target.server, now, max_idle);
    let mut channel = match idle {
        Some(channel) => channel,
        None => open_connection(target).await?,
    };
    let mut request = HeadWriter::request("GET", &target.path);
    request.field_of("Host", target.address);
    request.field_of(names.expected_server, &target.server.id);
    channel.send(&request.finish()).await?;
    // A response with a request's id answers another request.
    let is_own = |head: &ResponseHead| head.fields.get(names.request).is_none();
    let head = response_head(&mut channel, false, is_own).await?;
    channel.body(head.framing, MAX_ANSWER_BODY).await?;
    if head.keep_alive && channel.is_quiet() {
        let max_idle = keep_alive_span(&head.fields, router.settings.times.idle);
        let now = router.clock.now();
        let mut pool = router.pool.borrow_mut();
        pool.put(&target.server, channel, now, max_idle);
    }
    Ok(head)
}

async fn open_connection(target: &QueryTarget) -> Result<HttpChannel, ChannelError> {
    metrics::counter!("guavawell_forward_connections_total").increment(1);
    HttpChannel::connect(target.address, ANSWER_TIMEOUT).await
}

/// How much longer a server is cold by its answer. A healthy server that states no
/// cold time is warm.
fn read_answer(
    router: &ForwardRouter,
    target: &QueryTarget,
    head: &ResponseHead,
) -> Result<ClockSpan, WarmthError> {
    let names = &router.settings.names;
    if head.status != 200 {
        return Err(WarmthError::Status(head.status));
    }
    if head.fields.get(names.server_id) != Some(target.server.id.as_str()) {
        return Err(WarmthError::OtherServer);
    }
    let stated = head.fields.get(names.cold);
    let cold = stated.map(|text| read_cold_span(router, &target.server, text));
    Ok(cold.unwrap_or_default())
}

/// Applies what a server answered, and keeps it for the other instances.
fn apply_answer(
    router: &ForwardRouter,
    server: &ServerIncarnation,
    cold: ClockSpan,
    revision: u64,
) {
    let now = router.clock.now();
    if let Some(entry) = router.servers.borrow_mut().get_mut(server) {
        entry.warmth.state(now, cold, revision);
    }
    let answer = ServerAnswer {
        server: server.clone(),
        cold,
    };
    let heard = HeardAnswer { answer, revision };
    router.warmth_queries.heard.borrow_mut().push(heard);
    router.zone_history.server_heard();
    let draft = EventDraft::new("server.warmth_stated")
        .field("server", server)
        .field("cold_ms", cold.as_millis())
        .field("asked_after", revision);
    router.log.emit(draft);
}

fn log_unanswered(router: &ForwardRouter, server: &ServerIncarnation, error: &WarmthError) {
    metrics::counter!("guavawell_forward_warmth_unanswered_total").increment(1);
    let draft = EventDraft::new("server.warmth_unknown")
        .field("server", server)
        .field("error", error);
    router.log.emit(draft);
}

/// Tells other instances what servers answered since they were last told.
fn tell_answers(router: &Rc<ForwardRouter>, executor: &LocalExecutor<'static>) {
    let Some(report) = router.warmth_queries.take_report() else {
        return;
    };
    let request = Rc::new(PeerRequest::Warmth(report));
    for (_, address) in router.peers.addresses() {
        let send = send_report(Rc::clone(router), address, Rc::clone(&request));
        executor.spawn(send).detach();
    }
}

async fn send_report(router: Rc<ForwardRouter>, address: SocketAddr, request: Rc<PeerRequest>) {
    let sent = router.peers.send_request(address, &request, REPORT_TIMEOUT);
    if let Err(error) = sent.await {
        metrics::counter!("guavawell_forward_warmth_untold_total").increment(1);
        log::debug!("telling {address} whether servers are cold failed: {error}");
    }
}

/// Applies what servers answered another instance.
pub(crate) fn learn_warmth(router: &ForwardRouter, report: &WarmthReport) {
    let now = router.clock.now();
    let mut servers = router.servers.borrow_mut();
    for answer in &report.answers {
        if let Some(entry) = servers.get_mut(&answer.server) {
            entry.warmth.state(now, answer.cold, report.revision);
        }
    }
    drop(servers);
    router.zone_history.server_heard();
    let draft = EventDraft::new("server.warmth_told")
        .field("answers", report.answers.len())
        .field("asked_after", report.revision);
    router.log.emit(draft);
}
