//! The index of a table: servers by target and zone, and those near this router.

use std::sync::Arc;

use super::summary::UseCell;
use crate::backend::BackendSpec;
use crate::backend::BackendState;
use crate::backend::ModelVersion;
use crate::backend::RouteTarget;
use crate::backend::RouterSubset;
use crate::id::BackendId;
use crate::id::ZoneId;

/// The servers of one zone that serve one target, sorted by mark.
#[derive(Debug)]
pub(super) struct BackendGroup {
    pub(super) zone: ZoneId,
    pub(super) members: Vec<Arc<BackendState>>,
    /// Those that this router sends to, in the same order; all of them in a
    /// zone without subsets.
    pub(super) near: Vec<Arc<BackendState>>,
    /// What another zone says of its use.
    pub(super) told: UseCell,
}

/// The groups of one target, sorted by zone.
#[derive(Debug)]
pub(super) struct TargetIndex {
    target: RouteTarget,
    version: Option<ModelVersion>,
    /// Its own place in the table.
    place: usize,
    pub(super) zones: Vec<Arc<BackendGroup>>,
}

impl TargetIndex {
    /// What the table is sorted by.
    pub(super) fn key(&self) -> (&RouteTarget, Option<&ModelVersion>) {
        (&self.target, self.version.as_ref())
    }

    /// What is routed to.
    pub(super) fn target(&self) -> &RouteTarget {
        &self.target
    }

    /// Takes over what zones told, from the table before.
    fn keep_told(&self, former: &[Self]) {
        let place = former.binary_search_by(|index| index.key().cmp(&self.key()));
        let Ok(place) = place else {
            return;
        };
        for group in &self.zones {
            if let Some(old) = former[place].zone(&group.zone) {
                group.told.copy(&old.told);
            }
        }
    }

    /// Its place in the table.
    pub(super) fn place(&self) -> usize {
        self.place
    }

    /// The group of a zone.
    pub(super) fn zone(&self, zone: &ZoneId) -> Option<&Arc<BackendGroup>> {
        let place = self.zones.binary_search_by(|group| group.zone.cmp(zone));
        place.ok().map(|place| &self.zones[place])
    }
}

/// One server under one target, while the index is built.
struct IndexEntry<'a> {
    target: RouteTarget,
    version: Option<ModelVersion>,
    state: &'a Arc<BackendState>,
    /// This router's place in the server's order, in a zone with subsets.
    rank: Option<usize>,
}

pub(super) fn index(
    specs: &[BackendSpec],
    states: &[Arc<BackendState>],
    subset: Option<&RouterSubset>,
    former: &[TargetIndex],
) -> Vec<TargetIndex> {
    let mut entries = Vec::new();
    for (spec, state) in specs.iter().zip(states) {
        let subset = subset.filter(|subset| *subset.zone() == state.zone);
        let rank = subset.and_then(|subset| subset.rank(&spec.id));
        add_entries(&mut entries, spec, state, rank);
    }
    entries.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
    entries.dedup_by(|a, b| sort_key(a) == sort_key(b));
    let targets: Vec<_> = entries
        .chunk_by(|a, b| (&a.target, &a.version) == (&b.target, &b.version))
        .enumerate()
        .map(|(place, entries)| target_index(place, entries, subset))
        .collect();
    set_sharers(states, &targets, subset);
    for target in &targets {
        target.keep_told(former);
    }
    targets
}

/// Tells each server how many routers send to it: those of its smallest group.
fn set_sharers(
    states: &[Arc<BackendState>],
    targets: &[TargetIndex],
    subset: Option<&RouterSubset>,
) {
    let mut smallest = Vec::new();
    if let Some(subset) = subset {
        let groups = targets
            .iter()
            .filter_map(|target| target.zone(subset.zone()));
        for group in groups {
            let size = group.members.len();
            smallest.extend(group.members.iter().map(|state| (&state.id, size)));
        }
    }
    smallest.sort_unstable();
    smallest.dedup_by_key(|(id, _)| *id);
    for state in states {
        let place = smallest.binary_search_by_key(&&state.id, |(id, _)| *id);
        let sharers = place.ok().zip(subset);
        state.set_sharers(sharers.map_or(0, |(place, subset)| subset.sharers(smallest[place].1)));
    }
}

fn add_entries<'a>(
    entries: &mut Vec<IndexEntry<'a>>,
    spec: &BackendSpec,
    state: &'a Arc<BackendState>,
    rank: Option<usize>,
) {
    let mut add = |target, version| {
        entries.push(IndexEntry {
            target,
            version,
            state,
            rank,
        });
    };
    for served in &spec.models {
        let target = RouteTarget::Model(served.model.clone());
        add(target.clone(), None);
        add(target, Some(served.version.clone()));
    }
    for service in &spec.services {
        add(RouteTarget::Service(service.clone()), None);
    }
}

fn sort_key<'a>(
    entry: &'a IndexEntry<'_>,
) -> (
    &'a RouteTarget,
    &'a Option<ModelVersion>,
    &'a ZoneId,
    u32,
    &'a BackendId,
) {
    let state = entry.state;
    (
        &entry.target,
        &entry.version,
        &state.zone,
        state.mark,
        &state.id,
    )
}

fn target_index(
    place: usize,
    entries: &[IndexEntry<'_>],
    subset: Option<&RouterSubset>,
) -> TargetIndex {
    let zones = entries
        .chunk_by(|a, b| a.state.zone == b.state.zone)
        .map(|chunk| Arc::new(group(chunk, subset)))
        .collect();
    TargetIndex {
        target: entries[0].target.clone(),
        version: entries[0].version.clone(),
        place,
        zones,
    }
}

fn group(entries: &[IndexEntry<'_>], subset: Option<&RouterSubset>) -> BackendGroup {
    let sharers = subset.map_or(usize::MAX, |subset| subset.sharers(entries.len()));
    let near = entries
        .iter()
        .filter(|entry| entry.rank.is_none_or(|rank| rank < sharers));
    BackendGroup {
        zone: entries[0].state.zone.clone(),
        members: entries.iter().map(shared).collect(),
        near: near.map(shared).collect(),
        told: UseCell::default(),
    }
}

fn shared(entry: &IndexEntry<'_>) -> Arc<BackendState> {
    Arc::clone(entry.state)
}
