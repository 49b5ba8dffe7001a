//! Load reports and cache events: one router of a zone polls a backend server.
//!
//! The first router in a server's order polls it; the next ones stand in while
//! no report comes. What others need is passed on by `report`, and what the
//! whole zone has to know by `seen`. Cache events stay with the poller: they
//! are too many, and the other routers learn from their own requests.

use std::net::SocketAddr;
use std::sync::Arc;

use guavawell_core::backend::BackendTable;
use guavawell_core::backend::CacheBatch;
use guavawell_core::backend::LoadReport;
use guavawell_core::backend::RouterSubset;
use guavawell_core::backend::ServedModel;
use guavawell_core::backend::poll_turns;
use guavawell_core::backend::should_poll;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::BackendId;
use guavawell_core::instance::MemberView;
use smol::Timer;

use super::core::RouterCore;
use super::report::ReportPost;
use super::round::PollRounds;
use super::seen::SeenBook;
use super::summary::SummaryBook;
use crate::clock;
use crate::gossip::GossipDriver;

/// Up to this many backend servers, and [`MAX_SHARED_ROUTERS`], every router
/// hears every server's load and sends to all of them.
const MAX_SHARED_SERVERS: usize = 64;

/// Routers up to which every one hears every report.
const MAX_SHARED_ROUTERS: usize = 32;

/// Least routers of a server where they have subsets.
const LEAST_SHARERS: usize = 4;

/// Servers that a router asks for itself in one period, beside those that it
/// polls, because it knows nothing of them or heard that their models changed.
const ASKED_A_PERIOD: usize = 8;

/// Periods between two asks of the servers that nobody speaks of any more.
const SILENT_EVERY: usize = 16;

/// Polls in which a server is asked for cache events once, in a large fleet.
const CACHE_EVERY: usize = 4;

/// What the polls of this router share.
pub struct PollParts {
    core: Arc<RouterCore>,
    gossip: GossipDriver,
    post: ReportPost,
    seen: SeenBook,
    rounds: PollRounds,
    started: ClockTime,
}

/// A backend server of this router's zone.
struct PolledServer {
    id: BackendId,
    address: SocketAddr,
    /// Whether it runs models, and so tells of cached prefixes.
    has_cache: bool,
    /// This router's place in the server's order.
    rank: usize,
}

/// Polls the backend servers that hashing gives to this router, and takes the
/// others' news from gossip.
pub async fn run_polls(core: Arc<RouterCore>, gossip: GossipDriver) {
    let pause = clock::duration(core.settings.routing.load_poll_ms);
    let parts = Arc::new(PollParts {
        post: ReportPost::new(Arc::clone(&core), gossip.clone()),
        seen: SeenBook::new(Arc::clone(&core), gossip.clone()),
        core,
        gossip,
        rounds: PollRounds::default(),
        started: clock::now(),
    });
    let mut summaries = SummaryBook::new(Arc::clone(&parts.core), parts.gossip.clone());
    for turn in 0_usize.. {
        let members = parts.gossip.view();
        let routers = zone_routers(&parts.core, &members);
        let shared = is_shared(&parts.core, &members);
        share_out(&parts.core, &members, &routers, shared);
        parts.seen.take(&members);
        summaries.take(&members);
        if !shared {
            summaries.tell(&members);
        }
        let servers = zone_servers(&parts.core, &routers);
        poll_own(&parts, &servers, turn, shared);
        ask_unknown(&parts, &servers, turn);
        Timer::after(pause).await;
    }
}

/// The order of the zone's routers for each of its servers.
fn zone_routers(core: &RouterCore, members: &MemberView) -> RouterSubset {
    let zone = &core.settings.instance.zone;
    let routers = members.routable_in(zone);
    RouterSubset::new(
        core.life.instance.clone(),
        zone.clone(),
        routers.map(|router| router.instance.clone()).collect(),
        core.settings.routing.subset_servers as usize,
        LEAST_SHARERS,
    )
}

/// Whether every router hears every server's load.
fn is_shared(core: &RouterCore, members: &MemberView) -> bool {
    let servers = core.view.load().backends().len();
    servers <= MAX_SHARED_SERVERS && members.routable().count() <= MAX_SHARED_ROUTERS
}

/// Tells the table which routers send to which servers, if that changed.
fn share_out(core: &RouterCore, members: &MemberView, routers: &RouterSubset, shared: bool) {
    let count = u32::try_from(members.routable().count()).unwrap_or(u32::MAX);
    core.backends.load().set_routers(count);
    let subset = (!shared).then_some(routers);
    if core.backends.load().subset() != subset {
        let subset = subset.cloned().map(Arc::new);
        core.backends
            .rcu(|table| table.with_subset(subset.clone(), clock::now()));
    }
}

fn zone_servers(core: &RouterCore, routers: &RouterSubset) -> Vec<PolledServer> {
    let view = core.view.load();
    let own = view
        .backends()
        .iter()
        .filter(|entry| entry.zone == *routers.zone());
    let servers = own.map(|entry| PolledServer {
        id: entry.id.clone(),
        address: entry.address,
        has_cache: !entry.models.is_empty(),
        rank: routers.rank(&entry.id).unwrap_or(usize::MAX),
    });
    servers.collect()
}

