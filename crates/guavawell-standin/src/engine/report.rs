//! The load report, which lags.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use guavawell_core::clock::ClockTime;
use serde::Deserialize;
use serde::Serialize;

use crate::engine::orders::ModelEntry;

/// The answer to `GET /v1/load`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// When the report was made, by the engine's clock.
    pub at: ClockTime,
    /// Attempts that run.
    pub running: usize,
    /// Attempts that wait for a slot.
    pub queued: usize,
    /// Attempts that can run at once.
    pub slots: usize,
    /// Models loaded.
    pub models: Vec<ModelEntry>,
    /// The engine's role.
    pub role: Box<str>,
}

/// The wall clock.
pub(crate) fn wall_clock() -> ClockTime {
    let passed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    ClockTime::from_millis(u64::try_from(passed.as_millis()).unwrap_or(u64::MAX))
}
