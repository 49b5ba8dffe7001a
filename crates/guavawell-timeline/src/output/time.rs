//! Wall-clock times in UTC.

use guavawell_core::clock::ClockTime;

/// Times before this are taken for a test's clock that counts from zero:
/// the year 1973, long before any fleet.
const FIRST_CALENDAR_MILLIS: u64 = 100_000_000_000;

const DAY_MILLIS: u64 = 86_400_000;
/// Days from the civil calendar's era start (0000-03-01) to the Unix epoch.
const EPOCH_DAYS: u64 = 719_468;
/// Days in the calendar's cycle of 400 years.
const ERA_DAYS: u64 = 146_097;

/// A time as `2026-12-02T17:48:33.123`, or `+12.345s` for a test's clock.
#[must_use]
pub fn time_text(time: ClockTime) -> String {
    let millis = time.as_millis();
    if millis < FIRST_CALENDAR_MILLIS {
        return format!("+{}.{:03}s", millis / 1_000, millis % 1_000);
    }
    let (year, month, day) = civil_date(millis / DAY_MILLIS);
    let rest = millis % DAY_MILLIS;
    let (hour, minute) = (rest / 3_600_000, rest / 60_000 % 60);
    let (second, milli) = (rest / 1_000 % 60, rest % 1_000);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{milli:03}")
}

/// Year, month and day of a count of days from the Unix epoch. The year is
/// taken to begin in March, so that the leap day comes last.
fn civil_date(days: u64) -> (u64, u64, u64) {
    let shifted = days + EPOCH_DAYS;
    let era = shifted / ERA_DAYS;
    let day_of_era = shifted % ERA_DAYS;
    let leap_days = day_of_era / 1_460 + day_of_era / 146_096;
    let year_of_era = (day_of_era + day_of_era / 36_524 - leap_days) / 365;
    let year_start = 365 * year_of_era + year_of_era / 4 - year_of_era / 100;
    let day_of_year = day_of_era - year_start;
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 {
        shifted_month + 3
    } else {
        shifted_month - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
