//! Load reports: one router of a zone polls a backend server and tells the others.
//!
//! The poller is picked by hashing among the zone's routers. Its reports ride
//! on gossip as notes; a note that is late only makes a report older.

use std::net::SocketAddr;
use std::sync::Arc;

use guavawell_core::backend::LoadReport;
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

/// What a note's key begins with.
const NOTE_PREFIX: &str = "load/";

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
    loop {
        let members = gossip.view();
        take_notes(&core, &members);
        for (backend, address) in own_backends(&core, &members) {
            let core = Arc::clone(&core);
            let gossip = gossip.clone();
            let tasks = core.tasks.clone();
            let poll = async move { poll_one(&core, &gossip, &backend, address).await };
            tasks.spawn(poll);
        }
        Timer::after(pause).await;
    }
}

fn own_backends(core: &RouterCore, members: &MemberView) -> Vec<(BackendId, SocketAddr)> {
    let view = core.view.load();
    let zone = &core.settings.instance.zone;
    let own = view.backends().iter().filter(|entry| {
        entry.zone == *zone
            && members
                .owner_in(zone, entry.id.as_str().as_bytes())
                .is_some_and(|owner| owner.instance == core.life.instance)
    });
    own.map(|entry| (entry.id.clone(), entry.address)).collect()
}

async fn poll_one(
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
    let note = LoadNote::of(&report);
    apply(core, backend, &report);
    let Ok(bytes) = postcard::to_allocvec(&note) else {
        return;
    };
    let note = GossipNote {
        key: format!("{NOTE_PREFIX}{backend}").into(),
        version: note.at.as_millis(),
        scope: NoteScope::Zone(core.settings.instance.zone.clone()),
        bytes: bytes.into(),
    };
    if gossip.publish(&note).is_err() {
        metrics::counter!("guavawell_load_notes_dropped_total").increment(1);
    }
}

fn take_notes(core: &RouterCore, members: &MemberView) {
    for note in members.notes() {
        let Some(backend) = note.key.strip_prefix(NOTE_PREFIX) else {
            continue;
        };
        let Ok(backend) = backend.parse::<BackendId>() else {
            continue;
        };
        if let Ok(note) = postcard::from_bytes::<LoadNote>(&note.bytes) {
            apply(core, &backend, &note.into_report());
        }
    }
}

fn apply(core: &RouterCore, backend: &BackendId, report: &LoadReport) {
    let effect = core
        .backends
        .load()
        .apply_report(backend, report, clock::now());
    if effect.leaving && !effect.ignored {
        metrics::counter!("guavawell_backends_leaving_reports_total").increment(1);
    }
}
