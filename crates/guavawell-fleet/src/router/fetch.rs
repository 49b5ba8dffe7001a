//! Load reports and cache events: one router of a zone polls a backend server.
//!
//! The poller is picked by hashing among the zone's routers. Its load reports
//! ride on gossip as notes; a note that is late only makes a report older. The
//! models held ride in notes of their own, sent on a change and now and then.
//! Cache events stay with the poller: they are too many for gossip, and the
//! other routers learn from their own requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use guavawell_core::backend::CacheBatch;
use guavawell_core::backend::LoadReport;
use guavawell_core::backend::ServedModel;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::BackendId;
use guavawell_core::instance::GossipNote;
use guavawell_core::instance::MemberView;
use guavawell_core::instance::NoteScope;
use serde::Deserialize;
use serde::Serialize;
use smol::Timer;

use super::core::RouterCore;
use crate::clock;
use crate::gossip::GossipDriver;

/// Up to this many backend servers, load reports go to the whole fleet; each
/// takes about 50 bytes in gossip.
const MAX_SHARED_SERVERS: usize = 64;

/// What a note's key begins with.
const NOTE_PREFIX: &str = "load/";

/// What the key of a note on the models held begins with.
const MODELS_PREFIX: &str = "models/";

/// Time between two notes on the models held, if they do not change.
const MODELS_EVERY: ClockSpan = ClockSpan::from_millis(5_000);

/// A load report as it rides on gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LoadNote {
    at: ClockTime,
    running: u32,
    queued: u32,
    slots: u32,
    leaving: bool,
}

impl LoadNote {
    fn of(report: &LoadReport) -> Self {
        Self {
            at: report.at,
            running: report.running,
            queued: report.queued,
            slots: report.slots,
            leaving: &*report.role == "leaving",
        }
    }

    fn into_report(self) -> LoadReport {
        LoadReport {
            at: self.at,
            running: self.running,
            queued: self.queued,
            slots: self.slots,
            models: Vec::new(),
            role: if self.leaving { "leaving" } else { "" }.into(),
        }
    }
}

/// Polls the backend servers that hashing gives to this router, and takes the
/// others' reports from gossip.
pub async fn run_polls(core: Arc<RouterCore>, gossip: GossipDriver) {
    let pause = clock::duration(core.settings.routing.load_poll_ms);
    let rounds = PollRounds::default();
    loop {
        let members = gossip.view();
        core.backends.load().set_routers(readers(&core, &members));
        take_notes(&core, &members);
        for server in own_backends(&core, &members) {
            let Some(round) = rounds.begin(&server.id) else {
                continue;
            };
            let core = Arc::clone(&core);
            let gossip = gossip.clone();
            let tasks = core.tasks.clone();
            tasks.spawn(async move {
                poll_load(&core, &gossip, &server.id, server.address).await;
                if server.has_cache {
                    poll_cache(&core, &server.id, server.address).await;
                }
                drop(round);
            });
        }
        Timer::after(pause).await;
    }
}

/// The servers whose poll is under way, so that none has two.
///
/// Of two polls the later may end first; the earlier one's cache events would
/// then look like those of a server that began anew.
#[derive(Clone, Default)]
struct PollRounds(Arc<Mutex<Vec<BackendId>>>);

/// A poll under way; ended when dropped.
struct PollRound {
    rounds: PollRounds,
    server: BackendId,
}

