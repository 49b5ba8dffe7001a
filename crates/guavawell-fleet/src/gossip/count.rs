//! Counters and gauges of gossip.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use guavawell_core::instance::GossipCounts;
use guavawell_core::instance::MemberView;
use guavawell_core::instance::Reachability;
use metrics::counter;
use metrics::gauge;

/// Datagrams and bytes of one driver since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCounts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of their payloads and codes.
    pub sent_bytes: u64,
    /// Datagrams that the system did not take.
    pub send_failures: u64,
    /// Datagrams received, also those dropped.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
    /// Dropped because no key verified them.
    pub unverified: u64,
    /// Dropped because they were no message of this version.
    pub malformed: u64,
}

/// The same, shared between threads and shown as metrics.
#[derive(Debug, Default)]
pub(super) struct DatagramMeter {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    send_failures: AtomicU64,
    received: AtomicU64,
    received_bytes: AtomicU64,
    unverified: AtomicU64,
    malformed: AtomicU64,
}

impl DatagramMeter {
    pub(super) fn count_sent(&self, bytes: usize) {
        add(&self.sent, 1);
        add(&self.sent_bytes, wide(bytes));
        counter!("guavawell_gossip_sent_bytes_total").increment(wide(bytes));
    }

    pub(super) fn count_send_failure(&self) {
        add(&self.send_failures, 1);
        counter!("guavawell_gossip_send_failures_total").increment(1);
    }

    pub(super) fn count_received(&self, bytes: usize) {
        add(&self.received, 1);
        add(&self.received_bytes, wide(bytes));
        counter!("guavawell_gossip_received_bytes_total").increment(wide(bytes));
    }

    #[allow(clippy::unused_self)] // beside the other reasons
    pub(super) fn count_report_dropped(&self) {
        counter!("guavawell_gossip_dropped_total", "reason" => "report").increment(1);
    }

    pub(super) fn count_unverified(&self) {
        add(&self.unverified, 1);
        counter!("guavawell_gossip_dropped_total", "reason" => "unverified").increment(1);
    }

    pub(super) fn count_malformed(&self) {
        add(&self.malformed, 1);
        counter!("guavawell_gossip_dropped_total", "reason" => "malformed").increment(1);
    }

    pub(super) fn counts(&self) -> DatagramCounts {
        DatagramCounts {
            sent: self.sent.load(Ordering::Relaxed),
            sent_bytes: self.sent_bytes.load(Ordering::Relaxed),
            send_failures: self.send_failures.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
            received_bytes: self.received_bytes.load(Ordering::Relaxed),
            unverified: self.unverified.load(Ordering::Relaxed),
            malformed: self.malformed.load(Ordering::Relaxed),
        }
    }
}

/// Shows the membership's own counters and sizes.
pub(super) fn show_counts(counts: &GossipCounts) {
    counter!("guavawell_gossip_refutations_total").absolute(counts.refutations);
    counter!("guavawell_gossip_withheld_total").absolute(counts.withheld);
    counter!("guavawell_gossip_reports_withheld_total").absolute(counts.reports_withheld);
    counter!("guavawell_gossip_notes_refused_total").absolute(counts.notes_refused);
    counter!("guavawell_gossip_pauses_total").absolute(counts.pauses);
    gauge!("guavawell_gossip_queued").set(narrow(counts.queued));
    gauge!("guavawell_gossip_tombstones").set(narrow(counts.tombstones));
}

/// Shows how many members are in each state.
pub(super) fn show_members(view: &MemberView) {
    let states = [
        ("reachable", Reachability::Reachable),
        ("suspected", Reachability::Suspected),
        ("unreachable", Reachability::Unreachable),
    ];
    for (label, state) in states {
        let members = view.members().iter();
        let count = members
            .filter(|member| member.reachability == state)
            .count();
        gauge!("guavawell_gossip_members", "state" => label).set(narrow(count));
    }
    let leaving = view
        .members()
        .iter()
        .filter(|member| member.leaving)
        .count();
    gauge!("guavawell_gossip_leaving").set(narrow(leaving));
}

fn add(counter: &AtomicU64, by: u64) {
    counter.fetch_add(by, Ordering::Relaxed);
}

fn wide(bytes: usize) -> u64 {
    u64::try_from(bytes).unwrap_or(u64::MAX)
}

/// A count as a gauge's value; counts here stay far below 2^32.
fn narrow(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
