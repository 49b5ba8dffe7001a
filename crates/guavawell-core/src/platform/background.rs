//! Limits background writes to a small part of a router's share.

use super::rate::PlatformRate;
use crate::clock::ClockSpan;

/// Background work may use a share's rate divided by this: an eighth for segments of
/// the journal, and an eighth for reports of settled use.
const BACKGROUND_DIVISOR: u64 = 8;

/// How long segments of a journal stay open before they are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentInterval {
    /// Minimum time, used while the share is large.
    pub min: ClockSpan,
    /// Maximum time, however small the share is.
    pub max: ClockSpan,
}

impl SegmentInterval {
    /// The time at which the journals of `slots` slots together write at most at
    /// `rate`.
    #[must_use]
    pub fn for_rate(&self, rate: PlatformRate, slots: usize) -> ClockSpan {
        let slots = u64::try_from(slots).unwrap_or(u64::MAX);
        let milli = rate.as_milli().max(1);
        let millis = slots.saturating_mul(1_000_000).div_ceil(milli);
        let max = self.max.max(self.min);
        ClockSpan::from_millis(millis).clamp(self.min, max)
    }
}

/// The maximum rate of one kind of background work.
#[must_use]
pub const fn background_rate(share: PlatformRate) -> PlatformRate {
    share.fraction(1, BACKGROUND_DIVISOR)
}
