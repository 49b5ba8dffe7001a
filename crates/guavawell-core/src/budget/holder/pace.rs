//! How often a holder reports settled use for no other cause.

use crate::clock::ClockTime;
use crate::platform::PlatformRate;

/// Parts of one report: a thousandth a second gains one in a millisecond.
const MICRO: u64 = 1_000_000;

/// Reports that may follow each other at once after a pause.
const BURST: u64 = 4;

/// The pace of reports. Without a rate it holds nothing back.
///
/// Reports wait without harm: holder and witness keep what was not written,
/// and any other change of the grant takes it along.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct ReportPace {
    rate: Option<PlatformRate>,
    saved: u64,
    since: ClockTime,
}

impl ReportPace {
    /// Another rate; what was saved up stays.
    pub fn set_rate(&mut self, rate: Option<PlatformRate>, now: ClockTime) {
        self.saved = self.saved_by(now);
        self.since = now;
        self.rate = rate;
    }

    /// Whether a report may be sent.
    pub fn has_one(&self, now: ClockTime) -> bool {
        self.rate.is_none() || self.saved_by(now) >= MICRO
    }

    /// A report is sent.
    pub fn take(&mut self, now: ClockTime) {
        if self.rate.is_some() {
            self.saved = self.saved_by(now).saturating_sub(MICRO);
            self.since = now;
        }
    }

    fn saved_by(&self, now: ClockTime) -> u64 {
        let rate = self.rate.map_or(0, PlatformRate::as_milli);
        let gained = now.since(self.since).as_millis().saturating_mul(rate);
        self.saved.saturating_add(gained).min(BURST * MICRO)
    }
}
