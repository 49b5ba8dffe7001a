//! What all client threads of a run share.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::budget::BudgetCounts;
use crate::history::TryEnd;
use crate::hooks::LoadHooks;
use crate::hooks::LoadProgress;
use crate::plan::LoadPlan;

/// Shared state of one run.
pub(crate) struct RunShared {
    /// What to do.
    pub(crate) plan: LoadPlan,
    /// The embedder's hooks.
    pub(crate) hooks: LoadHooks,
    /// When the run started.
    pub(crate) started: Instant,
    /// What callers received against what was paid.
    pub(crate) budgets: BudgetCounts,
    tickets: AtomicU64,
    turn: AtomicUsize,
    in_flight: AtomicUsize,
    begun: AtomicU64,
    finished: AtomicU64,
    answered: AtomicU64,
    refused: AtomicU64,
}

impl RunShared {
    pub(crate) fn new(plan: LoadPlan, hooks: LoadHooks) -> Self {
        Self {
            budgets: BudgetCounts::new(&plan.budgets),
            plan,
            hooks,
            started: Instant::now(),
            tickets: AtomicU64::new(0),
            turn: AtomicUsize::new(0),
            in_flight: AtomicUsize::new(0),
            begun: AtomicU64::new(0),
            finished: AtomicU64::new(0),
            answered: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        }
    }

    /// The number of the next request, or `None` once the run is to end.
    pub(crate) fn take_ticket(&self) -> Option<u64> {
        if self.is_over(Instant::now()) {
            return None;
        }
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        match self.plan.requests {
            Some(requests) if ticket >= requests => None,
            _ => Some(ticket),
        }
    }

    /// Whether nothing is to be sent at `now` any more.
    pub(crate) fn is_over(&self, now: Instant) -> bool {
        self.plan.duration.is_some_and(|duration| {
            now.duration_since(self.started) >= Duration::from_millis(duration.as_millis())
        })
    }

    /// The next target in turn.
    pub(crate) fn next_target(&self) -> usize {
        self.turn.fetch_add(1, Ordering::Relaxed) % self.plan.targets.len()
    }

    /// Milliseconds since the start.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Counts a request in, unless too many are under way.
    pub(crate) fn admit(&self) -> bool {
        let before = self.in_flight.fetch_add(1, Ordering::Relaxed);
        let admitted = before < self.plan.max_in_flight;
        if !admitted {
            self.in_flight.fetch_sub(1, Ordering::Relaxed);
        }
        admitted
    }

    /// Counts a begun request.
    pub(crate) fn count_begun(&self) {
        self.begun.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a finished request out.
    pub(crate) fn count_finished(&self, end: &TryEnd) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.finished.fetch_add(1, Ordering::Relaxed);
        match end {
            TryEnd::Whole => self.answered.fetch_add(1, Ordering::Relaxed),
            TryEnd::Refused { .. } => self.refused.fetch_add(1, Ordering::Relaxed),
            _ => 0,
        };
    }

    /// How the run goes.
    pub(crate) fn progress(&self) -> LoadProgress {
        LoadProgress {
            elapsed_ms: self.elapsed_ms(),
            begun: self.begun.load(Ordering::Relaxed),
            finished: self.finished.load(Ordering::Relaxed),
            answered: self.answered.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
        }
    }
}
