//! A token bucket over the bytes that an instance sends.

use crate::clock::ClockTime;

/// Priority of a datagram, which limits how much of the allowance it may use.
///
/// Each priority leaves a reserve for the higher ones, so that a flood of notes
/// neither blocks probes nor keeps a new instance from learning the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendPriority {
    /// Probes, answers to probes, records that contradict a sender's own, and the
    /// initial send of a leave announcement: may use the whole allowance.
    Urgent,
    /// State sync, and gossip while a leave announcement is queued: leave a
    /// quarter of the burst size.
    Sync,
    /// Other gossip: leaves half of the burst size.
    Gossip,
    /// Load reports: leave three quarters of the burst size, so that they are
    /// withheld first.
    Report,
}

/// Token bucket of the bytes that an instance may send.
#[derive(Clone, Debug)]
pub(super) struct SendAllowance {
    bytes_per_second: u64,
    burst_bytes: u64,
    /// Remaining allowance in thousandths of a byte, so that a refill after a
    /// few milliseconds is not rounded away.
    millibytes: u64,
    refilled_at: ClockTime,
}

impl SendAllowance {
    pub(super) fn new(bytes_per_second: u64, burst_bytes: u64, now: ClockTime) -> Self {
        Self {
            bytes_per_second,
            burst_bytes,
            millibytes: burst_bytes * 1_000,
            refilled_at: now,
        }
    }

    /// Returns the bytes that a datagram of this priority may use now.
    pub(super) fn available(&mut self, priority: SendPriority, now: ClockTime) -> usize {
        self.refill(now);
        let bytes = self.millibytes / 1_000;
        let reserved = match priority {
            SendPriority::Urgent => 0,
            SendPriority::Sync => self.burst_bytes / 4,
            SendPriority::Gossip => self.burst_bytes / 2,
            SendPriority::Report => self.burst_bytes / 4 * 3,
        };
        usize::try_from(bytes.saturating_sub(reserved)).unwrap_or(usize::MAX)
    }

    /// Deducts the bytes of a datagram that is sent.
    pub(super) fn take(&mut self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.millibytes = self.millibytes.saturating_sub(bytes.saturating_mul(1_000));
    }

    fn refill(&mut self, now: ClockTime) {
        let elapsed = now.since(self.refilled_at).as_millis();
        let gained = elapsed.saturating_mul(self.bytes_per_second);
        self.millibytes = self
            .millibytes
            .saturating_add(gained)
            .min(self.burst_bytes * 1_000);
        self.refilled_at = self.refilled_at.max(now);
    }
}
