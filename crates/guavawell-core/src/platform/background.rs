//! What may wait writes no oftener than a small share of the platform allows.

use super::rate::PlatformRate;
use crate::clock::ClockSpan;

/// The part of a share that work which can wait may take: an eighth each for
/// segments of the journal and for reports of settled use.
const BACKGROUND_DIVISOR: u64 = 8;

/// How long a journal's segments may stay open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentInterval {
    /// While the share is large.
    pub min: ClockSpan,
    /// However small the share is.
    pub max: ClockSpan,
}

impl SegmentInterval {
    /// The wait at which `slots` journals write `spare` at most.
    #[must_use]
    pub fn for_rate(&self, rate: PlatformRate, slots: usize) -> ClockSpan {
        let slots = u64::try_from(slots).unwrap_or(u64::MAX);
        let milli = rate.as_milli().max(1);
        let millis = slots.saturating_mul(1_000_000).div_ceil(milli);
        let max = self.max.max(self.min);
        ClockSpan::from_millis(millis).clamp(self.min, max)
    }
}

/// The rate at which work that can wait is sent at most.
#[must_use]
pub const fn background_rate(share: PlatformRate) -> PlatformRate {
    share.fraction(1, BACKGROUND_DIVISOR)
}