impl PollRounds {
    /// Begins a poll; `None` while the last one is under way.
    fn begin(&self, server: &BackendId) -> Option<PollRound> {
        let mut polled = self.lock();
        if polled.contains(server) {
            return None;
        }
        polled.push(server.clone());
        Some(PollRound {
            rounds: self.clone(),
            server: server.clone(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Vec<BackendId>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for PollRound {
    fn drop(&mut self) {
        self.rounds.lock().retain(|server| *server != self.server);
    }
}

/// A backend server that this router polls.
struct PolledServer {
    id: BackendId,
    address: SocketAddr,
    /// Whether it runs models, and so tells of cached prefixes.
    has_cache: bool,
}

fn own_backends(core: &RouterCore, members: &MemberView) -> Vec<PolledServer> {
    let view = core.view.load();
    let zone = &core.settings.instance.zone;
    let own = view
        .backends()
        .iter()
        .filter(|entry| entry.zone == *zone && is_own(core, members, &entry.id));
    let polled = own.map(|entry| PolledServer {
        id: entry.id.clone(),
        address: entry.address,
        has_cache: !entry.models.is_empty(),
    });
    polled.collect()
}

fn is_own(core: &RouterCore, members: &MemberView, backend: &BackendId) -> bool {
    let zone = &core.settings.instance.zone;
    members
        .owner_in(zone, backend.as_str().as_bytes())
        .is_some_and(|owner| owner.instance == core.life.instance)
}

async fn poll_load(
    core: &RouterCore,
    gossip: &GossipDriver,
    backend: &BackendId,
    address: SocketAddr,
) {
    let Ok(body) = core.engines.fetch(address, "/v1/load").await else {
        metrics::counter!("guavawell_load_polls_failed_total").increment(1);
        return;
    };
    let Ok(report) = serde_json::from_slice::<LoadReport>(&body) else {
        metrics::counter!("guavawell_load_reports_malformed_total").increment(1);
        return;
    };
    apply(core, backend, &report);
    let note = LoadNote::of(&report);
    let scope = load_scope(core, note.leaving);
    let changed = take_models(core, backend, &report.models);
    publish(gossip, NOTE_PREFIX, backend, report.at, scope, &note);
    if changed || is_renewal(core, report.at) {
        publish(
            gossip,
            MODELS_PREFIX,
            backend,
            report.at,
            own_zone(core),
            &report.models,
        );
    }
}

fn own_zone(core: &RouterCore) -> NoteScope {
    NoteScope::Zone(core.settings.instance.zone.clone())
}

/// Whether every router hears every server's load, not only its own zone's.
fn is_shared(core: &RouterCore) -> bool {
    core.view.load().backends().len() <= MAX_SHARED_SERVERS
}

/// Who hears a load report. Leaving has to be known wherever work may come from.
fn load_scope(core: &RouterCore, leaving: bool) -> NoteScope {
    if leaving || is_shared(core) {
        NoteScope::Fleet
    } else {
        own_zone(core)
    }
}

/// Routers that follow the same load reports as this one, itself included.
fn readers(core: &RouterCore, members: &MemberView) -> u32 {
    let count = if is_shared(core) {
        members.routable().count()
    } else {
        members.routable_in(&core.settings.instance.zone).count()
    };
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// About one poll in [`MODELS_EVERY`], for routers that missed the change.
fn is_renewal(core: &RouterCore, at: ClockTime) -> bool {
    let poll = core.settings.routing.load_poll_ms;
    at.as_millis() % MODELS_EVERY.as_millis() < poll.as_millis()
}

fn publish(
    gossip: &GossipDriver,
    prefix: &str,
    backend: &BackendId,
    at: ClockTime,
    scope: NoteScope,
    value: &impl Serialize,
) {
    let Ok(bytes) = postcard::to_allocvec(value) else {
        return;
    };
    let note = GossipNote {
        key: format!("{prefix}{backend}").into(),
        version: at.as_millis(),
        scope,
        bytes: bytes.into(),
    };
    if gossip.publish(&note).is_err() {
        metrics::counter!("guavawell_load_notes_dropped_total").increment(1);
    }
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

fn take_notes(core: &RouterCore, members: &MemberView) {
    for note in members.notes() {
        if let Some(backend) = backend_of(&note.key, NOTE_PREFIX) {
            if let Ok(note) = postcard::from_bytes::<LoadNote>(&note.bytes) {
                apply(core, &backend, &note.into_report());
            }
        } else if let Some(backend) = backend_of(&note.key, MODELS_PREFIX)
            && !is_own(core, members, &backend)
            && let Ok(models) = postcard::from_bytes::<Vec<ServedModel>>(&note.bytes)
        {
            take_models(core, &backend, &models);
        }
    }
}

fn backend_of(key: &str, prefix: &str) -> Option<BackendId> {
    key.strip_prefix(prefix)?.parse().ok()
}

fn apply(core: &RouterCore, backend: &BackendId, report: &LoadReport) {
    let now = clock::now();
    let effect = core.backends.load().apply_report(backend, report, now);
    if !effect.ignored {
        core.models.touch(backend, effect.leaving, now);
    }
    if effect.leaving && !effect.ignored {
        metrics::counter!("guavawell_backends_leaving_reports_total").increment(1);
    }
}

/// Routes to what a server holds; true if that is news.
fn take_models(core: &RouterCore, backend: &BackendId, models: &[ServedModel]) -> bool {
    let mut models = models.to_vec();
    models.sort();
    let known = core.models.find(backend);
    if known.is_some_and(|known| known.models == models) {
        return false;
    }
    // The book goes first: a new manifest builds its table from the book.
    core.models.note(backend, &models, clock::now());
    if is_routed_so(core, backend, &models) {
        return true;
    }
    log::info!("backend server {backend} holds {} models", models.len());
    metrics::counter!("guavawell_backend_models_changed_total").increment(1);
    core.backends
        .rcu(|table| table.with_models(backend, &models, clock::now()));
    true
}

/// Whether routing knows the server with just these models, or not at all.
fn is_routed_so(core: &RouterCore, backend: &BackendId, models: &[ServedModel]) -> bool {
    let table = core.backends.load();
    let specs = table.specs();
    let place = specs.binary_search_by(|spec| spec.id.cmp(backend));
    place.map_or(true, |place| specs[place].models == models)
}
