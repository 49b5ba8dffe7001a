//! Which member is probed next, and the probes that wait for an answer.

use std::net::SocketAddr;

use crate::clock::ClockTime;
use crate::id::IncarnationId;
use crate::id::InstanceId;

/// On whose behalf a probe was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeOrigin {
    /// This instance's own probe.
    Own {
        /// Whether others were already asked to probe as well.
        indirect: bool,
    },
    /// Another instance asked for it.
    Relayed {
        /// Where the answer goes.
        requester: SocketAddr,
        /// Number of the probe at the requester.
        probe: u64,
    },
}

/// A probe that waits for an answer.
#[derive(Clone, Debug)]
pub(super) struct PendingProbe {
    pub(super) number: u64,
    pub(super) target: InstanceId,
    pub(super) incarnation: IncarnationId,
    pub(super) sent: ClockTime,
    pub(super) origin: ProbeOrigin,
}

/// Members still to be probed in this round, in random order.
#[derive(Clone, Debug, Default)]
pub(super) struct ProbeRound {
    remaining: Vec<InstanceId>,
}

impl ProbeRound {
    /// The next member that still `is_eligible`, starting a new round where this one ended.
    pub(super) fn next(
        &mut self,
        is_eligible: impl Fn(&InstanceId) -> bool,
        refill: impl FnOnce() -> Vec<InstanceId>,
    ) -> Option<InstanceId> {
        while let Some(instance) = self.remaining.pop() {
            if is_eligible(&instance) {
                return Some(instance);
            }
        }
        self.remaining = refill();
        self.remaining.pop()
    }
}

/// The probes of one instance.
#[derive(Clone, Debug, Default)]
pub(super) struct ProbeTracker {
    pub(super) in_zone: ProbeRound,
    pub(super) cross_zone: ProbeRound,
    pending: Vec<PendingProbe>,
    last_number: u64,
}

impl ProbeTracker {
    /// Notes a probe and gives its number.
    pub(super) fn register(
        &mut self,
        target: InstanceId,
        incarnation: IncarnationId,
        origin: ProbeOrigin,
        now: ClockTime,
    ) -> u64 {
        self.last_number += 1;
        self.pending.push(PendingProbe {
            number: self.last_number,
            target,
            incarnation,
            sent: now,
            origin,
        });
        self.last_number
    }

    /// Closes the probe that an answer belongs to; a former life's answer counts for nothing.
    pub(super) fn complete(
        &mut self,
        number: u64,
        target: &InstanceId,
        incarnation: IncarnationId,
    ) -> Option<PendingProbe> {
        let index = self.pending.iter().position(|probe| {
            probe.number == number && probe.target == *target && probe.incarnation <= incarnation
        })?;
        Some(self.pending.swap_remove(index))
    }

    /// Own probes older than `before` for which nobody else was asked yet, now marked as asked.
    pub(super) fn take_timed_out(
        &mut self,
        is_timed_out: impl Fn(ClockTime) -> bool,
    ) -> Vec<PendingProbe> {
        let mut timed_out = Vec::new();
        for probe in &mut self.pending {
            let own = probe.origin == ProbeOrigin::Own { indirect: false };
            if own && is_timed_out(probe.sent) {
                probe.origin = ProbeOrigin::Own { indirect: true };
                timed_out.push(probe.clone());
            }
        }
        timed_out
    }

    /// Removes probes whose time is over.
    pub(super) fn take_expired(
        &mut self,
        has_expired: impl Fn(ClockTime) -> bool,
    ) -> Vec<PendingProbe> {
        let mut expired = Vec::new();
        self.pending.retain(|probe| {
            let is_expired = has_expired(probe.sent);
            if is_expired {
                expired.push(probe.clone());
            }
            !is_expired
        });
        expired
    }

    /// Drops all probes, after this process itself was paused.
    pub(super) fn clear(&mut self) {
        self.pending.clear();
    }
}
