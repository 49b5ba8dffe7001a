//! The process's metrics, rendered for `/metrics`.

use std::sync::OnceLock;

use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

/// Bounds of the buckets of every histogram, in milliseconds.
const BUCKETS: [f64; 14] = [
    0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 560.0, 1_000.0, 5_000.0,
];

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// The metrics of this process.
///
/// A process has one recorder; routers that share a process, as in the demo,
/// share it.
#[derive(Clone, Debug)]
pub struct MetricsPage(PrometheusHandle);

impl MetricsPage {
    /// Installs the recorder at the first call.
    ///
    /// # Panics
    ///
    /// If the fixed bucket bounds are empty, which they are not.
    #[must_use]
    pub fn install() -> Self {
        let handle = HANDLE.get_or_init(|| {
            let recorder = PrometheusBuilder::new()
                .set_buckets(&BUCKETS)
                .expect("there are buckets")
                .build_recorder();
            let handle = recorder.handle();
            // Fails only if another recorder is installed; its owner renders then.
            let _ = metrics::set_global_recorder(recorder);
            handle
        });
        Self(handle.clone())
    }

    /// The page's text.
    #[must_use]
    pub fn render(&self) -> String {
        self.0.render()
    }

    /// Drops samples that no scrape needs any more; called at intervals.
    pub fn upkeep(&self) {
        self.0.run_upkeep();
    }
}
