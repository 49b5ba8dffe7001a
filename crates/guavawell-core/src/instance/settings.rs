//! Settings of gossip membership.

use crate::clock::ClockSpan;

/// Bytes added to each message: 28 for the IPv4 and UDP headers, 17 for the key
/// number and the authentication code.
pub const DATAGRAM_OVERHEAD_BYTES: usize = 28 + 17;

/// Maximum size of an encoded message, so that no datagram exceeds 1,400 bytes.
pub const MAX_MESSAGE_BYTES: usize = 1_400 - DATAGRAM_OVERHEAD_BYTES;

/// Intervals and limits of one instance's membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Time between two probes.
    pub probe_interval: ClockSpan,
    /// Time after which an unanswered probe is also tried through other members.
    pub probe_timeout: ClockSpan,
    /// Number of members asked to probe an instance that did not answer.
    pub indirect_probes: usize,
    /// Minimum time from suspicion to unreachability, multiplied by the number of
    /// decimal digits of the fleet's size.
    pub suspicion_span: ClockSpan,
    /// Time between two rounds of gossip while rumours are queued.
    pub gossip_interval: ClockSpan,
    /// Number of targets of one round of gossip.
    pub gossip_fanout: usize,
    /// Number of targets that a leave announcement is sent to at once.
    pub leave_fanout: usize,
    /// Time between two syncs of the whole state with a peer.
    pub sync_interval: ClockSpan,
    /// Time until the next sync if the last one left differences.
    pub sync_retry: ClockSpan,
    /// Maximum number of pages that each side sends in one sync.
    pub sync_pages: usize,
    /// Time between two attempts to reach unreachable or unknown instances.
    pub reconnect_interval: ClockSpan,
    /// Percentage of probes, gossip and syncs sent to other zones.
    pub cross_zone_percent: u8,
    /// The same for probes, after a probe into another zone was not answered and
    /// until another zone answers.
    pub degraded_cross_zone_percent: u8,
    /// Bytes per second that this instance may send, including datagram headers.
    pub bytes_per_second: u64,
    /// Maximum number of bytes that may be sent at once after an idle time.
    pub burst_bytes: u64,
    /// Time between two ticks from which this process is taken to have been paused.
    pub pause_span: ClockSpan,
    /// Time after which an unreachable instance is forgotten if the platform's
    /// list does not contain it.
    pub forget_delisted_span: ClockSpan,
    /// The same if the list contains it, or if no list was ever received.
    pub forget_listed_span: ClockSpan,
    /// Maximum number of unreachable instances kept; the one that has been
    /// unreachable for longest is forgotten first.
    pub max_unreachable: usize,
    /// Maximum number of tombstones, which keep forgotten instances from being
    /// added again; the oldest is dropped first.
    pub max_tombstones: usize,
    /// How often a member's change is passed on, multiplied by the number of
    /// decimal digits of the fleet's size.
    pub member_sends: u32,
    /// How often a leave announcement is passed on, multiplied in the same way.
    ///
    /// Higher than for other changes, because the announcement must reach every
    /// instance within 3 s; other changes can wait for the next sync.
    pub leave_sends: u32,
    /// How often a note is passed on.
    pub note_sends: u32,
    /// How often a new manifest version is passed on, multiplied in the same way.
    pub manifest_sends: u32,
    /// Maximum size of a note's value, in bytes.
    pub max_note_bytes: usize,
    /// Maximum number of notes stored.
    pub max_notes: usize,
    /// Time after which a note without fleet scope expires unless renewed.
    pub note_lifetime: ClockSpan,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_interval: ClockSpan::from_millis(1_000),
            probe_timeout: ClockSpan::from_millis(300),
            indirect_probes: 3,
            suspicion_span: ClockSpan::from_millis(3_000),
            gossip_interval: ClockSpan::from_millis(200),
            gossip_fanout: 3,
            leave_fanout: 12,
            sync_interval: ClockSpan::from_millis(5_000),
            sync_retry: ClockSpan::from_millis(250),
            sync_pages: 4,
            reconnect_interval: ClockSpan::from_millis(2_000),
            cross_zone_percent: 25,
            degraded_cross_zone_percent: 75,
            bytes_per_second: 10_000,
            burst_bytes: 20_000,
            pause_span: ClockSpan::from_millis(2_000),
            forget_delisted_span: ClockSpan::from_millis(600_000),
            forget_listed_span: ClockSpan::from_millis(86_400_000),
            max_unreachable: 1_000,
            max_tombstones: 4_096,
            member_sends: 4,
            leave_sends: 10,
            note_sends: 4,
            manifest_sends: 4,
            max_note_bytes: 512,
            max_notes: 2_048,
            note_lifetime: ClockSpan::from_millis(60_000),
        }
    }
}

impl MembershipSettings {
    /// Returns how often a leave announcement is passed on in a fleet of `members`.
    #[must_use]
    pub fn leave_sends_at(&self, members: usize) -> u32 {
        self.leave_sends * log10_rounded_up(members)
    }

    /// Returns how often a new manifest version is passed on in a fleet of `members`.
    #[must_use]
    pub fn manifest_sends_at(&self, members: usize) -> u32 {
        self.manifest_sends * log10_rounded_up(members)
    }

    /// Returns how often a member's change is passed on in a fleet of `members`.
    #[must_use]
    pub fn member_sends_at(&self, members: usize) -> u32 {
        self.member_sends * log10_rounded_up(members)
    }

    /// Returns the time from suspicion to unreachability in a fleet of `members`.
    #[must_use]
    pub fn suspicion_span_at(&self, members: usize) -> ClockSpan {
        let factor = u64::from(log10_rounded_up(members));
        ClockSpan::from_millis(self.suspicion_span.as_millis() * factor)
    }
}

/// Number of decimal digits of `members`, at least 1.
fn log10_rounded_up(members: usize) -> u32 {
    members.max(1).ilog10() + 1
}
