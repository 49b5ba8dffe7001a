//! The set of backend servers, indexed by target and zone.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use super::affinity::AffinityCache;
use super::affinity::CacheHint;
use crate::backend::BackendSpec;
use crate::backend::BackendState;
use crate::backend::BackendView;
use crate::backend::CacheBatch;
use crate::backend::CacheChange;
use crate::backend::LoadReport;
use crate::backend::ModelVersion;
use crate::backend::ReportEffect;
use crate::backend::RouteTarget;
use crate::backend::RoutingSettings;
use crate::backend::ServedModel;
use crate::clock::ClockTime;
use crate::id::BackendId;
use crate::id::ZoneId;

/// The servers of one zone that serve one target, sorted by mark.
#[derive(Debug)]
pub(super) struct BackendGroup {
    pub(super) zone: ZoneId,
    pub(super) members: Vec<Arc<BackendState>>,
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

/// All backend servers that a router knows, for read-copy-update.
///
/// A table never changes its set; [`with_specs`](Self::with_specs) and
/// [`with_models`](Self::with_models) build the next one, in time and memory
/// proportional to the number of servers.
#[derive(Debug)]
pub struct BackendTable {
    settings: Arc<RoutingSettings>,
    routers: Arc<AtomicU32>,
    /// Sorted by id.
    specs: Vec<BackendSpec>,
    /// In the order of `specs`.
    states: Vec<Arc<BackendState>>,
    /// Sorted by target and version.
    targets: Vec<TargetIndex>,
    pub(super) affinity: Arc<AffinityCache>,
}

impl BackendTable {
    /// A table of `specs`.
    #[must_use]
    pub fn new(settings: RoutingSettings, specs: Vec<BackendSpec>, now: ClockTime) -> Self {
        let affinity = Arc::new(AffinityCache::new(settings.cache_hints));
        let empty = Self {
            settings: Arc::new(settings),
            routers: Arc::new(AtomicU32::new(1)),
            specs: Vec::new(),
            states: Vec::new(),
            targets: Vec::new(),
            affinity,
        };
        empty.with_specs(specs, now)
    }

    /// The table after a change of the manifest. Servers that stay in their
    /// zone keep their state; a leaving mark set before stays set, and one in
    /// `specs` is added.
    #[must_use]
    pub fn with_specs(&self, mut specs: Vec<BackendSpec>, now: ClockTime) -> Self {
        specs.sort_by(|a, b| a.id.cmp(&b.id));
        specs.dedup_by(|a, b| a.id == b.id);
        let states: Vec<_> = specs.iter().map(|spec| self.state_for(spec, now)).collect();
        Self {
            settings: Arc::clone(&self.settings),
            routers: Arc::clone(&self.routers),
            targets: index(&specs, &states),
            specs,
            states,
            affinity: Arc::clone(&self.affinity),
        }
    }

    /// The table after a server reported other models than known.
    #[must_use]
    pub fn with_models(&self, id: &BackendId, models: &[ServedModel], now: ClockTime) -> Self {
        let mut specs = self.specs.clone();
        if let Ok(place) = specs.binary_search_by(|spec| spec.id.cmp(id)) {
            specs[place].models = models.to_vec();
        }
        self.with_specs(specs, now)
    }

    /// The servers as configured, sorted by id.
    #[must_use]
    pub fn specs(&self) -> &[BackendSpec] {
        &self.specs
    }

    /// The state of one server.
    #[must_use]
    pub fn get(&self, id: &BackendId) -> Option<&Arc<BackendState>> {
        let place = self.specs.binary_search_by(|spec| spec.id.cmp(id)).ok()?;
        Some(&self.states[place])
    }

    /// What operators see of all servers, sorted by id.
    #[must_use]
    pub fn views(&self, now: ClockTime) -> Vec<BackendView> {
        self.states.iter().map(|state| state.view(now)).collect()
    }

    /// Sets how many routers send to the same servers, this one included, as
    /// membership counts them; holds for the tables built from this one.
    pub fn set_routers(&self, count: u32) {
        self.routers.store(count.max(1), Ordering::Relaxed);
    }

    /// Marks a server as leaving or lifts the mark; false if it is unknown.
    #[must_use]
    pub fn set_leaving(&self, id: &BackendId, leaving: bool) -> bool {
        let state = self.get(id);
        if let Some(state) = state {
            state.set_leaving(leaving);
        }
        state.is_some()
    }

    /// Applies a load report.
    #[must_use]
    pub fn apply_report(
        &self,
        id: &BackendId,
        report: &LoadReport,
        now: ClockTime,
    ) -> ReportEffect {
        let ignored = ReportEffect {
            ignored: true,
            ..ReportEffect::default()
        };
        let Ok(place) = self.specs.binary_search_by(|spec| spec.id.cmp(id)) else {
            return ignored;
        };
        let state = &self.states[place];
        if !state.apply_report(report, now) {
            return ignored;
        }
        let mut models = report.models.clone();
        models.sort();
        let mut known = self.specs[place].models.clone();
        known.sort();
        ReportEffect {
            ignored: false,
            models_changed: models != known,
            leaving: state.is_leaving(),
        }
    }

    /// The number to ask a server's cache events after.
    #[must_use]
    pub fn cache_next(&self, id: &BackendId) -> u64 {
        self.get(id)
            .map_or(0, |state| state.cache_next.load(Ordering::Relaxed))
    }

