//! Settings of the gossip membership.

use crate::clock::ClockSpan;

/// Bytes that IPv4, UDP, key number and authentication code add to each datagram.
pub const DATAGRAM_OVERHEAD_BYTES: usize = 28 + 17;

/// Largest encoded message, so that a datagram stays under 1,400 bytes.
pub const MAX_MESSAGE_BYTES: usize = 1_400 - DATAGRAM_OVERHEAD_BYTES;

/// Intervals, limits and shares of one instance's membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Time between two probes.
    pub probe_interval: ClockSpan,
    /// Time after which an unanswered probe is also tried through others.
    pub probe_timeout: ClockSpan,
    /// How many others are asked to probe an instance that did not answer.
    pub indirect_probes: usize,
    /// Least time between suspicion and unreachability, multiplied by log10 of the fleet's size.
    pub suspicion_span: ClockSpan,
    /// Time between two rounds of gossip, while there is news.
    pub gossip_interval: ClockSpan,
    /// Targets of one round of gossip.
    pub gossip_fanout: usize,
    /// Targets told at once when this instance announces that it leaves.
    pub leave_fanout: usize,
    /// Time between two comparisons of the whole state with a peer.
    pub sync_interval: ClockSpan,
    /// The same, while the last comparison left a difference.
    pub sync_retry: ClockSpan,
    /// Largest number of datagrams that answer one comparison.
    pub sync_pages: usize,
    /// Time between two attempts to reach an unreachable or newly listed instance.
    pub reconnect_interval: ClockSpan,
    /// Percentage of probes, gossip and comparisons that leave the zone.
    pub cross_zone_percent: u8,
    /// The same for probes, once a probe into another zone was left unanswered.
    pub degraded_cross_zone_percent: u8,
    /// Bytes a second that this instance may send, datagram headers included.
    pub bytes_per_second: u64,
    /// Bytes that may be sent at once after a quiet time.
    pub burst_bytes: u64,
    /// A gap between two ticks that shows that this process itself was paused.
    pub pause_span: ClockSpan,
    /// Time after which an unreachable instance that the list does not name is forgotten.
    pub forget_delisted_span: ClockSpan,
    /// The same, where no list was ever read or the list still names it.
    pub forget_listed_span: ClockSpan,
    /// Most unreachable instances kept; the longest unreachable goes first.
    pub max_unreachable: usize,
    /// Most forgotten lives remembered as a hash, so that they are not taken in again.
    pub max_tombstones: usize,
    /// How often a member's change is passed on, multiplied by log10 of the fleet's size.
    pub member_sends: u32,
    /// How often a leaving mark is passed on, multiplied in the same way.
    ///
    /// Higher, because the mark must miss nobody within 3 s, while other
    /// changes that missed someone wait for the next comparison.
    pub leave_sends: u32,
    /// How often a note is passed on.
    pub note_sends: u32,
    /// How often a new manifest version is passed on, multiplied in the same way.
    pub manifest_sends: u32,
    /// Largest note, in bytes.
    pub max_note_bytes: usize,
    /// Most notes kept.
    pub max_notes: usize,
    /// Time after which a zone's note that was not renewed is dropped.
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
    /// How often a leaving mark is passed on in a fleet of `members`.
    #[must_use]
    pub fn leave_sends_at(&self, members: usize) -> u32 {
        self.leave_sends * log10_rounded_up(members)
    }

    /// How often a new manifest version is passed on in a fleet of `members`.
    #[must_use]
    pub fn manifest_sends_at(&self, members: usize) -> u32 {
        self.manifest_sends * log10_rounded_up(members)
    }

    /// How often a change is passed on in a fleet of `members`.
    #[must_use]
    pub fn member_sends_at(&self, members: usize) -> u32 {
        self.member_sends * log10_rounded_up(members)
    }

    /// Time from suspicion to unreachability in a fleet of `members`.
    #[must_use]
    pub fn suspicion_span_at(&self, members: usize) -> ClockSpan {
        let factor = u64::from(log10_rounded_up(members));
        ClockSpan::from_millis(self.suspicion_span.as_millis() * factor)
    }
}

/// The decimal digits of `members`: log10 rounded up, at least 1.
fn log10_rounded_up(members: usize) -> u32 {
    members.max(1).ilog10() + 1
}
