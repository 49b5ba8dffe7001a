//! Admission control for all targets of one router, sharded by target.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use super::admission::Admission;
use super::admission::AdmissionSettings;
use super::ticket::AdmissionTicket;
use crate::backend::RouteTarget;

/// The admission control of one target.
#[derive(Clone, Debug)]
struct GateShard {
    target: RouteTarget,
    admission: Arc<Mutex<Admission>>,
}

/// Admission control for all targets, immutable so that it can be replaced by
/// read-copy-update: a change of the targets builds a new gate that shares the
/// remaining shards. A lock is held only for one step of one shard.
#[derive(Clone, Debug)]
pub struct AdmissionGate {
    settings: AdmissionSettings,
    /// Sorted by target.
    shards: Vec<GateShard>,
    tickets: Arc<AtomicU64>,
}

impl AdmissionGate {
    /// A gate for `targets`.
    #[must_use]
    pub fn new(settings: AdmissionSettings, targets: Vec<RouteTarget>) -> Self {
        let empty = Self {
            settings,
            shards: Vec::new(),
            tickets: Arc::new(AtomicU64::new(0)),
        };
        empty.with_targets(targets)
    }

    /// Returns a gate for `targets` that keeps the shards of the targets in both.
    /// Requests at a removed target hold on to its shard until they end.
    #[must_use]
    pub fn with_targets(&self, mut targets: Vec<RouteTarget>) -> Self {
        targets.sort();
        targets.dedup();
        let shards = targets
            .into_iter()
            .map(|target| self.shard_for(target))
            .collect();
        Self {
            settings: self.settings.clone(),
            shards,
            tickets: Arc::clone(&self.tickets),
        }
    }

    /// Issues a new ticket. Register the waiter under it before submitting the
    /// request.
    #[must_use]
    pub fn ticket(&self) -> AdmissionTicket {
        AdmissionTicket::new(self.tickets.fetch_add(1, Ordering::Relaxed))
    }

    /// The shard of a target. Keep it until the request has ended.
    #[must_use]
    pub fn shard(&self, target: &RouteTarget) -> Option<Arc<Mutex<Admission>>> {
        let index = self.find(target).ok()?;
        Some(Arc::clone(&self.shards[index].admission))
    }

    /// The targets, sorted.
    pub fn targets(&self) -> impl Iterator<Item = &RouteTarget> {
        self.shards.iter().map(|shard| &shard.target)
    }

    /// Locks a shard, even if a thread panicked while it held the lock.
    pub fn lock(shard: &Mutex<Admission>) -> MutexGuard<'_, Admission> {
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn find(&self, target: &RouteTarget) -> Result<usize, usize> {
        self.shards
            .binary_search_by(|shard| shard.target.cmp(target))
    }

    fn shard_for(&self, target: RouteTarget) -> GateShard {
        if let Ok(index) = self.find(&target) {
            return self.shards[index].clone();
        }
        let admission = Admission::new(self.settings.clone());
        GateShard {
            target,
            admission: Arc::new(Mutex::new(admission)),
        }
    }
}
