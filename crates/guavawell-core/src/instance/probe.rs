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
    rest: Vec<InstanceId>,
}

impl ProbeRound {
    /// The next member that still `serves`, starting a new round where this one ended.
    pub(super) fn next(
        &mut self,
        serves: impl Fn(&InstanceId) -> bool,
        refill: impl FnOnce() -> Vec<InstanceId>,
    ) -> Option<InstanceId> {
        while let Some(instance) = self.rest.pop() {
            if serves(&instance) {
                return Some(instance);
            }
        }
        self.rest = refill();
        self.rest.pop()
    }
}

/// The probes of one instance.
#[derive(Clone, Debug, Default)]
pub(super) struct ProbeBook {
    pub(super) in_zone: ProbeRound,
    pub(super) cross_zone: ProbeRound,
    pending: Vec<PendingProbe>,
    last_number: u64,
}

impl ProbeBook {
    /// Notes a probe and gives its number.
    pub(super) fn open(
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
    pub(super) fn close(
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
    pub(super) fn take_late(&mut self, is_late: impl Fn(ClockTime) -> bool) -> Vec<PendingProbe> {
        let mut late = Vec::new();
        for probe in &mut self.pending {
            let own = probe.origin == ProbeOrigin::Own { indirect: false };
            if own && is_late(probe.sent) {
                probe.origin = ProbeOrigin::Own { indirect: true };
                late.push(probe.clone());
            }
        }
        late
    }

    /// Removes probes whose time is over.
    pub(super) fn take_expired(
        &mut self,
        is_over: impl Fn(ClockTime) -> bool,
    ) -> Vec<PendingProbe> {
        let mut expired = Vec::new();
        self.pending.retain(|probe| {
            let over = is_over(probe.sent);
            if over {
                expired.push(probe.clone());
            }
            !over
        });
        expired
    }

    /// Drops all probes, after this process itself was paused.
    pub(super) fn clear(&mut self) {
        self.pending.clear();
    }
}
