//! Lagging load reports of backend servers.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde::Deserialize;
use serde::Serialize;

use crate::backend::ServedModel;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// What a backend server says of its load (`GET /v1/load`).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The moment of the report, by the server's own clock.
    pub at: ClockTime,
    /// Requests being run.
    pub running: u32,
    /// Requests waiting at the server.
    pub queued: u32,
    /// Requests that the server runs at a time.
    pub slots: u32,
    /// Models and adapters held.
    #[serde(default)]
    pub models: Vec<ServedModel>,
    /// The server's role; `leaving` asks for no new work.
    #[serde(default)]
    pub role: Box<str>,
}

/// What follows from a load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportEffect {
    /// The report was older than one already applied, or its server unknown.
    pub ignored: bool,
    /// The server holds other models than the table says; build a new table
    /// with [`BackendTable::with_models`](super::BackendTable::with_models).
    pub models_changed: bool,
    /// The report announced the server's leaving.
    pub leaving: bool,
}

/// The last report, as the request path reads it.
#[derive(Debug)]
pub(super) struct ReportCell {
    /// Server's clock of the last report; zero without one.
    at: AtomicU64,
    received: AtomicU64,
    /// Smallest difference seen between the router's and the server's clock,
    /// so that clock skew does not count as lag.
    skew: AtomicI64,
    total: AtomicU32,
    slots: AtomicU32,
    /// Own requests in flight at the moment of the report.
    own: AtomicI64,
}

impl Default for ReportCell {
    fn default() -> Self {
        Self {
            at: AtomicU64::new(0),
            received: AtomicU64::new(0),
            skew: AtomicI64::new(i64::MAX),
            total: AtomicU32::new(0),
            slots: AtomicU32::new(0),
            own: AtomicI64::new(0),
        }
    }
}

impl ReportCell {
    /// Whether `report` is newer than the last.
    pub(super) fn is_newer(&self, report: &LoadReport) -> bool {
        report.at.as_millis() > self.at.load(Ordering::Relaxed)
    }

    /// The moment of `report` by the router's clock.
    pub(super) fn moment(&self, report: &LoadReport, now: ClockTime) -> ClockTime {
        let server = signed(report.at);
        let router = signed(now);
        let skew = self.skew.fetch_min(router - server, Ordering::Relaxed);
        let skew = skew.min(router - server);
        ClockTime::from_millis((server + skew).max(0).cast_unsigned())
    }

    /// Stores a report together with the own requests of its moment.
    pub(super) fn store(&self, report: &LoadReport, own: i64, now: ClockTime) {
        self.total.store(
            report.running.saturating_add(report.queued),
            Ordering::Relaxed,
        );
        self.slots.store(report.slots, Ordering::Relaxed);
        self.own.store(own, Ordering::Relaxed);
        self.received.store(now.as_millis(), Ordering::Relaxed);
        self.at.store(report.at.as_millis(), Ordering::Relaxed);
    }

    /// Load now: the reported load of all routers plus the change since; the
    /// own requests alone where the report is missing or stale. As all routers
    /// follow the same reports, their change is taken to be like the own one,
    /// `routers` times.
    pub(super) fn load(&self, own: i64, routers: i64, stale: ClockSpan, now: ClockTime) -> u64 {
        let own = own.max(0);
        if self.at.load(Ordering::Relaxed) == 0 || self.age(now) > stale {
            return own.cast_unsigned();
        }
        let total = i64::from(self.total.load(Ordering::Relaxed));
        let change = (own - self.own.load(Ordering::Relaxed)).saturating_mul(routers);
        (total + change).max(own).cast_unsigned()
    }

    /// Slots reported, or `guess` while unknown.
    pub(super) fn slots(&self, guess: u32) -> u64 {
        let slots = self.slots.load(Ordering::Relaxed);
        u64::from(if slots == 0 { guess.max(1) } else { slots })
    }

    /// When the last report came, if any.
    pub(super) fn received(&self) -> Option<ClockTime> {
        let known = self.at.load(Ordering::Relaxed) > 0;
        known.then(|| ClockTime::from_millis(self.received.load(Ordering::Relaxed)))
    }

    fn age(&self, now: ClockTime) -> ClockSpan {
        now.since(ClockTime::from_millis(
            self.received.load(Ordering::Relaxed),
        ))
    }
}

fn signed(time: ClockTime) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
