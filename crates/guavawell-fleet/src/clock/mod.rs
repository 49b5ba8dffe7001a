//! The system clock: the only place that reads it.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use guavawell_core::clock::ClockTime;

/// The system's wall clock now.
#[must_use]
pub fn now() -> ClockTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.map_or(0, |span| span.as_millis());
    ClockTime::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
}
