//! The set of backend servers, indexed by target and zone.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use super::affinity::AffinityCache;
use super::affinity::CacheHint;
use super::index::TargetIndex;
use super::index::index;
use crate::backend::BackendSpec;
use crate::backend::BackendState;
use crate::backend::BackendView;
use crate::backend::CacheBatch;
use crate::backend::CacheChange;
use crate::backend::LoadReport;
use crate::backend::ModelVersion;
use crate::backend::ReportEffect;
use crate::backend::ReportMark;
use crate::backend::RouteTarget;
use crate::backend::RouterSubset;
use crate::backend::RoutingSettings;
use crate::backend::ServedModel;
use crate::backend::ZoneSummary;
use crate::clock::ClockTime;
use crate::id::BackendId;
use crate::id::ZoneId;

/// Slots are shared out in parts this small.
const SHARE_UNIT: i64 = 1_000;

/// All backend servers that a router knows, for read-copy-update.
///
/// A table never changes its set; [`with_specs`](Self::with_specs) and
/// [`with_models`](Self::with_models) build the next one, in time and memory
/// proportional to the number of servers.
#[derive(Debug)]
pub struct BackendTable {
    settings: Arc<RoutingSettings>,
    routers: Arc<AtomicU32>,
    subset: Option<Arc<RouterSubset>>,
    /// Sorted by id.
    specs: Vec<BackendSpec>,
    /// In the order of `specs`.
    states: Vec<Arc<BackendState>>,
    /// Sorted; a mark that two servers share is left out.
    marks: Vec<(ReportMark, usize)>,
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
            subset: None,
            specs: Vec::new(),
            states: Vec::new(),
            marks: Vec::new(),
            targets: Vec::new(),
            affinity,
        };
        empty.with_specs(specs, now)
    }

    /// The table after a change of the manifest. Servers that stay in their
    /// zone keep their state; a leaving mark set before stays set, and one in
    /// `specs` is added.
    #[must_use]
    pub fn with_specs(&self, specs: Vec<BackendSpec>, now: ClockTime) -> Self {
        self.rebuild(specs, self.subset.clone(), now)
    }

    /// The table after the routers of this router's zone changed; `None` lets
    /// it send to all servers.
    #[must_use]
    pub fn with_subset(&self, subset: Option<Arc<RouterSubset>>, now: ClockTime) -> Self {
        self.rebuild(self.specs.clone(), subset, now)
    }

    fn rebuild(
        &self,
        mut specs: Vec<BackendSpec>,
        subset: Option<Arc<RouterSubset>>,
        now: ClockTime,
    ) -> Self {
        specs.sort_by(|a, b| a.id.cmp(&b.id));
        specs.dedup_by(|a, b| a.id == b.id);
        let states: Vec<_> = specs.iter().map(|spec| self.state_for(spec, now)).collect();
        Self {
            settings: Arc::clone(&self.settings),
            routers: Arc::clone(&self.routers),
            targets: index(&specs, &states, subset.as_deref(), &self.targets),
            subset,
            marks: marks(&specs),
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

    /// The routers of the zone that share its servers, where they have subsets.
    #[must_use]
    pub fn subset(&self) -> Option<&RouterSubset> {
        self.subset.as_deref()
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

    /// The server with a mark, as long as no other has it.
    #[must_use]
    pub fn marked(&self, mark: ReportMark) -> Option<&BackendId> {
        let place = self.marks.binary_search_by_key(&mark, |(mark, _)| *mark);
        let (_, server) = self.marks[place.ok()?];
        Some(&self.specs[server].id)
    }

    /// When the last report of a server came, if any did.
    #[must_use]
    pub fn reported(&self, id: &BackendId) -> Option<ClockTime> {
        self.get(id)?.report.received()
    }

    /// How many routers send to a server, this one included.
    #[must_use]
    pub fn sharers(&self, id: &BackendId) -> usize {
        let sharers = self.get(id).map_or(0, |state| state.sharers());
        usize::try_from(sharers).unwrap_or(0)
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

    /// How full the servers of `zone` are that this router hears reports of.
    #[must_use]
    pub fn summarise(&self, zone: &ZoneId, now: ClockTime) -> ZoneSummary {
        let mut summary = ZoneSummary::default();
        for index in self.targets.iter().filter(|index| index.key().1.is_none()) {
            let near = index.zone(zone).map_or(&[][..], |group| &group.near);
            let heard = near
                .iter()
                .filter(|state| state.is_eligible(now) && state.is_reported(now));
            let sum = heard.fold((0, 0), |(load, slots), state| {
                (load + state.load(now), slots + state.slots())
            });
            if sum.1 > 0 {
                summary.add(index.target(), sum.0, sum.1);
            }
        }
        summary
    }

    /// Takes what another zone told of its use; `received` is when it came.
    pub fn apply_summary(&self, zone: &ZoneId, summary: &ZoneSummary, received: ClockTime) {
        for index in &self.targets {
            if let Some(group) = index.zone(zone)
                && let Some(percent) = summary.percent(index.target())
            {
                group.told.set(percent, received);
            }
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
        let members = index.zones.iter().flat_map(|group| &group.near);
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
        let mut unreported = 0_i64;
        for group in &index.zones {
            let told = group.told.percent(self.settings.summary_stale, now);
            let heard = told.is_some() || self.is_beyond(&group.zone);
            for state in group.near.iter().filter(|state| state.is_eligible(now)) {
                if !heard && state.report.received().is_none() {
                    unreported += i64::from(state.limit.get());
                    continue;
                }
                own += state.flight.current().max(0);
                let load = state.load_told(told, now).cast_signed();
                let left = state.slots().cast_signed() - load;
                free += left * SHARE_UNIT / state.sharers();
            }
        }
        let slots = unreported + own + free.div_euclid(SHARE_UNIT);
        u32::try_from(slots.max(0)).unwrap_or(u32::MAX)
    }

    /// Whether a zone's servers never report to this router.
    fn is_beyond(&self, zone: &ZoneId) -> bool {
        let subset = self.subset.as_deref();
        subset.is_some_and(|subset| subset.zone() != zone)
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
        let place = self.targets.binary_search_by(|index| index.key().cmp(&key));
        let place = place.ok()?;
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

fn marks(specs: &[BackendSpec]) -> Vec<(ReportMark, usize)> {
    let all = specs.iter().map(|spec| ReportMark::of(&spec.id)).zip(0..);
    let mut marks: Vec<_> = all.collect();
    marks.sort_unstable();
    let unique = marks
        .chunk_by(|a, b| a.0 == b.0)
        .filter(|same| same.len() == 1);
    unique.map(|same| same[0]).collect()
}

/// The hint that a server holds a prefix now.
pub(super) fn hint_of(state: &BackendState) -> CacheHint {
    let age = state.cache_age.load(Ordering::Relaxed) & u64::from(u8::MAX);
    CacheHint {
        mark: state.mark,
        age: u8::try_from(age).unwrap_or(0),
    }
}
