//! Admission to all targets of one router, sharded by target.

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

/// One target's admission.
#[derive(Clone, Debug)]
struct GateShard {
    target: RouteTarget,
    admission: Arc<Mutex<Admission>>,
}

/// Admission to all targets, for read-copy-update: a change of the targets
/// builds a new gate that shares what stays. A lock is held for one step of
/// one target's state machine only.
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

    /// The gate after a change of the targets. Requests that wait at a target
    /// that went away keep their shard until they have ended.
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

    /// A new ticket. Register the waiter under it before submitting.
    #[must_use]
    pub fn ticket(&self) -> AdmissionTicket {
        AdmissionTicket::new(self.tickets.fetch_add(1, Ordering::Relaxed))
    }

    /// The shard of a target, to be kept until the request has ended.
    #[must_use]
    pub fn shard(&self, target: &RouteTarget) -> Option<Arc<Mutex<Admission>>> {
        let index = self.find(target).ok()?;
        Some(Arc::clone(&self.shards[index].admission))
    }

    /// The targets, sorted.
    pub fn targets(&self) -> impl Iterator<Item = &RouteTarget> {
        self.shards.iter().map(|shard| &shard.target)
    }

    /// Locks a shard; a panic elsewhere does not close it.
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
