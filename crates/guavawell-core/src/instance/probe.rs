//! Order in which members are probed, and the probes that await an answer.

use std::net::SocketAddr;

use crate::clock::ClockTime;
use crate::id::IncarnationId;
use crate::id::InstanceId;

/// On whose behalf a probe was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeOrigin {
    /// This instance sent it to check the target.
    Own {
        /// Whether other members were already asked to probe the target.
        indirect: bool,
    },
    /// Sent at the request of another instance.
    Relayed {
        /// Address to which the answer is relayed.
        requester: SocketAddr,
        /// Probe number assigned by the requester.
        probe: u64,
    },
}

/// A probe that awaits an answer.
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
    /// Returns the next member that satisfies `is_eligible`; at the end of a
    /// round, starts a new one with the members from `refill`.
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

/// Probe rounds and pending probes of one instance.
#[derive(Clone, Debug, Default)]
pub(super) struct ProbeTracker {
    pub(super) in_zone: ProbeRound,
    pub(super) cross_zone: ProbeRound,
    pending: Vec<PendingProbe>,
    last_number: u64,
}

impl ProbeTracker {
    /// Records a probe and returns its number.
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

    /// Removes and returns the probe that an answer matches. Answers from an
    /// older incarnation than the probed one are ignored.
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

    /// Returns own probes that satisfy `is_timed_out` and were not tried through
    /// other members yet, and marks them as tried.
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

    /// Removes and returns the probes that satisfy `has_expired`.
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

    /// Drops all pending probes.
    pub(super) fn clear(&mut self) {
        self.pending.clear();
    }
}
