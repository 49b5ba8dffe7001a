//! What the backend servers last reported to hold.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use guavawell_core::backend::BackendSpec;
use guavawell_core::backend::ServedModel;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::BackendId;

/// One backend server's last report.
#[derive(Debug)]
pub struct ReportedModels {
    /// The server.
    pub backend: BackendId,
    /// The models and adapters that it holds.
    pub models: Vec<ServedModel>,
    /// When the last report came, by this router's clock.
    seen: AtomicU64,
    leaving: AtomicBool,
}

impl ReportedModels {
    /// When the last report came, by this router's clock.
    #[must_use]
    pub fn seen(&self) -> ClockTime {
        ClockTime::from_millis(self.seen.load(Ordering::Relaxed))
    }

    /// Whether the server said that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }
}

/// The last report of every backend server, for read-copy-update.
///
/// It outlasts a change of the manifest: a server holds what it holds.
#[derive(Debug, Default)]
pub struct ModelBook {
    /// Sorted by server.
    reports: ArcSwap<Vec<Arc<ReportedModels>>>,
}

impl ModelBook {
    /// Takes a report in; true if the server holds other models than before.
    pub fn note(&self, backend: &BackendId, models: &[ServedModel], now: ClockTime) -> bool {
        let known = self.find(backend);
        let report = Arc::new(ReportedModels {
            backend: backend.clone(),
            models: models.to_vec(),
            seen: AtomicU64::new(now.as_millis()),
            leaving: AtomicBool::new(known.as_ref().is_some_and(|known| known.is_leaving())),
        });
        self.replace(&report);
        known.is_none_or(|known| known.models != report.models)
    }

    /// Notes that a server reported, without a word on its models, and whether
    /// it is leaving.
    pub fn touch(&self, backend: &BackendId, leaving: bool, now: ClockTime) {
        if let Some(known) = self.find(backend) {
            known.leaving.store(leaving, Ordering::Relaxed);
            known.seen.fetch_max(now.as_millis(), Ordering::Relaxed);
        }
    }

    /// The last report of a server.
    #[must_use]
    pub fn find(&self, backend: &BackendId) -> Option<Arc<ReportedModels>> {
        let reports = self.reports.load();
        let place = reports.binary_search_by(|report| report.backend.cmp(backend));
        Some(Arc::clone(&reports[place.ok()?]))
    }

    /// The servers as configured, with the models that they reported. A server
    /// without a report keeps the manifest's word.
    #[must_use]
    pub fn correct(&self, mut specs: Vec<BackendSpec>) -> Vec<BackendSpec> {
        for spec in &mut specs {
            if let Some(report) = self.find(&spec.id) {
                spec.models.clone_from(&report.models);
            }
        }
        specs
    }

    fn replace(&self, report: &Arc<ReportedModels>) {
        self.reports.rcu(|reports| {
            let mut reports = Vec::clone(reports);
            let place = reports.binary_search_by(|other| other.backend.cmp(&report.backend));
            match place {
                Ok(index) => reports[index] = Arc::clone(report),
                Err(index) => reports.insert(index, Arc::clone(report)),
            }
            reports
        });
    }
}
