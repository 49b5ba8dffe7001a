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
    /// End of the last ejection, in milliseconds; zero without one.
    ejected_until: AtomicU64,
}

impl HealthCell {
    /// Whether the server is ejected at `now`.
    pub(super) fn is_ejected(&self, now: ClockTime) -> bool {
        now.as_millis() < self.ejected_until.load(Ordering::Relaxed)
    }

    /// End of the last ejection; slow start counts from it.
    pub(super) fn returned(&self) -> ClockTime {
        ClockTime::from_millis(self.ejected_until.load(Ordering::Relaxed))
    }

    /// A request was served.
    pub(super) fn success(&self) {
        self.failures.store(0, Ordering::Relaxed);
        self.ejections.store(0, Ordering::Relaxed);
    }

    /// A request failed; says whether the server should be ejected. A server
    /// back from an ejection is due again after one failure.
    pub(super) fn failure(&self, settings: &RoutingSettings) -> bool {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        let returned = self.ejections.load(Ordering::Relaxed) > 0;
        returned || failures >= settings.eject_failures
    }

    /// Ejects the server.
    pub(super) fn eject(&self, settings: &RoutingSettings, now: ClockTime) {
        if self.is_ejected(now) {
            return;
        }
        let earlier = self.ejections.fetch_add(1, Ordering::Relaxed);
        self.failures.store(0, Ordering::Relaxed);
        let factor = 1_u64 << earlier.min(MAX_DOUBLINGS);
        let base = settings.eject_base.as_millis();
        let span = base
            .saturating_mul(factor)
            .min(settings.eject_max.as_millis());
        let until = now + ClockSpan::from_millis(span);
        self.ejected_until
            .store(until.as_millis(), Ordering::Relaxed);
    }
}
