//! One request at one server, from its first byte to its outcome.

use std::sync::Arc;

use super::table::hint_of;
use crate::backend::BackendPick;
use crate::backend::BackendState;
use crate::backend::NoBackend;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// How a request ended at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseOutcome {
    /// The whole answer came.
    Served,
    /// The server refused it as overloaded; it was not run.
    Overloaded,
    /// The server failed: an error, or a broken answer.
    Failed,
    /// No connection could be opened; counts as several failures.
    Unreachable,
    /// The connection went silent; the server is judged by the probe.
    Silent,
    /// The caller went away, or another attempt won.
    Cancelled,
}

/// Failures that an unreachable server counts as.
const UNREACHABLE_WEIGHT: u32 = 5;

/// A request counted in flight at a server. Dropped without
/// [`finish`](Self::finish) it counts as cancelled.
#[derive(Debug)]
pub struct BackendLease {
    pick: BackendPick,
    begun: ClockTime,
    first_token: Option<ClockTime>,
    /// Whether the request was expected to wait at the server.
    queued: bool,
    /// Whether a broken or silent connection makes its times say nothing
    /// about the server.
    resumed: bool,
    open: bool,
}

impl BackendPick {
    /// Counts the request in flight, just before its first byte goes out.
    ///
    /// # Errors
    ///
    /// [`NoBackend::Leaving`] if the server announced its leaving meanwhile;
    /// nothing was counted.
    pub fn begin(self, now: ClockTime) -> Result<BackendLease, NoBackend> {
        if self.backend.is_leaving() {
            return Err(NoBackend::Leaving);
        }
        let queued = self.backend.load(now) >= self.backend.slots();
        self.backend.begin(now);
        Ok(BackendLease {
            pick: self,
            begun: now,
            first_token: None,
            queued,
            resumed: false,
            open: true,
        })
    }
}

impl BackendLease {
    /// The server.
    #[must_use]
    pub fn backend(&self) -> &Arc<BackendState> {
        &self.pick.backend
    }

    /// The answer goes on over a new connection: the wait was the
    /// connection's, and its times are not the server's speed.
    pub const fn resumed(&mut self) {
        self.resumed = true;
    }

    /// The first token, or a plain service's answer, came.
    pub fn first_token(&mut self, now: ClockTime) {
        if self.first_token.is_some() {
            return;
        }
        self.first_token = Some(now);
        if self.resumed {
            return;
        }
        let latency = now.since(self.begun);
        let state = &self.pick.backend;
        if self.queued {
            state.first_token.sample_bound(latency, now);
        } else if !self.pick.cached {
            state.first_token.sample(latency, now);
        }
        if let Some(prefix) = self.pick.prefix {
            self.pick.table.affinity.store(prefix, hint_of(state));
        }
        if state.report.received().is_none() {
            let expected = state.settings.first_token_guess;
            let own = state.flight.current();
            state.limit.sample(latency, expected, own, now);
        }
    }

    /// The request ended.
    pub fn finish(mut self, outcome: LeaseOutcome, now: ClockTime) {
        self.close(now);
        let state = &self.pick.backend;
        match outcome {
            LeaseOutcome::Served => {
                state.health.success();
                if !self.resumed {
                    state.hold.sample(self.hold(now), now);
                }
            }
            LeaseOutcome::Overloaded => state.limit.overload(now),
            LeaseOutcome::Failed => self.fail(1, now),
            LeaseOutcome::Unreachable => self.fail(UNREACHABLE_WEIGHT, now),
            LeaseOutcome::Silent | LeaseOutcome::Cancelled => {}
        }
    }

    /// Time since the request began.
    #[must_use]
    pub fn age(&self, now: ClockTime) -> ClockSpan {
        now.since(self.begun)
    }

    /// Time that the request took up one of the server's slots.
    fn hold(&self, now: ClockTime) -> ClockSpan {
        match self.first_token {
            Some(first) if self.queued => {
                let prefill = self.pick.backend.first_token_mean(first);
                ClockSpan::from_millis(now.since(first).as_millis() + prefill)
            }
            _ => now.since(self.begun),
        }
    }

    fn fail(&self, weight: u32, now: ClockTime) {
        let state = &self.pick.backend;
        let settings = &state.settings;
        let due = state.health.failure(weight, settings);
        if due && self.pick.table.may_eject(self.pick.place, now) {
            state.health.eject(settings, now);
        }
    }

    fn close(&mut self, now: ClockTime) {
        if self.open {
            self.open = false;
            self.pick.backend.flight.finish(now);
        }
    }
}

impl Drop for BackendLease {
    fn drop(&mut self) {
        let last = self.first_token.unwrap_or(self.begun);
        self.close(last);
    }
}
