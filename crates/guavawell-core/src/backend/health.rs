//! Outlier ejection of one server, and its way back.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::backend::RoutingSettings;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Doublings after which an ejection grows no longer.
const MAX_DOUBLINGS: u32 = 16;

/// Failures in a row and the ejection that follows from them.
#[derive(Debug, Default)]
pub(super) struct HealthCell {
    failures: AtomicU32,
    ejections: AtomicU32,
    /// Start of the last ejection, in milliseconds; zero without one.
    ejected_since: AtomicU64,
    /// Earliest end of it.
    ejected_until: AtomicU64,
}

impl HealthCell {
    /// Whether the server is ejected at `now`. If it used to send reports, the
    /// ejection goes on until one has come since (`reported` is the last), but
    /// no longer than the longest ejection.
    pub(super) fn is_ejected(
        &self,
        reported: Option<ClockTime>,
        settings: &RoutingSettings,
        now: ClockTime,
    ) -> bool {
        if now < time(&self.ejected_until) {
            return true;
        }
        let since = time(&self.ejected_since);
        let silent = reported.is_some_and(|reported| reported < since);
        silent && now.since(since) < settings.eject_max
    }

    /// End of the last ejection; slow start counts from it.
    pub(super) fn returned(&self) -> ClockTime {
        time(&self.ejected_until)
    }

    /// A request was served.
    pub(super) fn success(&self) {
        self.failures.store(0, Ordering::Relaxed);
        self.ejections.store(0, Ordering::Relaxed);
    }

    /// A request failed, counting as `weight` failures; says whether the server should be ejected. A server
    /// back from an ejection is due again after one failure.
    pub(super) fn failure(&self, weight: u32, settings: &RoutingSettings) -> bool {
        let failures = self.failures.fetch_add(weight, Ordering::Relaxed) + weight;
        let returned = self.ejections.load(Ordering::Relaxed) > 0;
        returned || failures >= settings.eject_failures
    }

    /// Ejects the server.
    pub(super) fn eject(&self, settings: &RoutingSettings, now: ClockTime) {
        if now < time(&self.ejected_until) {
            return;
        }
        let earlier = self.ejections.fetch_add(1, Ordering::Relaxed);
        self.failures.store(0, Ordering::Relaxed);
        let factor = 1_u64 << earlier.min(MAX_DOUBLINGS);
        let base = settings.eject_base.as_millis();
        let span = base
            .saturating_mul(factor)
            .min(settings.eject_max.as_millis());
        self.ejected_since.store(now.as_millis(), Ordering::Relaxed);
        let until = now + ClockSpan::from_millis(span);
        self.ejected_until
            .store(until.as_millis(), Ordering::Relaxed);
    }
}

fn time(millis: &AtomicU64) -> ClockTime {
    ClockTime::from_millis(millis.load(Ordering::Relaxed))
}
