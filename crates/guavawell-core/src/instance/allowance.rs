//! A token bucket over the bytes that an instance sends.

use crate::clock::ClockTime;

/// How far down a datagram may draw the allowance.
///
/// Each kind leaves room for the more urgent ones, so that a flood of notes
/// neither silences probes nor keeps a new instance from learning the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendPriority {
    /// Probes, answers to probes and leaving marks: to the end.
    Urgent,
    /// Comparisons of whole states, and rounds of gossip with a leaving mark:
    /// down to a quarter.
    Sync,
    /// Rounds of gossip: down to a half.
    Gossip,
    /// Load reports: down to three quarters, so that they give way first.
    Report,
}

/// Bytes that may still be sent.
#[derive(Clone, Debug)]
pub(super) struct SendAllowance {
    bytes_per_second: u64,
    burst_bytes: u64,
    /// Allowance in thousandths of a byte, so that short spans count.
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

    /// Bytes that a datagram of this urgency may take now.
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

    /// Takes the bytes of a datagram that is sent.
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
