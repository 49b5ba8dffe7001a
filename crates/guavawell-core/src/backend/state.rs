//! One backend server as a router sees it.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use super::flight::FlightCount;
use super::health::HealthCell;
use super::report::ReportCell;
use super::speed::LatencyMean;
use crate::backend::BackendSpec;
use crate::backend::LoadReport;
use crate::backend::RoutingSettings;
use crate::clock::ClockTime;
use crate::id::BackendId;
use crate::id::ZoneId;
use crate::limits::ConcurrencyLimit;

/// Full weight in slow start, in percent.
const FULL_PERCENT: u64 = 100;
/// Smallest weight in slow start, in percent.
const LEAST_PERCENT: u64 = 10;
/// The role by which a server announces its leaving.
const LEAVING_ROLE: &str = "leaving";

/// One backend server: identity, and state in atomics.
#[derive(Debug)]
pub struct BackendState {
    pub(super) id: BackendId,
    pub(super) zone: ZoneId,
    /// Short hash of the id, the sort key within a group.
    pub(super) mark: u32,
    pub(super) settings: Arc<RoutingSettings>,
    /// Routers that send to the same servers, this one included.
    routers: Arc<AtomicU32>,
    pub(super) flight: FlightCount,
    pub(super) report: ReportCell,
    pub(super) first_token: LatencyMean,
    pub(super) hold: LatencyMean,
    pub(super) health: HealthCell,
    pub(super) limit: ConcurrencyLimit,
    joined: ClockTime,
    /// When the last own request began, in milliseconds.
    begun: AtomicU64,
    leaving: AtomicBool,
    /// Cache events known up to here.
    pub(super) cache_next: AtomicU64,
    /// Raised when this server's cache hints are forgotten.
    pub(super) cache_age: AtomicU64,
}

/// What operators see of one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendView {
    /// The server.
    pub id: BackendId,
    /// Its zone.
    pub zone: ZoneId,
    /// Own requests in flight.
    pub own: u64,
    /// Estimated load of all routers.
    pub load: u64,
    /// Slots.
    pub slots: u64,
    /// Adaptive concurrency limit of this router towards the server.
    pub limit: u32,
    /// Smoothed time to first token, in milliseconds.
    pub first_token_ms: u64,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it is ejected.
    pub ejected: bool,
}

impl BackendState {
    pub(super) fn new(
        spec: &BackendSpec,
        settings: &Arc<RoutingSettings>,
        routers: &Arc<AtomicU32>,
        now: ClockTime,
    ) -> Self {
        Self {
            id: spec.id.clone(),
            zone: spec.zone.clone(),
            mark: mark_of(&spec.id),
            settings: Arc::clone(settings),
            routers: Arc::clone(routers),
            flight: FlightCount::default(),
            report: ReportCell::default(),
            first_token: LatencyMean::default(),
            hold: LatencyMean::default(),
            health: HealthCell::default(),
            limit: ConcurrencyLimit::new(
                settings.concurrency_min,
                settings.concurrency_start,
                settings.concurrency_max,
            ),
            joined: now,
            begun: AtomicU64::new(0),
            leaving: AtomicBool::new(spec.leaving),
            cache_next: AtomicU64::new(0),
            cache_age: AtomicU64::new(0),
        }
    }

    /// The server's id.
    #[must_use]
    pub fn id(&self) -> &BackendId {
        &self.id
    }

    /// The server's zone.
    #[must_use]
    pub fn zone(&self) -> &ZoneId {
        &self.zone
    }

