//! Who polls a backend server, when, and which of its reports are passed on.

use crate::backend::LoadReport;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Servers that a router polls in one period; with more it takes turns.
const POLLED_A_PERIOD: usize = 4;
/// Periods of silence after which the next router in order polls as well.
const PATIENCE: u64 = 4;
/// Routers in order after the first that stand in for it.
const STAND_INS: usize = 2;
/// A report that tells nothing new is still passed on after this span.
const RENEWAL: ClockSpan = ClockSpan::from_millis(2_000);

/// Periods between two polls of a server by a router that polls `servers`.
#[must_use]
pub fn poll_turns(servers: usize) -> usize {
    servers.div_ceil(POLLED_A_PERIOD).max(1)
}

/// Whether a router polls a server: the first in the server's order does, and
/// the next ones do while no report came for long, whatever membership says.
///
/// `silence` is the time since the last report or, without any, since this
/// router started; `pause` the time between two polls by the first.
#[must_use]
pub fn should_poll(rank: usize, silence: ClockSpan, pause: ClockSpan) -> bool {
    if rank > STAND_INS {
        return false;
    }
    let patience = pause.as_millis() * PATIENCE * rank as u64;
    rank == 0 || silence.as_millis() > patience
}

/// What was last passed on of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PassedReport {
    total: u32,
    slots: u32,
    leaving: bool,
    at: ClockTime,
}

impl PassedReport {
    /// Notes that a report is passed on `now`.
    #[must_use]
    pub fn new(report: &LoadReport, now: ClockTime) -> Self {
        Self {
            total: total(report),
            slots: report.slots,
            leaving: &*report.role == "leaving",
            at: now,
        }
    }

    /// Whether `report` is worth passing on.
    ///
    /// A busy server's report always is, even with the same load: readers add
    /// what they did since its moment. An idle one's is when something
    /// changed, and now and then so that it does not count as stale.
    #[must_use]
    pub fn is_outdated_by(&self, report: &LoadReport, now: ClockTime) -> bool {
        let told = Self {
            at: self.at,
            ..Self::new(report, now)
        };
        total(report) > 0 || *self != told || now.since(self.at) >= RENEWAL
    }
}

fn total(report: &LoadReport) -> u32 {
    report.running.saturating_add(report.queued)
}
