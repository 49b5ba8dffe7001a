//! All backend servers that requests are forwarded to.

use std::cmp::Ordering;

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::forward::RequestRate;
use crate::forward::ServerEntry;
use crate::forward::ServerIncarnation;
use crate::forward::ServerPhase;
use crate::forward::ZoneEvacuations;
use crate::forward::ZoneRegions;
use crate::forward::ZoneReturn;
use crate::forward::version_history::VersionHistory;
use crate::id::BackendId;
use crate::id::ServiceId;
use crate::id::ZoneId;
use crate::stream::SoftwareVersion;

/// Removed servers whose last incarnation is remembered, so that a late entry
/// of an incarnation that was replaced, or that shut down, is not taken for a
/// new server. About ten times the number of servers that a fleet sees restart
/// within a minute.
const MAX_FORGOTTEN: usize = 256;

/// The newest known incarnation of a removed server.
#[derive(Clone, Debug)]
struct ForgottenServer {
    incarnation: ServerIncarnation,
    /// Whether it announced its shutdown.
    announced_leaving: bool,
    /// Value of `forgotten_count` when it was removed.
    sequence: u64,
}

/// The newest incarnation of each backend server, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    servers: Vec<ServerEntry>,
    /// Removed servers that are remembered, sorted by id.
    forgotten: Vec<ForgottenServer>,
    /// Number of removals so far.
    forgotten_count: u64,
    /// The regions of the servers' zones.
    regions: ZoneRegions,
    /// Zones whose servers get no new requests, and those that were taken back.
    evacuations: ZoneEvacuations,
    /// Versions of servers that are no longer listed.
    versions: VersionHistory,
}

impl ServerTable {
    /// Creates a table without servers.
    #[must_use]
    pub fn new(regions: ZoneRegions) -> Self {
        Self {
            regions,
            ..Self::default()
        }
    }

    /// The regions of the servers' zones.
    #[must_use]
    pub const fn regions(&self) -> &ZoneRegions {
        &self.regions
    }

    /// Zones whose servers get no new requests.
    #[must_use]
    pub const fn evacuations(&self) -> &ZoneEvacuations {
        &self.evacuations
    }

    /// Mutable access to [`evacuations`](Self::evacuations).
    pub const fn evacuations_mut(&mut self) -> &mut ZoneEvacuations {
        &mut self.evacuations
    }

    /// Records that a zone was taken back after an evacuation, as of a revision.
    /// Returns whether no return of the zone from then on was known.
    pub fn note_zone_return(&mut self, zone: &ZoneId, now: ClockTime, revision: u64) -> bool {
        self.evacuations.note_return(ZoneReturn {
            zone: zone.clone(),
            revision,
            at: now,
        })
    }

    /// The oldest revision of the entries of servers that accept requests, of the
    /// services for which `is_wanted` holds; `None` if there are none.
    #[must_use]
    pub fn oldest_listing(
        &self,
        now: ClockTime,
        is_wanted: impl Fn(&ServiceId) -> bool,
    ) -> Option<u64> {
        let serving = self
            .servers
            .iter()
            .filter(|entry| entry.takes_requests(now));
        let wanted = serving.filter(|entry| is_wanted(&entry.service));
        wanted.map(|entry| entry.warmth.listed_revision()).min()
    }

    /// When a server of a service whose servers are cold for `span` is warm,
    /// unless it restarts.
    #[must_use]
    pub fn warm_at(&self, entry: &ServerEntry, span: ClockSpan) -> ClockTime {
        let returned_at = self.taken_back_at(entry);
        let inferred = returned_at.map_or(ClockTime::default(), |at| at + span);
        entry.warmth.warm_at().max(inferred)
    }

    /// When the zone of a server was taken back at the latest, unless the server's
    /// entry or its own answer is newer.
    fn taken_back_at(&self, entry: &ServerEntry) -> Option<ClockTime> {
        let returns = self.evacuations.returns();
        returns.taken_back_at(&entry.zone, entry.warmth.stated_revision())
    }

