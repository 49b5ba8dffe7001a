//! What the manifest wants of one zone, and what its engines hold.

use guavawell_core::backend::ServedModel;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::ModelId;
use guavawell_core::id::ZoneId;
use guavawell_core::manifest::BackendEntry;
use guavawell_core::manifest::BackendKind;
use guavawell_core::manifest::FleetView;
use guavawell_core::manifest::ModelEntry;
use guavawell_core::order::PlacementEngine;
use guavawell_core::order::PlacementGoal;

use super::book::ModelBook;

/// One zone as placement sees it.
#[derive(Clone, Debug)]
pub struct ZonePicture {
    /// What the manifest wants.
    pub wishes: Vec<PlacementGoal>,
    /// The zone's engines, sorted by id.
    pub rooms: Vec<PlacementEngine>,
    /// Engines that have not reported yet.
    pub unseen: usize,
}

/// How a picture is taken.
#[derive(Clone, Copy, Debug)]
pub struct PictureBounds {
    /// Models that an engine holds beyond those listed for it.
    pub spare: usize,
    /// Silence after which an engine's copies no longer count.
    pub silence: ClockSpan,
}

impl ZonePicture {
    /// The picture of `zone` by the manifest in force and the last reports.
    #[must_use]
    pub fn take(
        view: &FleetView,
        zone: &ZoneId,
        book: &ModelBook,
        bounds: PictureBounds,
        now: ClockTime,
    ) -> Self {
        let engines = view
            .backends()
            .iter()
            .filter(|entry| entry.kind == BackendKind::Model && entry.zone == *zone);
        let mut unseen = 0;
        let mut rooms = Vec::new();
        for entry in engines {
            let report = book.find(&entry.id);
            unseen += usize::from(report.is_none());
            let gone = report.as_ref().is_none_or(|report| {
                report.is_leaving() || now.since(report.seen()) > bounds.silence
            });
            let models = report.map_or_else(Vec::new, |report| report.models.clone());
            rooms.push(room(view, entry, models, gone, bounds.spare));
        }
        let wishes = wishes(view, zone, &rooms);
        Self {
            wishes,
            rooms,
            unseen,
        }
    }

    /// The wish for a model or adapter of this name.
    #[must_use]
    pub fn wish_for(&self, model: &ModelId) -> Option<&PlacementGoal> {
        self.wishes.iter().find(|wish| wish.served.model == *model)
    }
}

fn room(
    view: &FleetView,
    entry: &BackendEntry,
    models: Vec<ServedModel>,
    gone: bool,
    spare: usize,
) -> PlacementEngine {
    let hosts = hosts(view, entry, &models);
    PlacementEngine {
        backend: entry.id.clone(),
        zone: entry.zone.clone(),
        capacity: hosts.len() + spare,
        loadable: hosts,
        models,
        loading: Vec::new(),
        blocked: entry.leaving || gone,
        leaving: entry.leaving || gone,
    }
}

/// The models listed for a server, and the adapters of those that it serves in
/// the manifest's version.
fn hosts(view: &FleetView, entry: &BackendEntry, models: &[ServedModel]) -> Vec<ModelId> {
    let mut hosts = entry.models.to_vec();
    for model in entry.models.iter().filter_map(|id| view.model(id)) {
        let serves =
            |held: &ServedModel| held.model == model.id && held.version.as_str() == &*model.version;
        if models.iter().any(serves) {
            hosts.extend(model.adapters.iter().map(|adapter| adapter.id.clone()));
        }
    }
    hosts
}

fn wishes(view: &FleetView, zone: &ZoneId, rooms: &[PlacementEngine]) -> Vec<PlacementGoal> {
    let here = view
        .models()
        .iter()
        .filter(|model| model.zones.contains(zone));
    let mut wishes = Vec::new();
    for model in here {
        let adapters = model
            .adapters
            .iter()
            .map(|entry| (&entry.id, &entry.version));
        for (id, version) in std::iter::once((&model.id, &model.version)).chain(adapters) {
            let Ok(version) = version.parse() else {
                continue;
            };
            wishes.push(PlacementGoal {
                served: ServedModel {
                    model: id.clone(),
                    version,
                },
                zones: vec![zone.clone()],
                replicas: copies(model, id, rooms),
            });
        }
    }
    wishes
}

/// As many as the manifest wants and the zone's servers allow; a new version
/// gets no fewer copies than the old one has, lest a rollout take capacity.
fn copies(model: &ModelEntry, id: &ModelId, rooms: &[PlacementEngine]) -> usize {
    let able = |room: &&PlacementEngine| !room.leaving && room.loadable.contains(id);
    let holds = |room: &&PlacementEngine| room.models.iter().any(|held| held.model == *id);
    let holders = rooms.iter().filter(able).filter(holds).count();
    let wanted = usize::from(model.replicas_per_zone).max(holders);
    wanted.min(rooms.iter().filter(able).count())
}
