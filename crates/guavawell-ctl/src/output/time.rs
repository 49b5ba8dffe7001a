//! Times for people.

use std::time::Duration;
use std::time::UNIX_EPOCH;

use guavawell_core::clock::ClockTime;

/// A time as `2026-12-02T18:00:00.000Z`.
#[must_use]
pub fn time_text(time: ClockTime) -> String {
    // Past the year 9999 the library has no text.
    let latest = Duration::from_secs(253_402_300_799);
    let since_epoch = Duration::from_millis(time.as_millis()).min(latest);
    humantime::format_rfc3339_millis(UNIX_EPOCH + since_epoch).to_string()
}