    /// The servers of a service that count as cold only until they say whether they
    /// are: the changes of evacuated zones after their entries are unread. Those that
    /// may get no request now are left out. `span` is how long the service's servers
    /// are cold.
    pub fn unheard<'a>(
        &'a self,
        service: &'a ServiceId,
        span: ClockSpan,
        now: ClockTime,
    ) -> impl Iterator<Item = &'a ServerEntry> {
        let is_unheard = move |entry: &&ServerEntry| {
            let unread_at = self
                .evacuations
                .returns()
                .unread_at(entry.warmth.stated_revision());
            let is_usable = !self.evacuations.contains(&entry.zone) && !entry.is_paused(now);
            is_usable && unread_at.is_some_and(|at| now < at + span)
        };
        self.serving(service, now).filter(is_unheard)
    }

    /// Number of servers of a service that accept requests and are warm.
    #[must_use]
    pub fn count_warm(&self, service: &ServiceId, span: ClockSpan, now: ClockTime) -> usize {
        let is_warm = |entry: &&ServerEntry| !self.is_cold(entry, span, now);
        self.serving(service, now).filter(is_warm).count()
    }

    /// Whether all servers of a service that accept requests count as cold because
    /// their zones were taken back, or may have been, after they wrote their entries.
    /// `span` is how long the service's servers are cold.
    #[must_use]
    pub fn all_presumed_cold(&self, service: &ServiceId, span: ClockSpan, now: ClockTime) -> bool {
        let mut serving = self.serving(service, now).peekable();
        serving.peek().is_some() && serving.all(|entry| self.is_presumed_cold(entry, span, now))
    }

    /// Whether any server of a service counts as cold because its zone was taken back
    /// after it wrote its entry.
    #[must_use]
    pub fn any_presumed_cold(&self, service: &ServiceId, span: ClockSpan, now: ClockTime) -> bool {
        let mut serving = self.serving(service, now);
        serving.any(|entry| self.is_presumed_cold(entry, span, now))
    }

    fn is_presumed_cold(&self, entry: &ServerEntry, span: ClockSpan, now: ClockTime) -> bool {
        self.taken_back_at(entry).is_some_and(|at| now < at + span)
    }

    /// Whether a server is cold, as far as it is known.
    #[must_use]
    pub fn is_cold(&self, entry: &ServerEntry, span: ClockSpan, now: ClockTime) -> bool {
        entry.warmth.is_cold(now) || now < self.warm_at(entry, span)
    }

    /// All servers, sorted by id.
    #[must_use]
    pub fn servers(&self) -> &[ServerEntry] {
        &self.servers
    }

    /// The servers of a service that accept requests.
    pub fn serving<'a>(
        &'a self,
        service: &'a ServiceId,
        now: ClockTime,
    ) -> impl Iterator<Item = &'a ServerEntry> {
        let serves =
            move |entry: &&ServerEntry| entry.service == *service && entry.takes_requests(now);
        self.servers.iter().filter(serves)
    }

    /// The newest incarnation of a server.
    #[must_use]
    pub fn newest(&self, id: &BackendId) -> Option<&ServerEntry> {
        let index = self.find(id);
        self.servers.get(index.ok()?)
    }

    /// An incarnation of a server; `None` if a later one is known.
    #[must_use]
    pub fn get(&self, incarnation: &ServerIncarnation) -> Option<&ServerEntry> {
        self.newest(&incarnation.id)
            .filter(|entry| entry.incarnation == *incarnation)
    }

    /// Mutable access to an incarnation; `None` if a later one is known.
    pub fn get_mut(&mut self, incarnation: &ServerIncarnation) -> Option<&mut ServerEntry> {
        let index = self.find(&incarnation.id).ok()?;
        let entry = &mut self.servers[index];
        (entry.incarnation == *incarnation).then_some(entry)
    }

    /// Applies a server's entry at the platform. Returns the incarnation that
    /// the one of the entry replaces.
    ///
    /// A known incarnation keeps its load and health, and no entry makes it
    /// ready again once it is leaving. A later incarnation starts without load
    /// or failures. The entry of an earlier one changes nothing.
    pub fn upsert(&mut self, entry: ServerEntry) -> Option<ServerIncarnation> {
        let index = match self.find(&entry.incarnation.id) {
            Ok(index) => index,
            Err(index) => {
                if !self.has_ended(&entry.incarnation) {
                    self.servers.insert(index, entry);
                }
                return None;
            }
        };
        let existing = &mut self.servers[index];
        match entry.incarnation.born.cmp(&existing.incarnation.born) {
            // A server that states its start time always does, so an entry
            // without it is not the server's own.
            Ordering::Less if entry.incarnation.born.is_none() => {
                existing.end_listing(ServerPhase::Unreadable);
                None
            }
            Ordering::Less => None,
            Ordering::Greater => {
                self.versions.note_end(existing);
                Some(std::mem::replace(existing, entry).incarnation)
            }
            Ordering::Equal => {
                if (&existing.service, &existing.version) != (&entry.service, &entry.version) {
                    self.versions.note_end(existing);
                }
                existing.update_listing(entry);
                None
            }
        }
    }

    /// Records that a server's entry was removed or cannot be decoded.
    /// [`sweep`](Self::sweep) removes the server when none of its requests is
    /// left.
    pub fn remove(&mut self, incarnation: &ServerIncarnation, phase: ServerPhase) {
        if let Some(entry) = self.get_mut(incarnation) {
            entry.end_listing(phase);
        }
    }

    /// Time until the first server of a service accepts requests again, if all
    /// of them asked for a pause.
    #[must_use]
    pub fn resumes_in(&self, service: &ServiceId, now: ClockTime) -> Option<ClockSpan> {
        let pauses = self.serving(service, now);
        let earliest = pauses.map(|entry| entry.health.paused_until).min()?;
        Some(earliest.since(now)).filter(|span| *span > ClockSpan::ZERO)
    }

    /// Time until the first cold server of a service is warm; `None` if none is
    /// cold. `span` is how long the service's servers are cold.
    #[must_use]
    pub fn warm_in(
        &self,
        service: &ServiceId,
        span: ClockSpan,
        now: ClockTime,
    ) -> Option<ClockSpan> {
        let is_cold = |entry: &&ServerEntry| self.is_cold(entry, span, now);
        let cold = self.serving(service, now).filter(is_cold);
        let first = cold.map(|entry| self.warm_at(entry, span)).min()?;
        Some(first.since(now))
    }

    /// Rejections per second that the servers of a service survive; `None` if they are
    /// not fragile. What some servers state holds for all.
    #[must_use]
    pub fn fragility(&self, service: &ServiceId, now: ClockTime) -> Option<RequestRate> {
        let stated = self
            .serving(service, now)
            .filter_map(|entry| entry.fragility.recent(now));
        stated.reduce(RequestRate::min)
    }

    /// Takes back what failures showed of a service's servers, because they have
    /// another cause.
    pub fn forget_failures(&mut self, service: &ServiceId, now: ClockTime) {
        let of_service = self
            .servers
            .iter_mut()
            .filter(|entry| entry.service == *service);
        of_service.for_each(|entry| entry.forget_failures(now));
    }

    /// Removes servers that accept no requests and run none of this instance.
    pub fn sweep(&mut self, now: ClockTime) {
        let is_removable =
            |entry: &mut ServerEntry| !entry.takes_requests(now) && entry.load.in_flight == 0;
        let removed: Vec<ServerEntry> = self.servers.extract_if(.., is_removable).collect();
        for entry in removed {
            self.versions.note_end(&entry);
            self.remember(entry);
        }
        self.versions.sweep(now);
    }

    /// Records that the list of servers was read in full.
    pub const fn note_full_read(&mut self, now: ClockTime) {
        self.versions.restart(now);
    }

    /// The version of all servers of a service, if none had another one within `span`.
    #[must_use]
    pub fn only_version(
        &self,
        service: &ServiceId,
        span: ClockSpan,
        now: ClockTime,
    ) -> Option<&SoftwareVersion> {
        let mut listed = self
            .servers
            .iter()
            .filter(|entry| entry.service == *service)
            .map(|entry| &entry.version);
        let version = listed.next()?;
        let is_only = listed.all(|other| other == version)
            && self.versions.held_only(service, version, span, now);
        is_only.then_some(version)
    }

    /// Whether a removed incarnation cannot come back: a later one is known, or
    /// it announced its shutdown.
    fn has_ended(&self, incarnation: &ServerIncarnation) -> bool {
        let Ok(index) = self.find_forgotten(&incarnation.id) else {
            return false;
        };
        let existing = &self.forgotten[index];
        existing.incarnation.born > incarnation.born
            || (existing.incarnation == *incarnation && existing.announced_leaving)
    }

    /// Whether an incarnation announced its shutdown, also if it was removed since.
    #[must_use]
    pub fn announced_leaving(&self, incarnation: &ServerIncarnation) -> bool {
        if let Some(entry) = self.get(incarnation) {
            return entry.announced_leaving;
        }
        let index = self.find_forgotten(&incarnation.id).ok();
        let forgotten = index.and_then(|index| self.forgotten.get(index));
        forgotten.is_some_and(|forgotten| {
            forgotten.incarnation == *incarnation && forgotten.announced_leaving
        })
    }

    fn remember(&mut self, entry: ServerEntry) {
        self.forgotten_count += 1;
        let forgotten = ForgottenServer {
            incarnation: entry.incarnation,
            announced_leaving: entry.announced_leaving,
            sequence: self.forgotten_count,
        };
        match self.find_forgotten(&forgotten.incarnation.id) {
            Ok(index) => self.forgotten[index] = forgotten,
            Err(index) => self.forgotten.insert(index, forgotten),
        }
        if self.forgotten.len() > MAX_FORGOTTEN {
            let oldest =
                (0..self.forgotten.len()).min_by_key(|index| self.forgotten[*index].sequence);
            oldest.map(|index| self.forgotten.remove(index));
        }
    }

    fn find_forgotten(&self, id: &BackendId) -> Result<usize, usize> {
        self.forgotten
            .binary_search_by(|existing| existing.incarnation.id.cmp(id))
    }

    fn find(&self, id: &BackendId) -> Result<usize, usize> {
        self.servers
            .binary_search_by(|entry| entry.incarnation.id.cmp(id))
    }
}