/// Polls the servers that are this router's, a part of them each time.
fn poll_own(parts: &Arc<PollParts>, servers: &[PolledServer], turn: usize, shared: bool) {
    let own = servers.iter().filter(|server| server.rank == 0).count();
    let turns = poll_turns(own);
    let pause = parts.core.settings.routing.load_poll_ms;
    let pause = ClockSpan::from_millis(pause.as_millis() * turns as u64);
    let now = clock::now();
    let table = parts.core.backends.load();
    let mut place = 0;
    for server in servers {
        let silence = silence(parts, &table, server, now);
        if !should_poll(server.rank, silence, pause) {
            continue;
        }
        place += 1;
        let step = turn + place;
        if step.is_multiple_of(turns) {
            let cache = server.has_cache && (shared || (step / turns).is_multiple_of(CACHE_EVERY));
            start_poll(parts, server, true, cache);
        }
    }
}

fn silence(
    parts: &PollParts,
    table: &BackendTable,
    server: &PolledServer,
    now: ClockTime,
) -> ClockSpan {
    let last = table.reported(&server.id).unwrap_or(parts.started);
    now.since(last.max(parts.started))
}

/// Asks some of the servers that this router knows too little of.
fn ask_unknown(parts: &Arc<PollParts>, servers: &[PolledServer], turn: usize) {
    let silent = turn.is_multiple_of(SILENT_EVERY);
    let unknown: Vec<_> = servers
        .iter()
        .filter(|server| server.rank > 0 && parts.seen.is_unknown(&server.id, silent))
        .collect();
    let start = (turn * ASKED_A_PERIOD).checked_rem(unknown.len());
    let (before, after) = unknown.split_at(start.unwrap_or(0));
    for server in after.iter().chain(before).take(ASKED_A_PERIOD) {
        start_poll(parts, server, false, false);
    }
}

/// Polls a server on a task of its own; with `pass`, for other routers as well.
fn start_poll(parts: &Arc<PollParts>, server: &PolledServer, pass: bool, cache: bool) {
    let Some(round) = parts.rounds.begin(&server.id) else {
        return;
    };
    let (id, address) = (server.id.clone(), server.address);
    let parts = Arc::clone(parts);
    let tasks = parts.core.tasks.clone();
    tasks.spawn(async move {
        if let Some(report) = poll_load(&parts.core, &id, address).await {
            parts.seen.note(&id, &report, pass);
            if pass {
                parts.post.pass(&id, &report).await;
            }
        }
        if cache {
            poll_cache(&parts.core, &id, address).await;
        }
        drop(round);
    });
}

async fn poll_load(
    core: &RouterCore,
    backend: &BackendId,
    address: SocketAddr,
) -> Option<LoadReport> {
    let Ok(body) = core.engines.fetch(address, "/v1/load").await else {
        metrics::counter!("guavawell_load_polls_failed_total").increment(1);
        return None;
    };
    let Ok(report) = serde_json::from_slice::<LoadReport>(&body) else {
        metrics::counter!("guavawell_load_reports_malformed_total").increment(1);
        return None;
    };
    apply(core, backend, &report);
    take_models(core, backend, &report.models);
    Some(report)
}

async fn poll_cache(core: &RouterCore, backend: &BackendId, address: SocketAddr) {
    let after = core.backends.load().cache_next(backend);
    let path = format!("/v1/cache-events?after={after}");
    let Ok(body) = core.engines.fetch(address, &path).await else {
        metrics::counter!("guavawell_cache_polls_failed_total").increment(1);
        return;
    };
    let Ok(batch) = serde_json::from_slice::<CacheBatch>(&body) else {
        metrics::counter!("guavawell_cache_events_malformed_total").increment(1);
        return;
    };
    let lost = core.backends.load().apply_cache_events(backend, &batch);
    let taken = batch.events.len() as u64;
    let label = backend.to_string();
    metrics::counter!("guavawell_cache_events_total", "backend" => label.clone()).increment(taken);
    metrics::counter!("guavawell_cache_events_lost_total", "backend" => label).increment(lost);
}

/// Takes a load report into routing.
pub fn apply(core: &RouterCore, backend: &BackendId, report: &LoadReport) {
    let now = clock::now();
    let effect = core.backends.load().apply_report(backend, report, now);
    if !effect.ignored {
        core.models.touch(backend, effect.leaving, now);
    }
    if effect.leaving && !effect.ignored {
        metrics::counter!("guavawell_backends_leaving_reports_total").increment(1);
    }
}

/// Routes to what a server holds.
fn take_models(core: &RouterCore, backend: &BackendId, models: &[ServedModel]) {
    let mut models = models.to_vec();
    models.sort();
    let known = core.models.find(backend);
    if known.is_some_and(|known| known.models == models) {
        return;
    }
    // The book goes first: a new manifest builds its table from the book.
    core.models.note(backend, &models, clock::now());
    if is_routed_so(core, backend, &models) {
        return;
    }
    log::info!("backend server {backend} holds {} models", models.len());
    metrics::counter!("guavawell_backend_models_changed_total").increment(1);
    core.backends
        .rcu(|table| table.with_models(backend, &models, clock::now()));
}

/// Whether routing knows the server with just these models, or not at all.
fn is_routed_so(core: &RouterCore, backend: &BackendId, models: &[ServedModel]) -> bool {
    let table = core.backends.load();
    let specs = table.specs();
    let place = specs.binary_search_by(|spec| spec.id.cmp(backend));
    place.map_or(true, |place| specs[place].models == models)
}
