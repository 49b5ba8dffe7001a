//! Decides whether this instance has lost its own way to the backend servers of a
//! service, and whether no instance reaches them.
//!
//! Load pattern: some instances are cut off from all servers, while callers, the
//! store and other instances still reach them. Each request would wait for
//! timeouts of its own and be refused.
//!
//! A server that is down fails alone, and is out of reach for other instances as
//! well. The way is lost if connections to several servers fail, none succeeds in
//! between, and another instance opens one of them. If none does, and half of the
//! servers failed, the service is out of reach for all, and requests are refused at
//! once rather than after timeouts of their own.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::id::BackendId;
use crate::id::ServiceId;

/// Servers that must fail, or be reached again, until the way counts as lost or
/// restored; fewer if the service has fewer.
const MIN_SERVERS: usize = 2;
/// How long a failed connection counts.
const FAILURE_AGE: ClockSpan = ClockSpan::from_millis(3_000);
/// How long a service counts as out of reach after the last failed connection.
const UNREACHABLE_SPAN: ClockSpan = ClockSpan::from_millis(1_500);

/// A change of the way to the servers of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// The way is lost.
    Lost,
    /// The way is open again after this time.
    Restored(ClockSpan),
}

/// The way to the servers of one service.
#[derive(Clone, Debug)]
struct ServicePath {
    service: ServiceId,
    /// Servers to which connections failed since the last success, and when.
    failed: Vec<(BackendId, ClockTime)>,
    /// Those of them to which another instance opened a connection.
    carried: Vec<BackendId>,
    /// When the way was lost.
    lost_at: Option<ClockTime>,
    /// Servers that accepted a connection since the last failure.
    reached: Vec<BackendId>,
    /// Until when the servers count as out of reach for all instances.
    unreachable_until: ClockTime,
}

impl ServicePath {
    /// Number of servers to which connections failed recently.
    fn recent_failures(&self, now: ClockTime) -> usize {
        let recent = self
            .failed
            .iter()
            .filter(|(_, at)| now.since(*at) <= FAILURE_AGE);
        recent.count()
    }
}

/// The ways to the servers of all services, as connections of this instance show
/// them.
#[derive(Clone, Debug, Default)]
pub struct ServerPaths {
    /// Sorted by service.
    paths: Vec<ServicePath>,
}

impl ServerPaths {
    /// Whether the way to a service's servers is lost.
    #[must_use]
    pub fn is_lost(&self, service: &ServiceId) -> bool {
        self.get(service).is_some_and(|path| path.lost_at.is_some())
    }

    /// Whether no instance reaches a service's servers.
    #[must_use]
    pub fn is_unreachable(&self, service: &ServiceId, now: ClockTime) -> bool {
        self.get(service)
            .is_some_and(|path| now < path.unreachable_until)
    }

    /// The services whose servers this instance does not reach.
    #[must_use]
    pub fn unreached_services(&self, now: ClockTime) -> Vec<ServiceId> {
        let unreached = self
            .paths
            .iter()
            .filter(|path| path.lost_at.is_some() || now < path.unreachable_until);
        unreached.map(|path| path.service.clone()).collect()
    }

    /// Whether the way to a service may be lost, so that another instance should be
    /// asked for a connection. The service has `servers` servers.
    #[must_use]
    pub fn is_suspect(&self, service: &ServiceId, servers: usize, now: ClockTime) -> bool {
        let Some(path) = self.get(service) else {
            return false;
        };
        let other_lost = self.paths.iter().any(|path| path.lost_at.is_some());
        let needed = if other_lost { 1 } else { MIN_SERVERS };
        path.recent_failures(now) >= needed.min(servers.max(1))
    }

    /// Records that a connection of this instance failed.
    pub fn note_failed(&mut self, service: &ServiceId, server: &BackendId, now: ClockTime) {
        let path = self.get_mut(service);
        path.reached.clear();
        path.failed
            .retain(|(known, at)| known != server && now.since(*at) <= FAILURE_AGE);
        path.failed.push((server.clone(), now));
        if now < path.unreachable_until {
            path.unreachable_until = now + UNREACHABLE_SPAN;
        }
    }

    /// Records that no other instance opened a connection either, after one of this
    /// instance had failed. Returns whether the service, which has `servers` servers, is
    /// now out of reach.
    pub fn note_unreachable(
        &mut self,
        service: &ServiceId,
        servers: usize,
        now: ClockTime,
    ) -> bool {
        let path = self.get_mut(service);
        let was_unreachable = now < path.unreachable_until;
        let needed = MIN_SERVERS.min(servers).max(servers.div_ceil(2));
        if path.recent_failures(now) >= needed.max(1) {
            path.unreachable_until = now + UNREACHABLE_SPAN;
        }
        !was_unreachable && now < path.unreachable_until
    }

    /// Records that a server accepted a connection of this instance. The service has
    /// `servers` servers.
    pub fn note_connected(
        &mut self,
        service: &ServiceId,
        server: &BackendId,
        servers: usize,
        now: ClockTime,
    ) -> Option<PathChange> {
        let path = self.get_mut(service);
        path.failed.clear();
        path.carried.clear();
        path.unreachable_until = ClockTime::default();
        let lost_at = path.lost_at?;
        if !path.reached.contains(server) {
            path.reached.push(server.clone());
        }
        if path.reached.len() < MIN_SERVERS.min(servers.max(1)) {
            return None;
        }
        path.reached.clear();
        path.lost_at = None;
        Some(PathChange::Restored(now.since(lost_at)))
    }

    /// Records that another instance opened a connection to a server right after one
    /// of this instance had failed. The service has `servers` servers.
    pub fn note_carried(
        &mut self,
        service: &ServiceId,
        server: &BackendId,
        servers: usize,
        now: ClockTime,
    ) -> Option<PathChange> {
        let is_suspect = self.is_suspect(service, servers, now);
        let path = self.get_mut(service);
        path.unreachable_until = ClockTime::default();
        if path.lost_at.is_some() {
            return None;
        }
        if !path.carried.contains(server) {
            path.carried.push(server.clone());
        }
        if !is_suspect && path.carried.len() < MIN_SERVERS {
            return None;
        }
        path.failed.clear();
        path.carried.clear();
        path.lost_at = Some(now);
        Some(PathChange::Lost)
    }

    fn get(&self, service: &ServiceId) -> Option<&ServicePath> {
        let index = self.find(service).ok()?;
        self.paths.get(index)
    }

    fn get_mut(&mut self, service: &ServiceId) -> &mut ServicePath {
        let index = self.find(service).unwrap_or_else(|index| {
            let path = ServicePath {
                service: service.clone(),
                failed: Vec::new(),
                carried: Vec::new(),
                lost_at: None,
                reached: Vec::new(),
                unreachable_until: ClockTime::default(),
            };
            self.paths.insert(index, path);
            index
        });
        &mut self.paths[index]
    }

    fn find(&self, service: &ServiceId) -> Result<usize, usize> {
        self.paths
            .binary_search_by(|path| path.service.cmp(service))
    }
}