    /// Whether the server is leaving and gets no new work.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Sets or lifts the leaving mark; takes effect with the next
    /// [`BackendPick::begin`](super::BackendPick::begin).
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Release);
    }

    /// What operators see.
    #[must_use]
    pub fn view(&self, now: ClockTime) -> BackendView {
        BackendView {
            id: self.id.clone(),
            zone: self.zone.clone(),
            own: self.flight.current().max(0).cast_unsigned(),
            load: self.load(now),
            slots: self.slots(),
            limit: self.limit.get(),
            first_token_ms: self.first_token_mean(now),
            leaving: self.is_leaving(),
            ejected: self.is_ejected(now),
        }
    }

    /// Applies a report; false if it is older than the last.
    pub(super) fn apply_report(&self, report: &LoadReport, now: ClockTime) -> bool {
        if !self.report.is_newer(report) {
            return false;
        }
        let moment = self.report.moment(report, now);
        let own = self.flight.at(moment, now);
        self.report.store(report, own, now);
        let total = report.running.saturating_add(report.queued);
        let own = u32::try_from(own.max(0)).unwrap_or(u32::MAX);
        self.limit.report(total, report.slots, own.min(total));
        if &*report.role == LEAVING_ROLE {
            self.set_leaving(true);
        }
        true
    }

    /// Whether the server is ejected.
    pub(super) fn is_ejected(&self, now: ClockTime) -> bool {
        let reported = self.report.received();
        self.health.is_ejected(reported, &self.settings, now)
    }

    /// Whether new work may go here at all.
    pub(super) fn is_eligible(&self, now: ClockTime) -> bool {
        !self.is_leaving() && !self.is_ejected(now)
    }

    /// Whether the adaptive limit leaves room for one more.
    pub(super) fn has_room(&self) -> bool {
        self.flight.current() < i64::from(self.limit.get())
    }

    /// Estimated load of all routers.
    pub(super) fn load(&self, now: ClockTime) -> u64 {
        let own = self.flight.current();
        let routers = i64::from(self.routers.load(Ordering::Relaxed));
        self.report
            .load(own, routers, self.settings.report_stale, now)
    }

    pub(super) fn slots(&self) -> u64 {
        self.report.slots(self.settings.slots_guess)
    }

    /// Expected queueing at the server before a new request runs, in
    /// milliseconds.
    pub(super) fn expected_wait(&self, now: ClockTime) -> u64 {
        let slots = self.slots();
        let headroom = slots * u64::from(self.settings.headroom_percent) / FULL_PERCENT;
        let ahead = (self.load(now) + 1 + headroom).saturating_sub(slots);
        let hold = self
            .hold
            .value(self.settings.hold_guess, self.settings.speed_half_life, now);
        ahead * hold / slots
    }

    /// Whether other zones should be compared before new work goes here.
    pub(super) fn is_crowded(&self, now: ClockTime) -> bool {
        let percent = u64::from(self.settings.spill_percent);
        self.load(now) * FULL_PERCENT > self.slots() * percent
    }

    /// A request of this router begins.
    pub(super) fn begin(&self, now: ClockTime) {
        self.begun.store(now.as_millis(), Ordering::Relaxed);
        self.flight.begin(now);
    }

    /// Whether the server got no request for so long that what is known of its
    /// speed should be tried again, and has room for the trial.
    pub(super) fn is_trial_due(&self, now: ClockTime) -> bool {
        let begun = ClockTime::from_millis(self.begun.load(Ordering::Relaxed));
        let last = begun.max(self.start());
        now.since(last) >= self.settings.trial_after && !self.is_crowded(now)
    }

    /// Expected time to first token, in milliseconds, made larger while the
    /// server is in slow start.
    pub(super) fn cost(&self, cached: bool, now: ClockTime) -> u64 {
        let base = self.first_token_mean(now);
        let saved = if cached {
            base * u64::from(self.settings.prefix_saving_percent) / FULL_PERCENT
        } else {
            0
        };
        let crowding = base * self.load(now) / self.slots();
        let cost = base - saved.min(base) + crowding + self.expected_wait(now);
        cost * FULL_PERCENT / self.ramp_percent(now)
    }

    pub(super) fn first_token_mean(&self, now: ClockTime) -> u64 {
        self.first_token.value(
            self.settings.first_token_guess,
            self.settings.speed_half_life,
            now,
        )
    }

    /// Start of the last slow start.
    fn start(&self) -> ClockTime {
        self.joined.max(self.health.returned())
    }

    fn ramp_percent(&self, now: ClockTime) -> u64 {
        let age = now.since(self.start()).as_millis();
        let window = self.settings.slow_start.as_millis().max(1);
        (age * FULL_PERCENT / window).clamp(LEAST_PERCENT, FULL_PERCENT)
    }
}

/// FNV-1a over the id.
pub(super) fn mark_of(id: &BackendId) -> u32 {
    let step = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    id.as_str().bytes().fold(0x811c_9dc5, step)
}
