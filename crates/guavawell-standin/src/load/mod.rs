//! The load report, which lags.
//!
//! Owns the report's age. It never decides what is admitted.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use guavawell_core::clock::ClockTime;
use serde::Deserialize;
use serde::Serialize;
use smol::Timer;

use crate::engine::ModelEntry;
use crate::pool;

/// The answer to `GET /v1/load`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// When the report was made, by the backend server's clock.
    pub at: ClockTime,
    /// Attempts that run.
    pub running: usize,
    /// Attempts that wait for a slot.
    pub queued: usize,
    /// Attempts that can run at once.
    pub slots: usize,
    /// Models loaded; a plain service has none.
    pub models: Vec<ModelEntry>,
    /// The backend server's role.
    pub role: Box<str>,
}

/// The wall clock.
pub(crate) fn wall_clock() -> ClockTime {
    let passed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    ClockTime::from_millis(u64::try_from(passed.as_millis()).unwrap_or(u64::MAX))
}

/// Calls `renew` at every interval for as long as `owner` lives.
pub(crate) fn renew_every<T: Send + Sync + 'static>(
    interval: Duration,
    owner: &Arc<T>,
    renew: fn(&T),
) {
    if interval.is_zero() {
        return;
    }
    let owner = Arc::downgrade(owner);
    let renewing = async move {
        loop {
            Timer::after(interval).await;
            match owner.upgrade() {
                Some(owner) => renew(&owner),
                None => return,
            }
        }
    };
    pool::spawn(renewing).detach();
}