    /// Applies cache events and returns how many were lost on the way. After a
    /// large gap or a restart of the server its older hints are forgotten.
    #[must_use]
    pub fn apply_cache_events(&self, id: &BackendId, batch: &CacheBatch) -> u64 {
        let Some(state) = self.get(id) else {
            return 0;
        };
        let known = state.cache_next.swap(batch.next, Ordering::Relaxed);
        let passed = batch.next.saturating_sub(known);
        let lost = passed.saturating_sub(batch.events.len() as u64);
        if batch.next < known || lost > self.settings.cache_gap {
            state.cache_age.fetch_add(1, Ordering::Relaxed);
        }
        for event in &batch.events {
            match event.kind {
                CacheChange::Stored => self.affinity.store(event.prefix, hint_of(state)),
                CacheChange::Evicted => self.affinity.evict(event.prefix, state.mark),
            }
        }
        lost
    }

    /// Requests that this router may have in flight to a target by the
    /// adaptive limits of the servers that take work, for
    /// [`Admission::set_limit`](crate::limits::Admission::set_limit); walks
    /// all servers of the target, so call it on a timer.
    #[must_use]
    pub fn capacity(&self, target: &RouteTarget, now: ClockTime) -> u32 {
        let Some(index) = self.target(target, None) else {
            return 0;
        };
        let members = index.zones.iter().flat_map(|group| &group.members);
        members
            .filter(|state| state.is_eligible(now))
            .fold(0_u32, |sum, state| sum.saturating_add(state.limit.get()))
    }

    /// Slots of a target's servers that this router may take: those that its
    /// requests hold, and its part of the free ones by the estimated load of
    /// all routers. A server that never reported counts with its adaptive
    /// limit, as a guess of its slots may not stand in the way. For
    /// [`Admission::set_slots`](crate::limits::Admission::set_slots). Walks
    /// all servers of the target.
    #[must_use]
    pub fn slot_share(&self, target: &RouteTarget, now: ClockTime) -> u32 {
        let Some(index) = self.target(target, None) else {
            return 0;
        };
        let (mut own, mut free) = (0_i64, 0_i64);
        let members = index.zones.iter().flat_map(|group| &group.members);
        let mut unreported = 0_i64;
        for state in members.filter(|state| state.is_eligible(now)) {
            if state.report.received().is_none() {
                unreported += i64::from(state.limit.get());
                continue;
            }
            own += state.flight.current().max(0);
            free += state.slots().cast_signed() - state.load(now).cast_signed();
        }
        let routers = i64::from(self.routers.load(Ordering::Relaxed));
        let slots = unreported + own + free.div_euclid(routers);
        u32::try_from(slots.max(0)).unwrap_or(u32::MAX)
    }

    pub(super) fn settings(&self) -> &RoutingSettings {
        &self.settings
    }

    pub(super) fn target(
        &self,
        target: &RouteTarget,
        version: Option<&ModelVersion>,
    ) -> Option<&TargetIndex> {
        let key = (target, version);
        let order = |index: &TargetIndex| (&index.target, index.version.as_ref()).cmp(&key);
        let place = self.targets.binary_search_by(order).ok()?;
        Some(&self.targets[place])
    }

    /// Whether the ejection floor of a pick's target leaves room for one more.
    pub(super) fn may_eject(&self, place: usize, now: ClockTime) -> bool {
        let groups = &self.targets[place].zones;
        let members = || groups.iter().flat_map(|group| &group.members);
        let ejected = members().filter(|state| state.is_ejected(now));
        let share = (ejected.count() + 1) * 100;
        share <= members().count() * self.settings.eject_max_percent as usize
    }

    fn state_for(&self, spec: &BackendSpec, now: ClockTime) -> Arc<BackendState> {
        match self.get(&spec.id) {
            Some(state) if state.zone == spec.zone => {
                if spec.leaving {
                    state.set_leaving(true);
                }
                Arc::clone(state)
            }
            _ => Arc::new(BackendState::new(spec, &self.settings, &self.routers, now)),
        }
    }
}

impl TargetIndex {
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

/// The hint that a server holds a prefix now.
pub(super) fn hint_of(state: &BackendState) -> CacheHint {
    let age = state.cache_age.load(Ordering::Relaxed) & u64::from(u8::MAX);
    CacheHint {
        mark: state.mark,
        age: u8::try_from(age).unwrap_or(0),
    }
}

/// One server under one target, while the index is built.
struct IndexEntry<'a> {
    target: RouteTarget,
    version: Option<ModelVersion>,
    state: &'a Arc<BackendState>,
}

fn index(specs: &[BackendSpec], states: &[Arc<BackendState>]) -> Vec<TargetIndex> {
    let mut entries = Vec::new();
    for (spec, state) in specs.iter().zip(states) {
        add_entries(&mut entries, spec, state);
    }
    entries.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
    entries.dedup_by(|a, b| sort_key(a) == sort_key(b));
    entries
        .chunk_by(|a, b| (&a.target, &a.version) == (&b.target, &b.version))
        .enumerate()
        .map(|(place, entries)| target_index(place, entries))
        .collect()
}

fn add_entries<'a>(
    entries: &mut Vec<IndexEntry<'a>>,
    spec: &BackendSpec,
    state: &'a Arc<BackendState>,
) {
    let mut add = |target, version| {
        entries.push(IndexEntry {
            target,
            version,
            state,
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

fn target_index(place: usize, entries: &[IndexEntry<'_>]) -> TargetIndex {
    let zones = entries
        .chunk_by(|a, b| a.state.zone == b.state.zone)
        .map(|chunk| {
            let members = chunk.iter().map(|entry| Arc::clone(entry.state)).collect();
            Arc::new(BackendGroup {
                zone: chunk[0].state.zone.clone(),
                members,
            })
        })
        .collect();
    TargetIndex {
        target: entries[0].target.clone(),
        version: entries[0].version.clone(),
        place,
        zones,
    }
}
